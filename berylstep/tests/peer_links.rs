//! Links that must be dropped are dropped and counted, and links that fell silent come back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use berylstep_standins::relay::RelayMode;
use berylstep_standins::site::TrialSite;
use berylstep_wire::codec::MAX_FRAME_BYTES;
use berylstep_wire::frame::Body;
use berylstep_wire::{Frame, Hello, Pulse, PROTOCOL_VERSION};
use prost::Message;

fn framed(body: Body) -> Vec<u8> {
    let payload = Frame { body: Some(body) }.encode_to_vec();
    let mut bytes = u32::try_from(payload.len()).unwrap().to_be_bytes().to_vec();
    bytes.extend(payload);
    bytes
}

fn hello(cluster: &str) -> Vec<u8> {
    framed(Body::Hello(Hello {
        protocol: PROTOCOL_VERSION,
        cluster: cluster.to_owned(),
        node: "stranger".to_owned(),
        incarnation: 1,
        zone: "a".to_owned(),
        region: "local".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        caller_address: "127.0.0.1:1".to_owned(),
        nonce: vec![0; 32],
        mac: vec![0; 32],
    }))
}

struct LinkCase {
    name: &'static str,
    bytes: Vec<u8>,
    refusal: &'static str,
}

/// Sends bytes on a new link and waits for the node to drop it.
fn send_until_dropped(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
    // The node may drop the link before it has read everything.
    let _ = stream.write_all(bytes);
    let mut chunk = [0; 1024];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(_) => {}
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(err) => panic!("the link stays open: {err}"),
        }
    }
}

#[test]
fn strangers_are_dropped_and_counted() {
    let mut site = TrialSite::start().unwrap();
    site.add_node("a", &[]).unwrap();
    site.wait_ready();
    let mut oversized = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes().to_vec();
    oversized.extend([0; 64]);
    let mut garbage = 16u32.to_be_bytes().to_vec();
    garbage.extend([0xff; 16]);
    let cases = [
        LinkCase { name: "wrong secret", bytes: hello("berylstep"), refusal: "unauthentic" },
        LinkCase { name: "oversized frame", bytes: oversized, refusal: "oversized" },
        LinkCase { name: "garbage", bytes: garbage, refusal: "malformed" },
        LinkCase {
            name: "pulse before hello",
            bytes: framed(Body::Pulse(Pulse::default())),
            refusal: "malformed",
        },
        LinkCase { name: "HTTP", bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec(), refusal: "oversized" },
        LinkCase { name: "silence", bytes: Vec::new(), refusal: "silent" },
    ];
    for case in cases {
        let count = |site: &TrialSite| site.status(0)["link_refusals"][case.refusal].as_u64();
        let before = count(&site).unwrap_or_default();
        send_until_dropped(site.nodes[0].peer_address, &case.bytes);
        site.wait_until(case.name, |site| count(site) == Some(before + 1));
        assert_eq!(site.status(0)["members"].as_array().unwrap().len(), 1, "{}", case.name);
    }
}

#[test]
fn nodes_of_another_cluster_are_turned_away() {
    let mut site = TrialSite::start().unwrap();
    site.add_node("a", &[]).unwrap();
    // The node that joins later dials, and the other one counts what it turns away.
    site.wait_ready();
    site.add_node("b", &["--cluster", "another"]).unwrap();
    site.wait_until("the other cluster is turned away", |site| {
        site.status(0)["link_refusals"]["foreign_cluster"].as_u64() > Some(0)
    });
    assert_eq!(site.linked_peers(0), 0);
}

#[test]
fn a_link_that_falls_silent_is_dropped_and_dialled_again() {
    let mut site = TrialSite::start().unwrap();
    let relays: Vec<_> =
        ["a", "b"].iter().map(|zone| site.add_relayed_node(zone, &[]).unwrap()).collect();
    site.wait_ready();
    site.reestablish_links(&relays);
    for mode in [RelayMode::Hold, RelayMode::Cut] {
        relays[1].peers.set_mode(mode);
        for node in 0..2 {
            site.wait_until("the silent node is not named", |site| {
                site.advertised_entries(node).len() == 1
            });
        }
        site.wait_until("the held link is dropped", |site| {
            site.status(0)["link_refusals"]["silent"].as_u64() > Some(0)
        });
        relays[1].peers.set_mode(RelayMode::Open);
        for node in 0..2 {
            site.wait_until("the node is named again", |site| {
                site.advertised_entries(node).len() == 2
            });
        }
    }
}
