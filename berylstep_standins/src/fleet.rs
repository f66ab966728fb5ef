//! Stand-ins of the users' platform for gateways: its store and cloud, and replicas on raw sockets
//! whose behaviour a script decides. Each connection has a thread; threads end with the process.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::{json, Value};

pub mod gateway;
pub mod message;
pub mod replica;
pub mod store;

/// Key of the only organisation of [`desired_state`], as a header line.
pub const KEY_HEADER: &str = "X-Api-Key: key-of-org\r\n";

/// A desired state with one safe, one unsafe and two stream routes, on services of these names.
pub fn desired_state(version: u64) -> Value {
    let tenants = json!([{"Name": "org", "Keys": ["key-of-org"], "Priority": 1}]);
    desired_state_for(version, &tenants)
}

/// The same for these organisations.
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

/// Serves each connection to a new address of loopback in a thread.
fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Locks also what a failed thread held: its state is still what it did.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
