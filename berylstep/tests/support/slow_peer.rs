//! A node of the build before pieces, behind a link of 10 Mbit/s: it announces a desired state in its pulses and
//! hands it on in one message.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use berylstep_wire::frame::Body;
use berylstep_wire::{FleetCopy, FleetPulse, FleetQuery, Frame};
use prost::Message;

/// Interval between pulses, and between packets.
const PULSE_INTERVAL: Duration = Duration::from_millis(100);
const PACKET_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes in a packet interval at 10 Mbit/s.
const PACKET_BYTES: usize = 12_500;

/// Loopback addresses of the peer and of the gateway under test.
const PEER_IP: [u8; 4] = [127, 0, 0, 3];
const GATEWAY_IP: [u8; 4] = [127, 0, 0, 2];

/// Announces and hands on one desired state until it is dropped.
pub struct SlowPeer {
    stops: Arc<AtomicBool>,
}

impl SlowPeer {
    /// Starts the peer; all nodes use the port `peer_port`.
    pub fn start(peer_port: u16, desired_version: u64, desired: Vec<u8>) -> Self {
        let stops = Arc::new(AtomicBool::new(false));
        let address = SocketAddr::from((PEER_IP, peer_port));
        let socket = UdpSocket::bind(address).expect("the peer address is free");
        let listener = TcpListener::bind(address).expect("the peer address is free");
        let is_stopped = stops.clone();
        std::thread::spawn(move || {
            let gateway = SocketAddr::from((GATEWAY_IP, peer_port));
            for sequence in 1.. {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let pulse = pulse(sequence, desired_version).encode_to_vec();
                let _ = socket.send_to(&pulse, gateway);
                std::thread::sleep(PULSE_INTERVAL);
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let desired = desired.clone();
                std::thread::spawn(move || answer(stream, desired));
            }
        });
        Self { stops }
    }
}

impl Drop for SlowPeer {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::SeqCst);
    }
}

fn pulse(sequence: u64, desired_version: u64) -> FleetPulse {
    FleetPulse {
        node: "slow-peer".to_owned(),
        incarnation: 1,
        sequence,
        zone: "a".to_owned(),
        caller_address: "127.0.0.3:1".to_owned(),
        core_permille: 500,
        desired_version,
        follows_store: true,
        ..FleetPulse::default()
    }
}

/// Reads one query and sends the whole state at the speed of the link.
fn answer(mut stream: TcpStream, desired: Vec<u8>) {
    if read_frame(&mut stream).is_none() {
        return;
    }
    let copy = FleetCopy { desired, ..FleetCopy::default() };
    for packet in frame_bytes(Body::FleetCopy(copy)).chunks(PACKET_BYTES) {
        if stream.write_all(packet).is_err() {
            return;
        }
        std::thread::sleep(PACKET_INTERVAL);
    }
}

/// Sends a query to the gateway under test and returns its answer.
///
/// # Panics
///
/// If the gateway doesn't answer with a copy of its state.
pub fn query(peer_port: u16, query: FleetQuery) -> FleetCopy {
    let gateway = SocketAddr::from((GATEWAY_IP, peer_port));
    let mut stream = TcpStream::connect(gateway).expect("the gateway accepts connections");
    stream.write_all(&frame_bytes(Body::FleetQuery(query))).expect("the gateway reads");
    match read_frame(&mut stream) {
        Some(Body::FleetCopy(copy)) => copy,
        answer => panic!("the gateway answers {answer:?}"),
    }
}

fn frame_bytes(body: Body) -> Vec<u8> {
    let payload = Frame { body: Some(body) }.encode_to_vec();
    let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(payload);
    bytes
}

fn read_frame(stream: &mut TcpStream) -> Option<Body> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut payload = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut payload).ok()?;
    Frame::decode(&*payload).ok()?.body
}
