//! Tests of the platform adapter: the platform's formats are decoded into the product's types, and
//! messages to the platform use its names.

use std::net::SocketAddr;
use std::time::Duration;

use berylstep::platform::desired::{decode_desired, evacuated_zone};
use berylstep::platform::entries::{decode_cold_entry, decode_entry};
use berylstep::platform::headers::{
    write_request_headers, CallerHeaders, MovedRun, ResponseHeaders, ResponseOwner, UpstreamHeaders,
};
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::replica::ReplicaState;
use berylstep_http::{RequestMessage, ResponseMessage};

const DESIRED: &str = r#"{"Version":7,"Unknown":{},"Routes":[
  {"Name":"chat","Host":"A.example","Prefix":"/c/","Kind":"stream","TimeoutMs":12000,
   "TargetLatencyMs":300,"Priority":0,"Service":"llm","Attempts":2,"Public":false,
   "StickySessions":true,"Resumable":true,"GapTargetMs":200},
  {"Name":"book","Host":"a.example","Prefix":"/b/","Kind":"unsafe","TimeoutMs":800.0,
   "TargetLatencyMs":100,"Priority":2,"Attempts":1,"Public":true,
   "TrafficSplit":[{"Service":"desk","Weight":90},{"Service":"llm","Weight":10}]},
  {"Name":"odd","Host":"a.example","Prefix":"/o/","Kind":"jobs","TimeoutMs":800,
   "TargetLatencyMs":100,"Service":"desk"}],
 "Services":[
  {"Name":"llm","HealthPath":"/health","ConnectionLimit":370,
   "Engine":{"Slots":64,"KvCacheTokens":803576,"Moves":true,"Stride":5},
   "Scaling":{"Minimum":1,"Maximum":8,"BootS":4.0,"SpotPrice":0.22,"ZonePrices":{"b":1.2,"a":0.85}}},
  {"Name":"desk","HealthPath":"/health"}],
 "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"org","Keys":["k1","k2"],"Priority":1},{"Name":"plain","Keys":["k3"]}]}"#;

#[test]
fn decodes_a_desired_state() {
    let desired = decode_desired(DESIRED.as_bytes()).unwrap();
    assert_eq!((desired.version, desired.route_count()), (7, 3));
    assert!(desired.requires_keys);
    let chat = desired.route("a.example", "/c/x").unwrap();
    assert_eq!((chat.kind, chat.attempts, chat.resumable), (RouteKind::Stream, 2, true));
    assert_eq!(chat.gap_target, Some(Duration::from_millis(200)));
    let book = desired.route("a.example", "/b/x").unwrap();
    assert_eq!(book.timeout, Duration::from_millis(800));
    assert_eq!(book.service(0.95).map(|service| &**service), Some("llm"));
    let odd = desired.route("a.example", "/o/x").unwrap();
    assert_eq!(odd.kind, RouteKind::Unsafe, "requests of an unknown kind must not be retried");
    let org = desired.organisation("k2").unwrap();
    assert_eq!((&*org.name, org.priority), ("org", Some(1)));
    assert_eq!(desired.organisation("k3").unwrap().priority, None);
    assert!(desired.organisation("k4").is_none());
    let scaling = desired.service("llm").unwrap().scaling.clone().unwrap();
    assert_eq!((scaling.minimum, scaling.maximum, scaling.spot_price), (1, 8, Some(0.22)));
    assert_eq!(&*scaling.zone_prices[0].0, "a");
    assert_eq!(desired.service("llm").unwrap().engine.as_ref().unwrap().event_tokens, 5);
    assert_eq!(desired.limits.idle_timeout, Duration::from_secs(15));
}

