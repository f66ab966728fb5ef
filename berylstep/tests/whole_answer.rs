//! Callers receive the complete response to their own request, or a visibly incomplete one.

#[path = "support/fake_upstream.rs"]
mod fake_upstream;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylstep_standins::client::{CallAnswer, CallError, CallRequest};
use berylstep_standins::relay::{RelayMode, TcpRelay};
use berylstep_standins::site::TrialSite;
use fake_upstream::{configure, publish, vm, wait_until, write_chunk};
use fake_upstream::{FakeRequest, FakeUpstream, RIVERS_KEY};
use serde_json::{json, Value};

const TOKENS: usize = 12;

fn start_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_node("a", &[]).unwrap();
    site.wait_ready();
    configure(&site, 10_000, &[("drafter", json!({ "model": "drafter" }), "idempotent")]);
    site
}

fn chat(site: &TrialSite) -> Result<CallAnswer, CallError> {
    smol::block_on(chat_call(site.nodes[0].caller_address).send())
}

fn chat_call(node: SocketAddr) -> CallRequest {
    let message = json!({
        "model": "drafter", "stream": true, "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": "Where do marlin run?" }],
    });
    let target = "/v1/chat/completions";
    CallRequest::post(node, target, &message).key(RIVERS_KEY)
}

fn completion(site: &TrialSite) -> Result<CallAnswer, CallError> {
    let message =
        json!({ "model": "drafter", "stream": true, "max_tokens": TOKENS, "prompt": "Marlin" });
    let target = "/v1/completions";
    let call = CallRequest::post(site.nodes[0].caller_address, target, &message).key(RIVERS_KEY);
    smol::block_on(call.send())
}

fn token(index: usize) -> String {
    format!("t{index} ")
}

fn whole_text() -> String {
    (0..TOKENS).map(token).collect()
}

/// Fault of an engine in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineFault {
    None,
    /// Closes the connection after this many tokens.
    CloseAfter(usize),
    /// Closes the connection inside the event that follows this many tokens.
    CloseInside(usize),
    /// Sends the last chunk inside the event that follows this many tokens.
    EndInside(usize),
}

/// Starts an engine; with `continues` set, it continues from the text of a final assistant message
/// or a longer prompt.
fn engine(fault: EngineFault, resumable: bool, continues: bool) -> FakeUpstream {
    FakeUpstream::start(move |request, stream| {
        serve_stream(request, stream, fault, resumable, continues);
    })
}

