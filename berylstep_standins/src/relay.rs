//! TCP relay that tests place on a network path to stall, cut or delay it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// Size of the copy buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a relay treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all data.
    Open,
    /// Accepts connections but forwards nothing, like a firewall that lost its connection state.
    Hold,
    /// Closes existing and new connections.
    Cut,
    /// Forwards data after this delay.
    Delay(Duration),
    /// Forwards requests but holds back responses, as if one direction of the path were lost.
    HoldAnswers,
    /// Forwards requests and closes the connection when response data arrives.
    CutAnswers,
}

/// Relay in front of one address; runs in the calling process and stops when dropped.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
    _task: smol::Task<()>,
}

#[derive(Debug)]
struct RelayState {
    target: SocketAddr,
    mode: Mutex<RelayMode>,
    // Replaced on each mode change; closing the old channel wakes every connection.
    changed: Mutex<(Sender<()>, Receiver<()>)>,
}

impl TcpRelay {
    /// Starts a relay on a free loopback port.
    ///
    /// Fails if no port can be bound.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState {
            target,
            mode: Mutex::new(RelayMode::Open),
            changed: Mutex::new(bounded(1)),
        });
        let task = smol::spawn(accept(listener, state.clone()));
        Ok(Self { address, state, _task: task })
    }

    /// Returns the address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, including that of open connections.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.state.mode.lock().expect("relay lock") = mode;
        *self.state.changed.lock().expect("relay lock") = bounded(1);
    }
}

impl RelayState {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("relay lock")
    }

    /// Waits until the mode differs from `mode`.
    async fn changed(&self, mode: RelayMode) {
        let changed = self.changed.lock().expect("relay lock").1.clone();
        // Detects a change before the receiver was cloned; a later change closes the channel.
        if self.mode() == mode {
            let _ = changed.recv().await;
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<RelayState>) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.retain(|task: &smol::Task<()>| !task.is_finished());
        connections.push(smol::spawn(relay(stream, state.clone())));
    }
}

async fn relay(client: TcpStream, state: Arc<RelayState>) {
    while state.mode() == RelayMode::Hold {
        state.changed(RelayMode::Hold).await;
    }
    if state.mode() == RelayMode::Cut {
        return;
    }
    let Ok(target) = TcpStream::connect(state.target).await else { return };
    let to_target = copy(&client, &target, &state, CopyDirection::Up);
    let both_directions =
        future::or(to_target, copy(&target, &client, &state, CopyDirection::Down));
    future::or(both_directions, wait_cut(&state)).await;
    let _ = client.shutdown(std::net::Shutdown::Both);
    let _ = target.shutdown(std::net::Shutdown::Both);
}

async fn wait_cut(state: &RelayState) {
    loop {
        match state.mode() {
            RelayMode::Cut => return,
            mode => state.changed(mode).await,
        }
    }
}

/// Direction in which data is copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyDirection {
    /// Upstream, from the client to the target.
    Up,
    /// Downstream, from the target to the client.
    Down,
}

/// Copies data in one direction until the source ends or either side fails.
async fn copy(from: &TcpStream, to: &TcpStream, state: &RelayState, direction: CopyDirection) {
    let (mut from, mut to) = (from.clone(), to.clone());
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        loop {
            match (state.mode(), direction) {
                (mode @ RelayMode::Hold, _)
                | (mode @ RelayMode::HoldAnswers, CopyDirection::Down) => state.changed(mode).await,
                (RelayMode::CutAnswers, CopyDirection::Down) => return,
                (RelayMode::Delay(delay), _) => {
                    smol::Timer::after(delay).await;
                    break;
                }
                _ => break,
            }
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
