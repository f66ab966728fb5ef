//! Connections from a loopback address of the client's own, which the standard library can't open.

use std::io::{Error, Result};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::os::fd::AsRawFd;
use std::time::Duration;

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_SNDTIMEO: i32 = 21;
const IPPROTO_IP: i32 = 0;
const IP_BIND_ADDRESS_NO_PORT: i32 = 24;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

#[repr(C)]
struct TimeVal {
    seconds: i64,
    micros: i64,
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

fn sock_addr(ip: IpAddr, port: u16) -> Result<SockAddrIn> {
    let IpAddr::V4(ip) = ip else { return Err(Error::other("not an IPv4 address")) };
    let address = u32::from_ne_bytes(ip.octets());
    Ok(SockAddrIn { family: AF_INET as u16, port: port.to_be(), address, zero: [0; 8] })
}

fn check(result: i32) -> Result<i32> {
    match result {
        -1 => Err(Error::last_os_error()),
        result => Ok(result),
    }
}

/// Connects from the address `own` to `address` within `timeout`.
pub fn connect_from(own: IpAddr, address: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let length = std::mem::size_of::<SockAddrIn>() as u32;
    let limit =
        TimeVal { seconds: timeout.as_secs() as i64, micros: i64::from(timeout.subsec_micros()) };
    let one = 1_i32;
    let (from, to) = (sock_addr(own, 0)?, sock_addr(address.ip(), address.port())?);
    // SAFETY: the pointers are to values of these sizes that live until the calls return, and the descriptor is
    // owned by nobody else.
    unsafe {
        let socket = OwnedFd::from_raw_fd(check(socket(AF_INET, SOCK_STREAM_CLOEXEC, 0))?);
        let fd = socket.as_raw_fd();
        let value = std::ptr::from_ref(&limit).cast();
        check(setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, value, std::mem::size_of::<TimeVal>() as u32))?;
        let value = std::ptr::from_ref(&one).cast();
        check(setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, value, 4))?;
        check(bind(fd, &from, length))?;
        check(connect(fd, &to, length))?;
        Ok(TcpStream::from(socket))
    }
}
