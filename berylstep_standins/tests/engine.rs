//! Engine stand-in: batching, prefix cache, priorities, cancellation, continuation and faults.

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use berylstep_http::ClientConnection;
use berylstep_standins::client::{CallAnswer, CallRequest};
use berylstep_standins::engine::{EngineLoad, EngineStats};
use berylstep_standins::process::{binary, ChildProcess};
use http_types::{Method, Request, Url};
use serde_json::{json, Value};
use smol::io::AsyncReadExt;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Process of an engine and its address.
struct EngineProcess {
    process: ChildProcess,
    address: SocketAddr,
}

impl EngineProcess {
    fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(binary("standin"));
        command.args(["engine", "--listen", "127.0.0.1:0"]).args(arguments);
        let (process, address) = ChildProcess::start_listener(&mut command).unwrap();
        Self { process, address }
    }

    fn get(&self, target: &str) -> CallAnswer {
        smol::block_on(CallRequest::get(self.address, target).send()).unwrap()
    }

    fn chat(&self, body: &Value) -> CallAnswer {
        let call = CallRequest::post(self.address, "/v1/chat/completions", body);
        smol::block_on(call.send()).unwrap()
    }

    fn set_faults(&self, faults: &Value) {
        let call = CallRequest::post(self.address, "/control/faults", faults);
        assert_eq!(smol::block_on(call.send()).unwrap().status, 200);
    }

    fn stats(&self) -> EngineStats {
        serde_json::from_value(self.get("/control/stats").json()).unwrap()
    }

    fn load(&self) -> EngineLoad {
        serde_json::from_value(self.get("/load").json()).unwrap()
    }

    fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn chat(question: &str, max_tokens: u64) -> Value {
    let message = json!({ "role": "user", "content": question });
    json!({ "model": "drafter", "max_tokens": max_tokens, "messages": [message] })
}

fn content(answer: &CallAnswer) -> String {
    answer.json()["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
}

/// Sends a streamed request on a new connection and reads the first bytes of the response.
fn open_stream(
    engine: &EngineProcess,
    mut body: Value,
) -> (berylstep_http::ClientResponse, Vec<u8>) {
    body["stream"] = true.into();
    smol::block_on(async {
        let url = Url::parse(&format!("http://{}/v1/chat/completions", engine.address)).unwrap();
        let mut request = Request::new(Method::Post, url);
        request.set_body(body.to_string());
        let connection = ClientConnection::connect(engine.address).await.unwrap();
        let mut answer = connection.exchange(request).await.unwrap();
        let mut chunk = vec![0; 1024];
        let count = answer.response.read(&mut chunk).await.unwrap();
        chunk.truncate(count);
        (answer, chunk)
    })
}

#[test]
fn another_engine_continues_an_answer_where_it_stopped() {
    let engines = ["first", "second"].map(|name| {
        EngineProcess::start(&["--token-ms", "0", "--mean-tokens", "40", "--name", name])
    });
    for question in ["Marlin?", "Any seats on Friday?", "Label text"] {
        let unbroken = engines[0].chat(&chat(question, 60));
        let text = content(&unbroken);
        let tokens = unbroken.json()["usage"]["completion_tokens"].as_u64().unwrap();
        assert_eq!(text.len() as u64, tokens * 8);
        for sent in 0..=tokens {
            let (head, tail) = text.split_at(sent as usize * 8);
            let mut body = chat(question, 60 - sent);
            let partial = json!({ "role": "assistant", "content": head });
            body["messages"].as_array_mut().unwrap().push(partial);
            body["continue_final_message"] = true.into();
            let resumed = engines[1].chat(&body);
            assert_eq!(content(&resumed), tail, "{question} from token {sent}");
            let reason = &resumed.json()["choices"][0]["finish_reason"];
            assert_eq!(reason, &unbroken.json()["choices"][0]["finish_reason"]);
            assert!(resumed.headers.contains(&("x-resumable".into(), "true".into())));
            body["continue_final_message"] = false.into();
            if !tail.is_empty() {
                let other = content(&engines[1].chat(&body));
                assert_ne!(other, tail, "a new turn is another answer");
            }
        }
    }
    let prompt = |text: &str, max_tokens: u64| {
        let body = json!({ "model": "drafter", "prompt": text, "max_tokens": max_tokens });
        let call = CallRequest::post(engines[1].address, "/v1/completions", &body);
        let answer = smol::block_on(call.send()).unwrap().json();
        answer["choices"][0]["text"].as_str().unwrap().to_owned()
    };
    let whole = prompt("Once", 5);
    assert_eq!(prompt(&format!("Once{}", &whole[..16]), 3), whole[16..]);
}

#[test]
fn a_stream_carries_the_same_text_in_openai_events() {
    let engine = EngineProcess::start(&["--token-ms", "0"]);
    let whole = content(&engine.chat(&chat("Marlin?", 5)));
    let mut body = chat("Marlin?", 5);
    body["stream"] = true.into();
    let streamed = engine.chat(&body).body;
    let events: Vec<_> = streamed.split("\n\n").filter(|event| !event.is_empty()).collect();
    let (done, events) = events.split_last().unwrap();
    assert_eq!(*done, "data: [DONE]");
    let events: Vec<Value> = events
        .iter()
        .map(|event| serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap())
        .collect();
    assert!(events.iter().all(|event| event["object"] == "chat.completion.chunk"));
    let delta = |event: &Value| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned);
    assert_eq!(events.iter().filter_map(delta).collect::<String>(), whole);
    assert_eq!(events[5]["choices"][0]["finish_reason"], "length");
    assert_eq!(events[6]["usage"]["completion_tokens"], 5);
}

