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
    /// Starts `command` without standard input; output is inherited unless `command` redirects it.
    pub fn start(command: &mut Command) -> std::io::Result<Self> {
        Ok(Self { child: spawn(command.stdin(Stdio::null()))? })
    }

    /// Starts `command` and reads the address from the line `listening ADDRESS` that it prints.
    ///
    /// Fails if the first line of output is another one.
    pub fn start_listener(command: &mut Command) -> std::io::Result<(Self, SocketAddr)> {
        let mut child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let process = Self { child };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address
            .ok_or_else(|| std::io::Error::other("process did not print its listener address"))?;
        Ok((process, address))
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process; errors are ignored.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit code once the process has exited; -1 if a signal terminated it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// Kills the process and waits for it to exit.
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

/// Returns the path of a workspace binary, searched for in the directory of the running executable
/// and its parents.
///
/// # Panics
///
/// If the binary has not been built.
pub fn binary(name: &str) -> PathBuf {
    let mut directory = std::env::current_exe().expect("path of the executable is known");
    while directory.pop() {
        let candidate = directory.join(name);
        if candidate.is_file() {
            return candidate;
        }
    }
    panic!("binary {name} is not built: run `cargo build --workspace` first");
}

/// Ports for listeners, below the ephemeral range: an outgoing connection could otherwise take a
/// port between its selection and its use.
const LISTENER_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Serialises process starts and port probes: between fork and exec, a child process holds the
/// sockets of its parent and would keep a probed port in use.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Starts `command` while no port is being probed.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// UDP sockets bound to the port numbers handed out, so that neither this process nor another one
/// selects them again; the ports themselves are used for TCP.
static RESERVATIONS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns a free loopback address; each address is returned only once during the life of the
/// process. Its port is even, and the next one is left to the caller too: gateways use two ports.
pub fn free_address() -> SocketAddr {
    let _guard = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], fastrand::u16(LISTENER_PORTS) & !1));
        let Ok(reservation) = UdpSocket::bind(address) else { continue };
        if TcpListener::bind(address).is_ok() {
            RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(reservation);
            return address;
        }
    }
}
