//! A replica that serves streams as a process of its own. Arguments: address, version of its software, start of
//! its process in milliseconds since the Unix epoch, header line of all its answers (which may be empty), how many of
//! five streams are reset midway, the number of events of a stream, and the event before which one is reset.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use berylstep_standins::fleet::message::{begin_events_with, end_events, read_message, respond};
use serde_json::Value;

use review_standins_4::report_body;

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

struct ReplicaSettings {
    version: String,
    born: u64,
    headers: String,
    reset_of_five: u32,
    events: u32,
    reset_before: u32,
    streams: AtomicU32,
    /// Attempts whose runs were stopped by a move to another replica.
    stopped: Mutex<HashSet<String>>,
}

impl ReplicaSettings {
    fn stopped(&self) -> MutexGuard<'_, HashSet<String>> {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, address, version, born, header, reset_of_five, events, reset_before] = &*arguments
    else {
        panic!("seven arguments are needed")
    };
    let number = |text: &str| text.parse().expect("the argument is a number");
    let settings = Arc::new(ReplicaSettings {
        version: version.clone(),
        born: born.parse().expect("the start is a number"),
        headers: if header.is_empty() { String::new() } else { format!("{header}\r\n") },
        reset_of_five: number(reset_of_five),
        events: number(events),
        reset_before: number(reset_before),
        streams: AtomicU32::new(0),
        stopped: Mutex::default(),
    });
    let listener = TcpListener::bind(address).expect("the address is free");
    println!("listening {address}");
    for stream in listener.incoming().flatten() {
        let settings = settings.clone();
        std::thread::spawn(move || serve(stream, &settings));
    }
}

fn serve(stream: TcpStream, settings: &ReplicaSettings) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let stream = reader.get_mut();
        let headers = &settings.headers;
        if request.target().starts_with("/v1/report") {
            if !respond(stream, &request, 200, headers, &report_body(settings.born)) {
                return;
            }
            continue;
        }
        if request.target() == "/v1/kv-move" {
            let body: Value = serde_json::from_str(&request.body).unwrap_or_default();
            if let (Some(id), Some(true)) = (body["Id"].as_str(), body["Last"].as_bool()) {
                settings.stopped().insert(id.to_owned());
            }
            let answer = r#"{"Handle": "h1", "Created": 1}"#;
            if !respond(stream, &request, 200, headers, answer) {
                return;
            }
            continue;
        }
        let id = request.header("berylstep-attempt-id").unwrap_or_default().to_owned();
        let number = settings.streams.fetch_add(1, Ordering::Relaxed);
        let is_reset = number % 5 >= 5 - settings.reset_of_five;
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if !begin_events_with(stream, &request, headers) {
            return;
        }
        for number in after + 1..=settings.events {
            if (is_reset && number >= settings.reset_before) || settings.stopped().contains(&id) {
                return;
            }
            let event = format!("id: {number}\ndata: written by {}\n\n", settings.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        if !end_events(stream) {
            return;
        }
    }
}
