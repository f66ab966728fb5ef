//! Stand-in of a node of the build before pieces: it announces a desired state in its pulses, and hands it on in one message over a
//! link of 10 Mbit/s, or doesn't.

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

/// Time for which a silent peer keeps a connection open.
const SILENCE: Duration = Duration::from_secs(20);

/// Bytes in a packet interval at 10 Mbit/s.
const PACKET_BYTES: usize = 12_500;

/// Loopback address of the gateway under test.
const GATEWAY_IP: [u8; 4] = [127, 0, 0, 2];

/// What a peer answers to queries.
#[derive(Clone, Debug)]
pub enum PeerAnswer {
    /// The desired state, at the speed of the link.
    Desired(Vec<u8>),
    /// Nothing; the connection stays open.
    Silence,
}

/// Announces one desired state until it is dropped.
#[derive(Debug)]
pub struct FakePeer {
    stops: Arc<AtomicBool>,
}

impl FakePeer {
    /// Starts the peer with the number `number`, the last byte of its address; all nodes use the port `peer_port`.
    ///
    /// # Panics
    ///
    /// If its address is taken.
    pub fn start(number: u8, peer_port: u16, desired_version: u64, answer: PeerAnswer) -> Self {
        let stops = Arc::new(AtomicBool::new(false));
        let address = SocketAddr::from(([127, 0, 0, number], peer_port));
        let socket = UdpSocket::bind(address).expect("the peer address is free");
        let listener = TcpListener::bind(address).expect("the peer address is free");
        let is_stopped = stops.clone();
        let is_silent = matches!(answer, PeerAnswer::Silence);
        std::thread::spawn(move || {
            let gateway = SocketAddr::from((GATEWAY_IP, peer_port));
            for sequence in 1.. {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let mut pulse = pulse(number, sequence, desired_version);
                if is_silent {
                    // Further than all others.
                    pulse.replica_revision = u64::MAX / 2;
                }
                let pulse = pulse.encode_to_vec();
                let _ = socket.send_to(&pulse, gateway);
                std::thread::sleep(PULSE_INTERVAL);
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let answer = answer.clone();
                std::thread::spawn(move || send_answer(stream, answer));
            }
        });
        Self { stops }
    }
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::SeqCst);
    }
}

fn pulse(number: u8, sequence: u64, desired_version: u64) -> FleetPulse {
    FleetPulse {
        node: format!("fake-peer-{number}"),
        incarnation: 1,
        sequence,
        zone: "a".to_owned(),
        caller_address: format!("127.0.0.{number}:1"),
        // More than the gateway under test has, so that the peers are the representatives.
        core_permille: 2000,
        desired_version,
        follows_store: true,
        ..FleetPulse::default()
    }
}

/// Reads one query and answers it.
fn send_answer(mut stream: TcpStream, answer: PeerAnswer) {
    if read_frame(&mut stream).is_none() {
        return;
    }
    let desired = match answer {
        PeerAnswer::Desired(desired) => desired,
        PeerAnswer::Silence => return std::thread::sleep(SILENCE),
    };
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
