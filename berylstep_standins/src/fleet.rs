//! Stand-ins for the platform around gateways: its store and cloud API, and scripted replicas on
//! raw sockets. Each connection is served by its own thread, which lives until the process exits.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::{json, Value};

pub mod brittle;
pub mod crash;
pub mod cut;
pub mod early;
pub mod gateway;
pub mod message;
pub mod peer;
pub mod replica;
pub mod store;
pub mod versions;

/// Header line with the API key of the only organisation in [`desired_state`].
pub const KEY_HEADER: &str = "X-Api-Key: key-of-org\r\n";

/// Returns a desired state of this version with the routes `safe`, `unsafe`, `plain` and
/// `resumable`, each to the service of the same name.
pub fn desired_state(version: u64) -> Value {
    let tenants = json!([{"Name": "org", "Keys": ["key-of-org"], "Priority": 1}]);
    desired_state_for(version, &tenants)
}

/// Returns the same desired state with these organisations.
pub fn desired_state_for(version: u64, organisations: &Value) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({"Name": name, "Host": "h.example", "Prefix": format!("/{name}/"), "Kind": kind,
               "TimeoutMs": 3000, "TargetLatencyMs": 200, "Priority": 0, "Service": name,
               "Attempts": attempts, "Public": false, "Resumable": resumable, "GapTargetMs": 200})
    };
    let names = ["safe", "unsafe", "plain", "resumable"];
    let services: Vec<_> =
        names.iter().map(|name| json!({"Name": name, "ConnectionLimit": 100})).collect();
    json!({
        "Version": version,
        "Routes": [route("safe", "safe", 2, false), route("unsafe", "unsafe", 1, false),
                   route("plain", "stream", 1, false), route("resumable", "stream", 2, true)],
        "Services": services,
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": organisations,
    })
}

/// Adds `count` routes with hosts of their own, of about 250 bytes each, to a desired state.
pub fn add_routes(state: &mut Value, count: usize) {
    let mut added = state["Routes"][0].clone();
    if let Some(routes) = state["Routes"].as_array_mut() {
        for number in 0..count {
            added["Name"] = json!(format!("added-{number}"));
            added["Host"] = json!(format!("h{number}.example"));
            routes.push(added.clone());
        }
    }
}

/// Listens on a free loopback port and serves each connection on its own thread.
fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Locks a mutex, ignoring poisoning: state left by a panicked thread is still valid.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