#[test]
fn a_state_without_organisations_needs_no_keys() {
    let desired = decode_desired(br#"{"Version":1,"Routes":[],"Services":[]}"#).unwrap();
    assert!(!desired.requires_keys);
    assert!(decode_desired(b"{}").is_err());
}

struct EntryCase {
    name: &'static str,
    entry: &'static str,
    /// State and whether the replica is reclaimable; `None` if the entry must be rejected.
    decoded: Option<(ReplicaState, bool)>,
}

#[test]
fn malformed_replica_entries_are_rejected() {
    let cases = [
        EntryCase {
            name: "as written by a replica",
            entry: r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":4}"#,
            decoded: Some((ReplicaState::Ready, false)),
        },
        EntryCase {
            name: "reclaimed",
            entry: r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"draining","Spot":true,"leaves_ms":2500,"born":1}"#,
            decoded: Some((ReplicaState::Draining, true)),
        },
        EntryCase {
            name: "no address",
            entry: r#"{"Service":"s","Zone":"z","Slots":64,"State":"ready"}"#,
            decoded: None,
        },
        EntryCase {
            name: "mistyped slots",
            entry: r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":"64","State":"ready"}"#,
            decoded: None,
        },
        EntryCase {
            name: "unknown state",
            entry: r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"odd"}"#,
            decoded: None,
        },
        EntryCase {
            name: "fractional start time",
            entry: r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"ready","born":1.5}"#,
            decoded: None,
        },
        EntryCase { name: "not JSON", entry: "\u{0}\u{1}", decoded: None },
    ];
    for case in cases {
        let decoded = decode_entry("r", case.entry.as_bytes());
        let found = decoded.as_ref().ok().map(|entry| (entry.state, entry.spot));
        assert_eq!(found, case.decoded, "{}: {decoded:?}", case.name);
    }
}

