//! Calls of a gateway to replicas that answer with bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use berylstep::clock::RuntimeClock;
use berylstep::platform::PlatformClient;

/// Calls at once, as after the loss of a replica with many streams.
const CALLS: usize = 24;

/// Bytes that the system may hold for one connection at both ends.
const SOCKET_BYTES: usize = 10 << 20;

/// Largest answer that a replica gives to a call.
const ANSWER_BYTES: usize = 1 << 20;

struct FloodCase {
    name: &'static str,
    start: &'static str,
    repeated: &'static [u8],
}

/// Starts a replica that answers each call with bytes without end; returns how many it has sent.
fn start_flood(case: &'static FloodCase) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut request = [0; 1024];
                let begun = stream.read(&mut request).is_ok_and(|bytes| bytes > 0)
                    && stream.write_all(case.start.as_bytes()).is_ok();
                let block = case.repeated.repeat(4096 / case.repeated.len());
                while begun && stream.write_all(&block).is_ok() {
                    count.fetch_add(block.len(), Ordering::SeqCst);
                }
            });
        }
    });
    (address, sent)
}

// Guards against a faulty replica whose answer to a call of the gateway's own is kept until memory runs out.
#[test]
fn an_answer_without_end_to_a_call_of_the_gateway_is_cut_off() {
    let cases: &[FloodCase] = &[
        FloodCase { name: "no HTTP", start: "", repeated: b"0123456789abcdef" },
        FloodCase { name: "head", start: "HTTP/1.1 200 OK\r\n", repeated: b"X-More: more\r\n" },
        FloodCase {
            name: "body",
            start: "HTTP/1.1 200 OK\r\n\r\n",
            repeated: b"{\"born\": 12345}",
        },
        FloodCase {
            name: "chunked body",
            start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            repeated: b"f\r\n{\"born\": 12345}\r\n",
        },
        FloodCase {
            name: "body longer than all memory",
            start: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            repeated: b"{\"born\": 12345}",
        },
        FloodCase {
            name: "interim responses",
            start: "",
            repeated: b"HTTP/1.1 102 Processing\r\n\r\n",
        },
    ];
    for case in cases {
        for calls in [1, CALLS] {
            let (address, sent) = start_flood(case);
            let calling = (0..calls).map(|_| async {
                PlatformClient::new(address, RuntimeClock::system()).process_start().await
            });
            let answers = smol::block_on(futures_util::future::join_all(calling));
            assert!(answers.iter().all(Result::is_err), "{}: {answers:?}", case.name);
            let sent = sent.load(Ordering::SeqCst);
            let allowed = calls * (ANSWER_BYTES + SOCKET_BYTES);
            assert!(sent <= allowed, "{}, {calls} calls: {sent} bytes", case.name);
        }
    }
}
