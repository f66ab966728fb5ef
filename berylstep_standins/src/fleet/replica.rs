//! Scripted replicas.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{json, Value};

use super::message::{read_message, RawMessage};
use super::{listen, lock};

/// A replica that serves requests with a script, on a loopback address.
#[derive(Clone, Debug)]
pub struct FakeReplica {
    /// Identifier, the key of its entry in the store.
    pub id: String,
    /// Address of its listener.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<RawMessage>>>,
}

impl FakeReplica {
    /// Starts a replica that handles each request with `script`.
    ///
    /// The script gets the request, its index at this replica (from 0) and the connection, and
    /// returns whether to keep the connection open.
    pub fn start(
        id: &str,
        script: impl Fn(&RawMessage, usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<RawMessage>>> = Arc::default();
        let messages = received.clone();
        let script = Arc::new(script);
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                let index = {
                    let mut received = lock(&messages);
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

    /// Starts a replica that handles the requests of each connection with a script of its own, made by
    /// `new_script`. It returns whether to keep the connection open.
    pub fn start_with<S>(id: &str, new_script: impl Fn() -> S + Send + Sync + 'static) -> Self
    where
        S: FnMut(&RawMessage, &mut TcpStream) -> bool,
    {
        let received: Arc<Mutex<Vec<RawMessage>>> = Arc::default();
        let messages = received.clone();
        let new_script = Arc::new(new_script);
        let address = listen(move |stream| {
            let mut script = new_script();
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                lock(&messages).push(message.clone());
                if !script(&message, reader.get_mut()) {
                    return;
                }
            }
        });
        Self { id: id.to_owned(), address, received }
    }

    /// Returns the requests received so far, in order.
    pub fn received(&self) -> Vec<RawMessage> {
        lock(&self.received).clone()
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        entry(self.address, service, state)
    }
}

/// Returns the store entry of a replica that is reachable at `address`.
pub fn entry(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({"Service": service, "Address": address, "Zone": "a", "Version": "v1",
           "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 1})
}
