//! A TCP relay that tests put into a path in order to hold, cut or delay it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

const COPY_BYTES: usize = 16 * 1024;

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes them on.
    Open,
    /// Accepts connections and passes nothing on, as where a firewall lost track of them.
    Hold,
    /// Closes every connection, new ones too.
    Cut,
    /// Passes them on after this delay.
    Delay(Duration),
    /// Passes requests on and holds what comes back, as where one direction is lost.
    HoldAnswers,
    /// Passes requests on and closes the connection when something comes back.
    CutAnswers,
}

/// A relay in front of one address; it runs in the calling process and ends when dropped.
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
    // Replaced at each change of mode; closing the old one wakes every connection.
    changed: Mutex<(Sender<()>, Receiver<()>)>,
}

impl TcpRelay {
    /// Starts a relay on a free port of loopback.
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

    /// Address to connect to in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, for open connections too.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.state.mode.lock().expect("relay lock") = mode;
        *self.state.changed.lock().expect("relay lock") = bounded(1);
    }
}

impl RelayState {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("relay lock")
    }

    /// Waits until the mode is no longer `seen`.
    async fn changed(&self, seen: RelayMode) {
        let changed = self.changed.lock().expect("relay lock").1.clone();
        // A change before this line is seen here, a later one closes the channel.
        if self.mode() == seen {
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

async fn relay(near: TcpStream, state: Arc<RelayState>) {
    while state.mode() == RelayMode::Hold {
        state.changed(RelayMode::Hold).await;
    }
    if state.mode() == RelayMode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(state.target).await else { return };
    let there = copy(&near, &far, &state, CopyDirection::There);
    let both = future::or(there, copy(&far, &near, &state, CopyDirection::Back));
    future::or(both, until_cut(&state)).await;
    let _ = near.shutdown(std::net::Shutdown::Both);
    let _ = far.shutdown(std::net::Shutdown::Both);
}

async fn until_cut(state: &RelayState) {
    loop {
        match state.mode() {
            RelayMode::Cut => return,
            mode => state.changed(mode).await,
        }
    }
}

/// Whose bytes are copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyDirection {
    /// Those of the end that connected.
    There,
    /// Those of the target.
    Back,
}

/// Copies one direction until its end.
async fn copy(from: &TcpStream, to: &TcpStream, state: &RelayState, direction: CopyDirection) {
    let (mut from, mut to) = (from.clone(), to.clone());
    let mut chunk = vec![0; COPY_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        loop {
            match (state.mode(), direction) {
                (mode @ RelayMode::Hold, _)
                | (mode @ RelayMode::HoldAnswers, CopyDirection::Back) => state.changed(mode).await,
                (RelayMode::CutAnswers, CopyDirection::Back) => return,
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
