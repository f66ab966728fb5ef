//! Replicas whose answers a script writes.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{json, Value};

use super::message::{read_message, RawMessage};
use super::{listen, lock};

/// A replica.
#[derive(Clone, Debug)]
pub struct FakeReplica {
    /// Identifier.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<RawMessage>>>,
}

impl FakeReplica {
    /// Answers each request by `script`, which gets its number at this replica and tells whether
    /// the connection is kept.
    pub fn start(
        id: &str,
        script: impl Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<RawMessage>>> = Arc::default();
        let kept = received.clone();
        let script = Arc::new(script);
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let index = {
                    let mut received = lock(&kept);
                    received.push(message.clone());
                    received.len() - 1
                };
                if !script(&message, index, reader.get_mut()) {
                    return;
                }
            }
        });
        Self { id: id.to_owned(), address, received }
    }

    /// Requests so far, in order.
    pub fn received(&self) -> Vec<RawMessage> {
        lock(&self.received).clone()
    }

    /// Entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        entry(self.address, service, state)
    }
}

/// Entry in the store of a replica that is reached at `address`.
pub fn entry(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({"Service": service, "Address": address, "Zone": "a", "Version": "v1",
           "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 1})
}
