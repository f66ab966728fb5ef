//! Scripted replicas that crash and restart.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::lock;
use super::message::{read_message, RawMessage};

/// Interval at which the listener checks for connections and crashes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a script does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptStep {
    /// The request was answered, and the connection stays open.
    Answered,
    /// The process crashes.
    Crash,
}

/// What happens to new connections while a process is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownMode {
    /// They are refused.
    Refused,
    /// The host accepts them and resets them at once.
    Reset,
}

/// A replica whose process can crash: all its connections close, and new ones fail until it has
/// restarted.
#[derive(Clone, Debug)]
pub struct CrashingReplica {
    /// Identifier, the key of its entry in the store.
    pub id: String,
    /// Address of its listener.
    pub address: SocketAddr,
    state: Arc<ProcessState>,
}

#[derive(Debug, Default)]
struct ProcessState {
    starts: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    received: Mutex<Vec<RawMessage>>,
}

impl CrashingReplica {
    /// Starts a replica that handles each request with `script`, and restarts `down_time` after a
    /// crash.
    pub fn start(
        id: &str,
        down_time: Duration,
        script: impl Fn(&RawMessage, &mut TcpStream) -> ScriptStep + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(id, down_time, DownMode::Refused, script)
    }

    /// Starts a replica like [`Self::start`] whose host treats connections by `mode` meanwhile.
    pub fn start_with(
        id: &str,
        down_time: Duration,
        mode: DownMode,
        script: impl Fn(&RawMessage, &mut TcpStream) -> ScriptStep + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state: Arc<ProcessState> = Arc::default();
        state.starts.store(1, Ordering::SeqCst);
        let replica = Self { id: id.to_owned(), address, state: state.clone() };
        let script = Arc::new(script);
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let current = listener.take().unwrap_or_else(|| bind_again(address));
                run_process(&current, &state, script.clone());
                match mode {
                    DownMode::Refused => {
                        drop(current);
                        std::thread::sleep(down_time);
                    }
                    DownMode::Reset => {
                        reset_connections(&current, down_time);
                        listener = Some(current);
                    }
                }
                state.starts.fetch_add(1, Ordering::SeqCst);
            }
        });
        replica
    }

    /// Returns the requests received so far, in order.
    pub fn received(&self) -> Vec<RawMessage> {
        lock(&self.state.received).clone()
    }

    /// Closes all connections, as they are when the process ends.
    pub fn close_connections(&self) {
        close_all(&self.state);
    }

    /// Returns the number of times that the process has started.
    pub fn starts(&self) -> u64 {
        self.state.starts.load(Ordering::SeqCst)
    }
}

fn bind_again(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).expect("the port of the replica is free again")
}

/// Accepts connections and resets them for `down_time`.
fn reset_connections(listener: &TcpListener, down_time: Duration) {
    let end = Instant::now() + down_time;
    while Instant::now() < end {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        if let Err(err) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("connection is closed instead of reset: {err}");
        }
    }
}

/// Accepts connections until the process crashes.
fn run_process(
    listener: &TcpListener,
    state: &Arc<ProcessState>,
    script: Arc<impl Fn(&RawMessage, &mut TcpStream) -> ScriptStep + Send + Sync + 'static>,
) {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let crashed = Arc::new(Mutex::new(false));
    while !*lock(&crashed) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).expect("a connection can be blocking");
        lock(&state.connections).push(stream.try_clone().expect("a socket can be cloned"));
        let (state, script, crashed) = (state.clone(), script.clone(), crashed.clone());
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some(message) = read_message(&mut reader) {
                lock(&state.received).push(message.clone());
                if script(&message, reader.get_mut()) == ScriptStep::Crash {
                    *lock(&crashed) = true;
                }
            }
        });
    }
    close_all(state);
}

fn close_all(state: &ProcessState) {
    for connection in lock(&state.connections).drain(..) {
        if let Err(err) = connection.shutdown(Shutdown::Both) {
            log::debug!("connection was closed before the crash: {err}");
        }
    }
}