#[test]
fn the_batch_is_bounded_and_the_queue_is_by_priority() {
    let engine = EngineProcess::start(&["--token-ms", "2", "--slots", "2"]);
    let streams = [0, 1].map(|index| open_stream(&engine, chat(&format!("long {index}"), 100_000)));
    let queued: Vec<_> = [("low", 9), ("high", 1)]
        .map(|(name, priority)| {
            let mut body = chat(name, 3);
            body["priority"] = priority.into();
            let call = CallRequest::post(engine.address, "/v1/chat/completions", &body);
            let task = smol::spawn(async move {
                call.send().await.unwrap();
                Instant::now()
            });
            let waiting = if name == "low" { 1 } else { 2 };
            engine.wait_until("the call waits", |engine| engine.load().waiting == waiting);
            task
        })
        .into();
    assert_eq!(engine.load().running, 2);
    let [first, second] = streams;
    drop(first);
    let times: Vec<_> = queued.into_iter().map(smol::block_on).collect();
    assert!(times[1] < times[0], "the higher priority is served first");
    drop(second);
    engine.wait_until("both streams are cancelled", |engine| engine.stats().cancelled == 2);
    let stats = engine.stats();
    assert_eq!((stats.finished, stats.peak_batch, stats.peak_waiting), (2, 2, 2));
    assert_eq!(stats.wasted_tokens, stats.tokens - 6);
}

#[test]
fn prefixes_are_cached_in_limited_memory() {
    let engine = EngineProcess::start(&["--token-ms", "0", "--cache-blocks", "20"]);
    let cached = |question: &str| {
        let answer = engine.chat(&chat(question, 1)).json();
        answer["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
    };
    let (first, second) = ("a".repeat(128 * 12), "b".repeat(128 * 12));
    assert_eq!(cached(&first), 0);
    assert_eq!(cached(&first), 12 * 16);
    assert_eq!(cached(&format!("{first} and more")), 12 * 16);
    assert_eq!(cached(&second), 0);
    assert!(cached(&first) < 12 * 16, "the cache holds 20 blocks, not 24");
}

#[test]
fn faults_take_effect() {
    let mut engine = EngineProcess::start(&["--token-ms", "1"]);
    engine.set_faults(&json!({ "error_rate": 1.0 }));
    assert_eq!(engine.chat(&chat("Marlin?", 3)).status, 500);
    engine.set_faults(&json!({ "break_after_tokens": 2 }));
    let mut body = chat("Marlin?", 3);
    body["stream"] = true.into();
    let call = CallRequest::post(engine.address, "/v1/chat/completions", &body);
    assert!(smol::block_on(call.send()).is_err(), "the stream breaks off");
    engine.set_faults(&json!({ "silent": true }));
    let call = CallRequest::post(engine.address, "/v1/chat/completions", &chat("Marlin?", 3));
    let silent = smol::spawn(call.send());
    assert!(engine.get("/control/stats").status == 200);
    engine.set_faults(&json!({}));
    assert_eq!(smol::block_on(silent).unwrap().status, 200);
    let generated = engine.stats().tokens;
    engine.set_faults(&json!({ "crash_after_tokens": generated + 5 }));
    let call = CallRequest::post(engine.address, "/v1/chat/completions", &chat("Marlin?", 50));
    assert!(smol::block_on(call.send()).is_err(), "the engine crashes");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let exit_code = loop {
        if let Some(exit_code) = engine.process.exit_code() {
            break exit_code;
        }
        assert!(Instant::now() < deadline, "the engine did not end");
    };
    assert_eq!(exit_code, 70);
}

#[test]
fn load_reports_lag() {
    let engine = EngineProcess::start(&["--token-ms", "2", "--load-lag-ms", "300"]);
    engine.wait_until("there is a report", |engine| engine.load().running == 0);
    let before = Instant::now();
    let _stream = open_stream(&engine, chat("long", 100_000));
    engine.wait_until("the report has the stream", |engine| engine.load().running == 1);
    assert!(before.elapsed() >= Duration::from_millis(290), "{:?}", before.elapsed());
}

#[test]
fn a_service_records_each_call_and_loses_answers_after_the_effect() {
    let mut command = Command::new(binary("standin"));
    command.args(["service", "--listen", "127.0.0.1:0"]);
    let (_process, address) = ChildProcess::start_listener(&mut command).unwrap();
    let faults = CallRequest::post(address, "/control/faults", &json!({ "lose_answers": 1 }));
    assert_eq!(smol::block_on(faults.send()).unwrap().status, 200);
    let booking = CallRequest::post(address, "/booking/seats", &json!({ "seat": 1 }));
    let booking = booking.header("idempotency-key", "seat-1");
    assert!(smol::block_on(booking.clone().send()).is_err(), "the answer is lost");
    assert_eq!(smol::block_on(booking.send()).unwrap().json()["confirmed"], 2);
    let records = smol::block_on(CallRequest::get(address, "/control/requests").send()).unwrap();
    for record in records.json().as_array().unwrap() {
        assert_eq!(record["idempotency_key"], "seat-1");
    }
    assert_eq!(records.json().as_array().unwrap().len(), 2);
}
