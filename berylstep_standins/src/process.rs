//! Child processes of tests and trials.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `command` with its output passed on.
    pub fn start(command: &mut Command) -> std::io::Result<Self> {
        Ok(Self { child: command.stdin(Stdio::null()).spawn()? })
    }

    /// Starts `command` and reads the address that it prints as `listening ADDRESS`.
    pub fn start_listener(command: &mut Command) -> std::io::Result<(Self, SocketAddr)> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
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

/// An address on loopback that was free a moment ago.
pub fn free_address() -> SocketAddr {
    loop {
        let port = fastrand::u16(LISTENER_PORTS);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("bound socket has an address");
        }
    }
}