fn serve_stream(
    request: &FakeRequest,
    stream: &mut TcpStream,
    fault: EngineFault,
    resumable: bool,
    continues: bool,
) {
    let body = request.json();
    let is_chat = body["messages"].is_array();
    let given = given_text(&body).filter(|_| continues).unwrap_or_default();
    let start = given.split_whitespace().count();
    let count = body["max_tokens"].as_u64().unwrap() as usize;
    let mut head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n".to_owned();
    if resumable {
        head.push_str("x-resumable: true\r\n");
    }
    let _ = write!(stream, "{head}transfer-encoding: chunked\r\n\r\n");
    let id = format!("answer-{}", stream.local_addr().unwrap().port());
    if is_chat {
        let role = json!({ "index": 0, "delta": { "role": "assistant", "content": "" } });
        write_chunk(stream, &format!("data: {}\n\n", json!({ "id": id, "choices": [role] })));
    }
    for index in 0..count {
        if fault == EngineFault::CloseAfter(index) {
            return;
        }
        let text = token(start + index);
        let choice = match is_chat {
            true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": null }),
            false => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        let event = format!("data: {}\n\n", json!({ "id": id, "choices": [choice] }));
        if fault == EngineFault::CloseInside(index) {
            return write_chunk(stream, &event[..event.len() / 2]);
        }
        if fault == EngineFault::EndInside(index) {
            write_chunk(stream, &event[..event.len() / 2]);
            let _ = stream.write_all(b"0\r\n\r\n");
            return;
        }
        write_chunk(stream, &event);
        std::thread::sleep(Duration::from_millis(5));
    }
    let usage = json!({ "prompt_tokens": 7 + start, "completion_tokens": count });
    let last = json!({ "id": id, "choices": [], "usage": usage });
    write_chunk(stream, &format!("data: {last}\n\ndata: [DONE]\n\n"));
    let _ = stream.write_all(b"0\r\n\r\n");
}

fn given_text(body: &Value) -> Option<String> {
    if let Some(prompt) = body["prompt"].as_str() {
        return Some(prompt.trim_start_matches("Marlin").to_owned());
    }
    if body["continue_final_message"] != true || body["add_generation_prompt"] != false {
        return None;
    }
    let last = body["messages"].as_array()?.last()?;
    Some(last["content"].as_str()?.to_owned())
}

/// Text, ids and usage parsed from a stream.
#[derive(Debug, Default)]
struct ParsedStream {
    text: String,
    ids: Vec<String>,
    usage: Value,
    roles: usize,
    done: bool,
}

fn content(body: &str) -> ParsedStream {
    let mut found = ParsedStream::default();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            found.done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        let choice = &event["choices"][0];
        let added = choice["delta"]["content"].as_str().or(choice["text"].as_str());
        found.text.push_str(added.unwrap_or_default());
        found.roles += usize::from(choice["delta"]["role"].is_string());
        let id = event["id"].as_str().unwrap().to_owned();
        if !found.ids.contains(&id) {
            found.ids.push(id);
        }
        if event["usage"].is_object() {
            found.usage = event["usage"].clone();
        }
    }
    found
}

fn assert_unbroken(name: &str, answer: &CallAnswer) {
    let found = content(&answer.body);
    assert_eq!(found.text, whole_text(), "{name}");
    assert!(found.done, "{name}: {}", answer.body);
    assert_eq!(found.ids.len(), 1, "{name}: {:?}", found.ids);
    assert!(found.roles <= 1, "{name}");
    assert_eq!(found.usage["completion_tokens"], TOKENS, "{name}");
    assert_eq!(found.usage["prompt_tokens"], 7, "{name}");
}

struct BreakCase {
    name: &'static str,
    fault: EngineFault,
    resumable: bool,
    /// Whether the chat and the completion are still complete. They differ for a fault before the
    /// first token: by then a chat has already sent its role event and can't be retried.
    whole: [bool; 2],
}

/// Starts two engines; the first to receive a request after `armed` is set has the fault.
fn engine_pair(case: &BreakCase, armed: &Arc<AtomicBool>) -> [FakeUpstream; 2] {
    let &BreakCase { fault, resumable, .. } = case;
    [armed.clone(), armed.clone()].map(|armed| {
        FakeUpstream::start(move |request, stream| {
            let fault = if armed.swap(false, Ordering::SeqCst) { fault } else { EngineFault::None };
            serve_stream(request, stream, fault, resumable, true);
        })
    })
}

#[test]
fn broken_streams_are_resumed_without_a_seam_or_end_visibly_broken() {
    let site = start_site();
    let break_case = |name, fault, resumable, whole| BreakCase { name, fault, resumable, whole };
    let cases = [
        break_case("no fault", EngineFault::None, true, [true, true]),
        break_case("before the first token", EngineFault::CloseAfter(0), false, [false, true]),
        break_case("after some tokens", EngineFault::CloseAfter(5), true, [true, true]),
        break_case("inside an event", EngineFault::CloseInside(5), true, [true, true]),
        break_case("engine does not resume", EngineFault::CloseAfter(5), false, [false, false]),
        break_case("last chunk inside an event", EngineFault::EndInside(5), true, [true, true]),
        break_case("last chunk, not resumed", EngineFault::EndInside(5), false, [false, false]),
    ];
    let calls: [fn(&TrialSite) -> _; 2] = [chat, completion];
    for case in cases {
        let armed = Arc::new(AtomicBool::new(false));
        let engines = engine_pair(&case, &armed);
        let id = |index| format!("{}-{index}", case.name.replace(' ', "-"));
        let vms = [engines[0].vm(&id(0), "drafter"), engines[1].vm(&id(1), "drafter")];
        publish(&site, &vms);
        for (call, whole) in calls.iter().zip(case.whole) {
            armed.store(true, Ordering::SeqCst);
            let answered = call(&site);
            assert!(!armed.load(Ordering::SeqCst), "{}: no engine was asked", case.name);
            match answered {
                Ok(answer) if whole => assert_unbroken(case.name, &answer),
                Ok(answer) => panic!("{}: ended as if whole: {}", case.name, answer.body),
                Err(err) => assert!(!whole, "{}: {err}", case.name),
            }
        }
    }
}

