//! Connection pool for replicas.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use berylstep_core::collections::HashMap;
use berylstep_core::fleet::crashes::ProbeResult;
use berylstep_http::{socket, MessageStream};
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use smol::Async;
use socket2::{Domain, Socket, Type};

use crate::clock::RuntimeClock;

/// Connect timeout; a live replica accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without TCP acknowledgements after which a replica is considered dead.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Longest time for which an idle connection is kept, whatever its replica announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Idle timeout of a connection if the replica announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time by which a connection is closed before the replica's own idle timeout expires.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Longest idle time of a connection used for a request that must not run twice. If the replica has
/// dropped the connection unnoticed, the response to such a request is lost.
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_millis(1500);

/// Largest number of idle connections per replica.
const MAX_IDLE_PER_REPLICA: usize = 16;

/// Timeout of a connection that tells whether a replica has crashed; a live one accepts within
/// milliseconds.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a new connection must stay open; a host without a process ends it at once.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(100);

/// Returns whether nothing listens at the address of a replica, because its process has ended.
pub async fn has_crashed(clock: &RuntimeClock, address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match clock.timeout(CRASH_CHECK_TIMEOUT, connecting).await {
        Some(Err(err)) => err.kind() == ErrorKind::ConnectionRefused,
        Some(Ok(_)) | None => false,
    }
}

/// Returns whether a replica accepts connections.
pub async fn accepts_connections(clock: &RuntimeClock, address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    matches!(clock.timeout(CRASH_CHECK_TIMEOUT, connecting).await, Some(Ok(_)))
}

/// Opens a connection to a replica that lost a request, and returns what becomes of it.
pub async fn probe_replica(clock: &RuntimeClock, address: SocketAddr) -> ProbeResult {
    let connecting = TcpStream::connect(address);
    let mut stream = match clock.timeout(CRASH_CHECK_TIMEOUT, connecting).await {
        Some(Ok(stream)) => stream,
        Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
            return ProbeResult::Refused;
        }
        Some(Err(err)) if err.kind() == ErrorKind::ConnectionReset => return ProbeResult::Dropped,
        Some(Err(_)) | None => return ProbeResult::Silent,
    };
    let mut byte = [0];
    match clock.timeout(PROBE_OPEN_TIME, stream.read(&mut byte)).await {
        Some(Ok(0) | Err(_)) => ProbeResult::Dropped,
        Some(Ok(_)) | None => ProbeResult::Open,
    }
}

/// Opens a connection from a local address.
async fn connect_from(source: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Err(err) if !is_in_progress(&err) => return Err(err),
        Ok(()) | Err(_) => {}
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(err) => Err(err),
        None => Ok(stream.into()),
    }
}

fn is_in_progress(err: &std::io::Error) -> bool {
    err.kind() == ErrorKind::WouldBlock
        || err.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
}

/// Pool of idle connections to replicas.
#[derive(Debug)]
pub struct UpstreamPool {
    clock: RuntimeClock,
    /// Address from which connections are opened; by default the system chooses it.
    source: Option<IpAddr>,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleStream>>>,
}

#[derive(Debug)]
struct IdleStream {
    stream: MessageStream,
    idle_since: Duration,
    expires_at: Duration,
}

/// A connection on which a request can be sent.
#[derive(Debug)]
pub struct UpstreamStream {
    /// Message stream over the connection.
    pub stream: MessageStream,
    /// Whether it came from the pool and has carried a request before.
    pub reused: bool,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(clock: RuntimeClock, source: Option<IpAddr>) -> Self {
        Self { clock, source, idle: RefCell::default() }
    }

    /// Returns an idle connection or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica cannot be reached. No byte of a request was sent then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        retryable: bool,
    ) -> std::io::Result<UpstreamStream> {
        if let Some(stream) = self.take_idle(address, retryable) {
            return Ok(UpstreamStream { stream, reused: true });
        }
        let stream = self.open(address).await?;
        socket::configure_with_timeout(&stream, DEAD_PEER_TIMEOUT)?;
        Ok(UpstreamStream { stream: MessageStream::new(stream), reused: false })
    }

    /// Opens a connection that is not for a request yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica cannot be reached in time.
    pub async fn open(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let connecting = async {
            match self.source {
                Some(source) => connect_from(source, address).await,
                None => TcpStream::connect(address).await,
            }
        };
        let connected = self.clock.timeout(CONNECT_TIMEOUT, connecting).await;
        connected.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
    }

    /// Returns a connection to the pool after its last response was read completely.
    /// `keep_alive` is the idle timeout that the replica announced.
    pub fn release(
        &self,
        address: SocketAddr,
        stream: MessageStream,
        keep_alive: Option<Duration>,
    ) {
        let is_clean = !stream.has_buffered_bytes() && socket::is_idle_and_open(&stream.stream);
        let announced =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.saturating_sub(IDLE_MARGIN));
        let lifetime = announced.min(MAX_IDLE_TIMEOUT);
        if !is_clean || lifetime.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_REPLICA {
            streams.push(IdleStream { stream, idle_since: now, expires_at: now + lifetime });
        }
    }

    /// Closes the idle connections to a replica.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections whose idle timeout has expired.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|idle| now < idle.expires_at);
            !streams.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, retryable: bool) -> Option<MessageStream> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&address)?;
        while let Some(candidate) = streams.pop() {
            let is_fresh = now < candidate.expires_at
                && (retryable || now.saturating_sub(candidate.idle_since) < MAX_IDLE_NON_RETRYABLE);
            if is_fresh && socket::is_idle_and_open(&candidate.stream.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }
}
