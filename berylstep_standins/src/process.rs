//! Child processes of tests and trials.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

use rustix::process::{kill_process, Pid, Signal};

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `command` with its output passed on.
    pub fn start(command: &mut Command) -> std::io::Result<Self> {
        Ok(Self { child: spawn(command.stdin(Stdio::null()))? })
    }

    /// Starts `command` and reads the address that it prints as `listening ADDRESS`.
    pub fn start_listener(command: &mut Command) -> std::io::Result<(Self, SocketAddr)> {
        let mut child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let process = Self { child };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address.ok_or_else(|| std::io::Error::other("no address was printed"))?;
        Ok((process, address))
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process where it stands.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Exit code, if the process has ended; -1 where a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of one of the workspace's binaries, which stand beside or above the running one.
pub fn binary(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().expect("own path is known");
    while folder.pop() {
        let candidate = folder.join(name);
        if candidate.is_file() {
            return candidate;
        }
    }
    panic!("binary {name} is not built: run `cargo build --workspace` first");
}

/// Ports below the range from which the system takes ports for outgoing connections, which would
/// otherwise take one between its choice and its use.
const LISTENER_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Held while a process is started and while a port is probed: a process that is being started
/// holds this one's sockets until it runs its own program, and would keep a probed port in use.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Starts `command`, apart from any probe of a port.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _start = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// UDP sockets that keep the numbers of chosen ports from being chosen again, by this process or
/// by another one; the ports themselves are used for TCP.
static RESERVATIONS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// An address on loopback that is free, and that is chosen once only while this process runs.
pub fn free_address() -> SocketAddr {
    let _start = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], fastrand::u16(LISTENER_PORTS)));
        let Ok(reservation) = UdpSocket::bind(address) else { continue };
        if TcpListener::bind(address).is_ok() {
            RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(reservation);
            return address;
        }
    }
}
