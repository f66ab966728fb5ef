//! Connections to replicas.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::HashMap;
use berylstep_http::{socket, MessageStream};
use smol::net::TcpStream;

use crate::clock::RuntimeClock;

/// Longest time to connect; a replica that lives accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a replica that acknowledges nothing is given up.
const LOSS_DETECTION: Duration = Duration::from_millis(1200);

/// Idle time after which a connection is closed, where the replica names no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Time before a replica's own idle timeout at which a connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Longest idle time of a connection that carries a request which must not run twice: a connection
/// that the replica has dropped unseen costs such a request its answer.
const UNREPEATABLE_IDLE: Duration = Duration::from_millis(1500);

/// Idle connections that are kept to one replica.
const MAX_IDLE_PER_REPLICA: usize = 16;

/// Idle connections to replicas.
#[derive(Debug)]
pub struct UpstreamPool {
    clock: RuntimeClock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleStream>>>,
}

#[derive(Debug)]
struct IdleStream {
    stream: MessageStream,
    since: Duration,
    expires: Duration,
}

/// A connection for one request.
#[derive(Debug)]
pub struct UpstreamStream {
    /// Connection.
    pub stream: MessageStream,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl UpstreamPool {
    /// An empty pool.
    pub fn new(clock: RuntimeClock) -> Self {
        Self { clock, idle: RefCell::default() }
    }

    /// A connection for a request; nothing has been sent on an error.
    pub async fn connect(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> std::io::Result<UpstreamStream> {
        if let Some(stream) = self.take_idle(address, repeatable) {
            return Ok(UpstreamStream { stream, reused: true });
        }
        let connecting = TcpStream::connect(address);
        let connected = self.clock.timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = connected.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))?;
        socket::configure_with_timeout(&stream, LOSS_DETECTION)?;
        Ok(UpstreamStream { stream: MessageStream::new(stream), reused: false })
    }

    /// Takes back a connection whose last answer was read whole; `keep_alive` is the replica's own
    /// idle timeout.
    pub fn give_back(
        &self,
        address: SocketAddr,
        stream: MessageStream,
        keep_alive: Option<Duration>,
    ) {
        let is_clean = !stream.has_buffered_bytes() && socket::is_idle_and_open(&stream.stream);
        let lifetime =
            keep_alive.map_or(DEFAULT_IDLE, |timeout| timeout.saturating_sub(IDLE_MARGIN));
        if !is_clean || lifetime.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_REPLICA {
            streams.push(IdleStream { stream, since: now, expires: now + lifetime });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|idle| now < idle.expires);
            !streams.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, repeatable: bool) -> Option<MessageStream> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&address)?;
        while let Some(candidate) = streams.pop() {
            let is_fresh = now < candidate.expires
                && (repeatable || now.saturating_sub(candidate.since) < UNREPEATABLE_IDLE);
            if is_fresh && socket::is_idle_and_open(&candidate.stream.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }
}