#[test]
fn a_connection_that_goes_silent_is_told_from_a_dead_upstream() {
    let site = start_site();
    let slow = FakeUpstream::start(|request, stream| {
        // The first response stalls midway, as if a firewall had lost track of the connection.
        if request.index == 0 {
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        x-resumable: true\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            for index in 0..4 {
                let delta = json!({ "index": 0, "delta": { "content": token(index) } });
                let event = json!({ "id": "answer-0", "choices": [delta] });
                write_chunk(stream, &format!("data: {event}\n\n"));
            }
            std::thread::sleep(Duration::from_secs(15));
            return;
        }
        serve_stream(request, stream, EngineFault::None, true, true);
    });
    publish(&site, &[slow.vm("only", "drafter")]);
    let began = Instant::now();
    let answer = chat(&site).expect("the stream is resumed at the same upstream");
    assert_unbroken("silent connection", &answer);
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
    assert_eq!(slow.records().len(), 2);
}

#[test]
fn an_upstream_behind_a_dead_path_is_left_for_another() {
    let site = start_site();
    let engines = [engine(EngineFault::None, true, true), engine(EngineFault::None, true, true)];
    let relay = TcpRelay::start(engines[0].address).unwrap();
    let vms = [vm("relayed", "drafter", relay.address()), engines[1].vm("direct", "drafter")];
    publish(&site, &vms);
    relay.set_mode(RelayMode::Hold);
    for _ in 0..4 {
        let answer = chat(&site).expect("another engine answers");
        assert_unbroken("held path", &answer);
    }
}

#[test]
fn a_stream_outlives_the_kill_of_its_engine() {
    let mut site = start_site();
    for _ in 0..2 {
        site.add_engine("drafter", "a", &["--token-ms", "20"]).unwrap();
    }
    wait_until("an engine serves", || chat(&site).is_ok_and(|answer| answer.status == 200));
    let unbroken = content(&chat(&site).unwrap().body);
    let received = |site: &TrialSite| -> Vec<usize> {
        let engines = site.upstreams.iter().map(|engine| {
            let call = CallRequest::get(engine.address, "/control/requests");
            site.call(call).json().as_array().map_or(0, Vec::len)
        });
        engines.collect()
    };
    let before = received(&site);
    let node = site.nodes[0].caller_address;
    let caller = std::thread::spawn(move || smol::block_on(chat_call(node).send()));
    let mut serving = None;
    wait_until("an engine received the stream", || {
        let now = received(&site);
        serving = (0..now.len()).find(|&engine| now[engine] > before[engine]);
        serving.is_some()
    });
    // Kill the engine only after its first tokens, which take 20 ms each.
    std::thread::sleep(Duration::from_millis(100));
    site.upstreams[serving.unwrap()].process.kill();
    let resumed = content(&caller.join().unwrap().expect("the stream is resumed").body);
    assert_eq!(resumed.text, unbroken.text);
    assert_eq!(resumed.usage["completion_tokens"], unbroken.usage["completion_tokens"]);
    assert_eq!(resumed.ids.len(), 1, "{:?}", resumed.ids);
    assert!(resumed.done);
}