/// Guards against cold replicas that are taken for warm ones, and against replicas and configurations that are
/// rejected because of a field about coldness.
#[test]
fn reads_what_is_said_about_cold_replicas() {
    let services = [
        (r#""ColdStartS":3.0,"ColdPerS":14.0"#, Some((3000, 14.0))),
        (r#""ColdPerS":14"#, Some((0, 14.0))),
        (r#""ColdStartS":3.0,"ColdPerS":0"#, None),
        (r#""ColdStartS":3.0,"ColdPerS":-1"#, None),
        (r#""ColdStartS":null,"ColdPerS":null"#, None),
        (r#""ColdStartS":3.0"#, None),
    ];
    for (fields, expected) in services {
        let state = format!(r#"{{"Version":1,"Services":[{{"Name":"s",{fields}}}]}}"#);
        let desired = decode_desired(state.as_bytes()).unwrap();
        let rule = desired.service("s").unwrap().cold;
        let found = rule.map(|rule| (rule.start.as_millis(), rule.per_second));
        assert_eq!(found, expected, "{fields}");
    }
    let entries = [
        (r#","ColdRemainingMs":1500.5"#, Some(1500)),
        (r#","ColdRemainingMs":0"#, Some(0)),
        ("", None),
        (r#","ColdRemainingMs":-1"#, None),
        (r#","ColdRemainingMs":"soon""#, None),
        (r#","ColdRemainingMs":null"#, None),
    ];
    for (field, expected) in entries {
        let entry = format!(
            r#"{{"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"ready"{field}}}"#
        );
        let (_, cold) = decode_cold_entry("r", entry.as_bytes()).unwrap();
        assert_eq!(cold.map(|cold| cold.as_millis()), expected, "{field}");
    }
    let keys =
        [("evacuate/b", Some("b")), ("evacuate/", None), ("config", None), ("evacuated/b", None)];
    keys.iter().for_each(|(key, zone)| assert_eq!(evacuated_zone(key), *zone, "{key}"));
}

fn request(headers: &str) -> RequestMessage {
    let head = format!("POST /c/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n");
    RequestMessage::parse(head.as_bytes()).unwrap()
}

#[test]
fn reads_the_headers_of_a_caller() {
    let message = request(
        "Berylstep-Attempt-Id: 9c41\r\nBerylstep-Token-Counts: 1460,80\r\n\
         Berylstep-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
         Berylstep-Deadline-Milliseconds: 12000\r\nX-Api-Key: k1\r\n",
    );
    let headers = CallerHeaders::read(&message.headers);
    assert_eq!(headers.request_id.as_deref(), Some("9c41"));
    assert_eq!(headers.timeout, Some(Duration::from_secs(12)));
    assert_eq!(headers.key.as_deref(), Some("k1"));
    assert_eq!(headers.size, Some(RequestSize { prompt: 1460, output: 80 }));
    assert_eq!(headers.session.as_deref(), Some("91bd3f06"));
    assert_eq!(CallerHeaders::read(&request("").headers), CallerHeaders::default());
}

#[test]
fn forwards_caller_headers_except_those_that_the_system_sets() {
    let forged = "X-Api-Key: k1\r\nBerylstep-Tenant: other\r\nberylstep-urgency-level: 0\r\n\
                  Berylstep-Hold: h\r\nBerylstep-Pin-Milliseconds: 9\r\nBerylstep-Kv-Backup: a:1\r\n\
                  Kv-From: a:1/x\r\nKv-Fetch: a:1\r\nBerylstep-Expected-Replica: i-9\r\n\
                  Berylstep-Expected-Version: 3\r\nBerylstep-Deadline-Milliseconds: 99999\r\n\
                  Connection: X-Once\r\nX-Once: 1\r\n";
    let message = request(&format!("{forged}Berylstep-Attempt-Id: 9c41\r\nX-Own: 1\r\n"));
    let source = SocketAddr::from(([10, 0, 0, 9], 80));
    let moved = MovedRun { source, handle: "h7".to_owned() };
    let headers = UpstreamHeaders {
        time_left: Duration::from_millis(800),
        replica: "i-7",
        organisation: Some("org"),
        priority: 40,
        last_event: Some("12"),
        fetch_from: None,
        moved_run: Some(&moved),
    };
    let mut bytes = Vec::new();
    write_request_headers(&message.headers, &headers, &mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    let mut lines: Vec<_> = text.lines().collect();
    lines.sort_unstable();
    let expected = [
        "Berylstep-Attempt-Id: 9c41",
        "Berylstep-Deadline-Milliseconds: 800",
        "Berylstep-Expected-Replica: i-7",
        "Berylstep-Tenant: org",
        "Berylstep-Urgency-Level: 9",
        "Host: a.example",
        "Kv-From: 10.0.0.9:80/h7",
        "Last-Event-Id: 12",
        "X-Own: 1",
    ];
    assert_eq!(lines, expected);
}

struct ResponseCase {
    name: &'static str,
    head: &'static str,
    owner: ResponseOwner,
    not_executed: bool,
    acceptable: bool,
}

#[test]
fn reads_the_headers_of_an_answer() {
    let cases = [
        ResponseCase {
            name: "own and signed",
            head: "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: 9c41\r\nBerylstep-Replica-Signature: s\r\n\r\n",
            owner: ResponseOwner::Own,
            not_executed: false,
            acceptable: true,
        },
        ResponseCase {
            name: "late answer to another request",
            head: "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: 77\r\nBerylstep-Replica-Signature: s\r\n\r\n",
            owner: ResponseOwner::Other,
            not_executed: false,
            acceptable: false,
        },
        ResponseCase {
            name: "unsigned",
            head: "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: 9c41\r\n\r\n",
            owner: ResponseOwner::Own,
            not_executed: false,
            acceptable: false,
        },
        ResponseCase {
            name: "encoded",
            head: "HTTP/1.1 200 OK\r\nBerylstep-Replica-Signature: s\r\nContent-Encoding: gzip\r\n\r\n",
            owner: ResponseOwner::Unnamed,
            not_executed: false,
            acceptable: false,
        },
        ResponseCase {
            name: "not executed",
            head: "HTTP/1.1 503 Busy\r\nBerylstep-Not-Executed: 1\r\n\r\n",
            owner: ResponseOwner::Unnamed,
            not_executed: true,
            acceptable: false,
        },
        ResponseCase {
            name: "another replica has the address",
            head: "HTTP/1.1 421 Misdirected\r\nBerylstep-Replica-Id: i-9\r\n\r\n",
            owner: ResponseOwner::Unnamed,
            not_executed: true,
            acceptable: false,
        },
        ResponseCase {
            name: "unavailable, execution unknown",
            head: "HTTP/1.1 503 Busy\r\n\r\n",
            owner: ResponseOwner::Unnamed,
            not_executed: false,
            acceptable: false,
        },
    ];
    for case in cases {
        let response = ResponseMessage::parse(case.head.as_bytes()).unwrap();
        let headers = ResponseHeaders::read(&response, Some("9c41"));
        assert_eq!(headers.owner, case.owner, "{}", case.name);
        assert_eq!(headers.not_executed, case.not_executed, "{}", case.name);
        assert_eq!(headers.is_acceptable(&response), case.acceptable, "{}", case.name);
    }
}
