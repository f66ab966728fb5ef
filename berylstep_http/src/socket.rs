//! TCP socket options that detect dead connections.

use std::time::Duration;

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keepalive probe; shorter than common connection-tracking timeouts.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Unanswered keepalive probes after which a connection is considered dead.
const KEEPALIVE_RETRIES: u32 = 3;

/// Time for which sent data or keepalive probes may stay unacknowledged before a connection is
/// considered dead, whatever the number of probes.
const USER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sets `TCP_NODELAY`, keepalive and `TCP_USER_TIMEOUT`.
///
/// Fails if the system rejects an option.
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

/// Sets `TCP_NODELAY`, and options that detect a dead peer within about twice `timeout`.
pub fn configure_with_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(timeout.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Bounds the bytes that the system keeps unread and unsent for a connection.
///
/// Fails if the system rejects an option.
pub fn bound_buffers(stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Makes the connection fail if bytes stay unacknowledged for `timeout`, and discards unsent bytes
/// when the stream is dropped.
pub fn set_delivery_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    socket.set_linger(Some(Duration::ZERO))
}

/// Returns whether an idle connection is open and has no unread bytes.
pub fn is_idle_and_open(stream: &TcpStream) -> bool {
    let mut probe = [std::mem::MaybeUninit::uninit(); 1];
    match SockRef::from(stream).peek(&mut probe) {
        Ok(_) => false,
        Err(err) => err.kind() == std::io::ErrorKind::WouldBlock,
    }
}
