//! Idle connections to upstreams and to the platform.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use berylstep_core::collections::HashMap;
use berylstep_http::client::ConnectionReuse;
use berylstep_http::{ClientConnection, ClientResponse, ExchangeError, SendTerms};
use http_types::Request;

use crate::clock::RuntimeClock;

/// Longest time a connection stays idle; below common connection-tracking limits.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Whether an exchange may use an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection or a new one.
    Any,
    /// A new connection, which the peer can't have closed before the request was sent.
    Fresh,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: RuntimeClock,
    connect_timeout: Duration,
    loss_detection: Option<Duration>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    idle_since: Duration,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new(clock: RuntimeClock, connect_timeout: Duration) -> Self {
        Self { clock, connect_timeout, loss_detection: None, idle: Mutex::default() }
    }

    /// Finds new connections that have gone silent within about twice `limit`.
    pub fn with_loss_detection(mut self, limit: Duration) -> Self {
        self.loss_detection = Some(limit);
        self
    }

    /// Sends `request` to `address` and receives the head of the answer.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request,
        choice: ConnectionChoice,
    ) -> Result<ClientResponse, ExchangeError> {
        self.connection(address, choice).await?.exchange(request).await
    }

    /// Returns a connection that is ready for one request; nothing has been sent on an error.
    pub async fn connection(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<ClientConnection, ExchangeError> {
        let idle = match choice {
            ConnectionChoice::Any => self.take_idle(address),
            ConnectionChoice::Fresh => None,
        };
        match idle {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Sends `request` on a new connection, for as long as `terms` permit it.
    pub async fn exchange_while_permitted(
        &self,
        address: SocketAddr,
        request: Request,
        terms: SendTerms<'_>,
    ) -> Result<ClientResponse, ExchangeError> {
        if !(terms.is_permitted)() {
            return Err(ExchangeError::NotPermitted);
        }
        let connection = self.connect(address).await?;
        connection.exchange_while_permitted(request, terms).await
    }

    /// Takes the connection of an answer back if the answer was read whole and clean.
    pub fn release(&self, address: SocketAddr, reuse: ConnectionReuse) {
        let Some(connection) = reuse.into_connection() else { return };
        let idle_since = self.clock.now();
        let mut idle = self.idle.lock().expect("connection pool lock");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, idle_since });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("connection pool lock");
        idle.retain(|_, connections| {
            connections.retain(|idle| now.saturating_sub(idle.idle_since) < MAX_IDLE);
            !connections.is_empty()
        });
    }

    async fn connect(&self, address: SocketAddr) -> Result<ClientConnection, ExchangeError> {
        let connecting = ClientConnection::connect(address);
        let connected = self.clock.timeout(self.connect_timeout, connecting).await;
        let timed_out = || ExchangeError::Connect(std::io::ErrorKind::TimedOut.into());
        let connection = connected.unwrap_or_else(|| Err(timed_out()))?;
        match self.loss_detection {
            Some(limit) => connection.with_dead_peer_timeout(limit),
            None => Ok(connection),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ClientConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("connection pool lock");
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let fresh = now.saturating_sub(candidate.idle_since) < MAX_IDLE;
            if fresh && candidate.connection.is_open() {
                return Some(candidate.connection);
            }
        }
        None
    }
}
