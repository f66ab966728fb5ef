//! Scripted replicas that some of the gateways can't reach.

use std::io::{BufReader, Read};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use socket2::{SockFilter, SockRef};

use super::lock;
use super::message::{read_message, RawMessage};
use super::replica::entry;

/// What happens to the connections of a gateway that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutMode {
    /// New connections hang, and open ones go silent.
    Silent,
    /// New connections hang, and open ones live on.
    NewSilent,
    /// New connections are reset once they are accepted, and open ones at once.
    Reset,
    /// New connections are accepted and reset when a request arrives, and open ones at once.
    RequestReset,
    /// New connections are accepted and never answered, and open ones go silent.
    RequestSilent,
}

impl CutMode {
    /// Returns whether new connections hang.
    fn drops_connections(self) -> bool {
        matches!(self, Self::Silent | Self::NewSilent)
    }

    /// Returns whether open connections are reset.
    fn resets_open(self) -> bool {
        matches!(self, Self::Reset | Self::RequestReset)
    }

    /// Returns whether requests on open connections don't arrive.
    fn silences_open(self) -> bool {
        matches!(self, Self::Silent | Self::RequestSilent)
    }
}

#[derive(Debug, Default)]
struct CutState {
    cut: Vec<IpAddr>,
    mode: Option<CutMode>,
    connections: Vec<(IpAddr, TcpStream)>,
    received: Vec<(IpAddr, RawMessage)>,
}

impl CutState {
    /// Returns what happens to the connections of a gateway; `None` if it is not cut off.
    fn mode_of(&self, source: IpAddr) -> Option<CutMode> {
        self.mode.filter(|_| self.cut.contains(&source))
    }
}

/// A replica whose network some gateways can be cut off from, by the addresses that they connect from.
#[derive(Debug)]
pub struct CuttableReplica {
    /// Identifier, the key of its entry in the store.
    pub id: String,
    /// Address of its listener.
    pub address: SocketAddr,
    listener: TcpListener,
    state: Arc<Mutex<CutState>>,
}

impl CuttableReplica {
    /// Starts a replica that handles each request with `script`, which returns whether to keep the
    /// connection open.
    pub fn start(
        id: &str,
        script: impl Fn(&RawMessage, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state: Arc<Mutex<CutState>> = Arc::default();
        let script = Arc::new(script);
        let (accepting, shared) = (listener.try_clone().expect("a socket can be cloned"), &state);
        let shared = shared.clone();
        std::thread::spawn(move || {
            for stream in accepting.incoming().flatten() {
                let Ok(source) = stream.peer_addr().map(|source| source.ip()) else { continue };
                let mode = lock(&shared).mode_of(source);
                if mode == Some(CutMode::Reset) {
                    reset(&stream);
                    continue;
                }
                if mode == Some(CutMode::RequestReset) {
                    std::thread::spawn(move || reset_request(stream));
                    continue;
                }
                let copy = stream.try_clone().expect("a socket can be cloned");
                lock(&shared).connections.push((source, copy));
                let (shared, script) = (shared.clone(), script.clone());
                std::thread::spawn(move || serve(stream, source, &shared, script.as_ref()));
            }
        });
        Self { id: id.to_owned(), address, listener, state }
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        entry(self.address, service, "ready")
    }

    /// Cuts the gateways that connect from `sources` off.
    ///
    /// # Panics
    ///
    /// If the system rejects the filter.
    pub fn cut(&self, sources: &[IpAddr], mode: CutMode) {
        let mut state = lock(&self.state);
        (state.cut, state.mode) = (sources.to_vec(), Some(mode));
        if mode.drops_connections() {
            let filter = drop_filter(sources);
            SockRef::from(&self.listener).attach_filter(&filter).expect("the filter is valid");
        }
        state.connections.retain(|(source, stream)| {
            let is_reset = mode.resets_open() && sources.contains(source);
            if is_reset {
                reset(stream);
            }
            !is_reset
        });
    }

    /// Ends the cut.
    ///
    /// # Panics
    ///
    /// If the system rejects it.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        if state.mode.is_some_and(CutMode::drops_connections) {
            SockRef::from(&self.listener).detach_filter().expect("a filter is attached");
        }
        (state.cut, state.mode) = (Vec::new(), None);
    }

    /// Returns the requests received so far, with the addresses of the gateways that sent them.
    pub fn received(&self) -> Vec<(IpAddr, RawMessage)> {
        lock(&self.state).received.clone()
    }
}

fn reset(stream: &TcpStream) {
    if let Err(err) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("connection is closed instead of reset: {err}");
    }
    if let Err(err) = stream.shutdown(Shutdown::Both) {
        log::debug!("connection was closed before: {err}");
    }
}

/// Waits for a request, or the end of the connection, and resets the connection.
fn reset_request(mut stream: TcpStream) {
    if let Err(err) = stream.read(&mut [0]) {
        log::debug!("connection was closed before: {err}");
    }
    reset(&stream);
}

fn serve(
    stream: TcpStream,
    source: IpAddr,
    state: &Mutex<CutState>,
    script: &(impl Fn(&RawMessage, &mut TcpStream) -> bool + ?Sized),
) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        if lock(state).mode_of(source).is_some_and(CutMode::silences_open) {
            // What a gateway sends behind the cut doesn't arrive.
            continue;
        }
        lock(state).received.push((source, message.clone()));
        if !script(&message, reader.get_mut()) {
            return;
        }
    }
}

/// Offset of the IPv4 source address, relative to the network header.
const SOURCE_OFFSET: u32 = (-0x10_0000_i32 + 12) as u32;

/// Returns a socket filter that drops packets from these addresses.
fn drop_filter(sources: &[IpAddr]) -> Vec<SockFilter> {
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    let addresses: Vec<Ipv4Addr> = sources
        .iter()
        .filter_map(|source| match source {
            IpAddr::V4(address) => Some(*address),
            IpAddr::V6(_) => None,
        })
        .collect();
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for (index, address) in addresses.iter().enumerate() {
        let to_drop = (addresses.len() - index) as u8;
        filter.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, u32::from(*address)));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter.push(SockFilter::new(RETURN, 0, 0, 0));
    filter
}
