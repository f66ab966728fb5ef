//! Scripted replicas that respond before they have read the body of a request.

use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use socket2::SockRef;

use super::message::{read_message_head, RawMessage};
use super::replica::entry;
use super::{listen, lock};

/// A replica that reads only the head of a request before it responds, and closes the connection afterwards.
#[derive(Clone, Debug)]
pub struct EarlyReplica {
    /// Identifier, the key of its entry in the store.
    pub id: String,
    /// Address of its listener.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<RawMessage>>>,
}

impl EarlyReplica {
    /// Starts a replica that handles each request with `script`, which gets it without its body.
    pub fn start(
        id: &str,
        script: impl Fn(&RawMessage, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        Self::start_beyond(None, id, script)
    }

    /// Starts a replica like [`Self::start`] that resets all connections from the address `cut`.
    pub fn start_beyond(
        cut: Option<IpAddr>,
        id: &str,
        script: impl Fn(&RawMessage, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<RawMessage>>> = Arc::default();
        let (messages, script) = (received.clone(), Arc::new(script));
        let address = listen(move |mut stream| {
            if cut.is_some() && stream.peer_addr().ok().map(|source| source.ip()) == cut {
                return reset_on_close(&stream);
            }
            if let Some(request) = read_message_head(&mut stream) {
                lock(&messages).push(request.clone());
                script(&request, &mut stream);
            }
        });
        Self { id: id.to_owned(), address, received }
    }

    /// Returns the heads of the requests received so far, in order.
    pub fn received(&self) -> Vec<RawMessage> {
        lock(&self.received).clone()
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        entry(self.address, service, "ready")
    }
}

/// Makes a close reset the connection even if all received bytes have been read.
///
/// # Panics
///
/// If the system rejects the option.
pub fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the option is valid");
}
