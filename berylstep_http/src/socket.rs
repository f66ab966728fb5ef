//! Socket options that find dead connections.

use std::time::Duration;

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keepalive probe; below common connection-tracking limits.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Unanswered keepalive probes after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 3;

/// Time that sent data may stay unacknowledged before a connection is dead.
const USER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sets no-delay, keepalive and the user timeout.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets no-delay, and finds a dead peer within about twice `limit`.
pub fn configure_with_timeout(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limit.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limit))
}

/// Gives up unacknowledged bytes after `limit`, and unsent ones when the stream is dropped.
pub fn limit_delivery(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(limit))?;
    socket.set_linger(Some(Duration::ZERO))
}

/// Whether an idle connection is open and has no unread bytes.
pub fn is_idle_and_open(stream: &TcpStream) -> bool {
    let mut probe = [std::mem::MaybeUninit::uninit(); 1];
    match SockRef::from(stream).peek(&mut probe) {
        Ok(_) => false,
        Err(err) => err.kind() == std::io::ErrorKind::WouldBlock,
    }
}
