//! Pieces of a desired state as they are sent: they arrive as they were, and nothing that a peer sends takes more
//! memory than a piece may.

use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;

use berylstep::gateway::state_transfer::compression::{unpack, PackedPieces};
use berylstep_core::fleet::document::{PiecedDocument, MAX_PIECE_BYTES};
use berylstep_wire::PieceCopy;
use flate2::write::DeflateEncoder;
use flate2::Compression;

fn deflated(content: &[u8]) -> PieceCopy {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content).unwrap();
    PieceCopy { deflated: encoder.finish().unwrap(), content: Vec::new() }
}

#[test]
fn pieces_arrive_as_they_were() {
    let text: String =
        (0..2_000).map(|number| format!("{{\"Name\":\"route-{number}\"}},")).collect();
    let mut random = fastrand::Rng::with_seed(1);
    let noise: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(50_000).collect();
    let packed = PackedPieces::default();
    for (name, content) in [("text", text.into_bytes()), ("noise", noise)] {
        let bytes = content.len();
        let document = Rc::new(PiecedDocument::split(1, Arc::from(content)));
        let mut sent = 0;
        for piece in &document.manifest().pieces {
            let content = document.piece(piece.digest).unwrap();
            // A piece that is asked for again is the same.
            for _ in 0..2 {
                let message = packed.pack(&document, piece.digest, content);
                sent += message.content.len() + message.deflated.len();
                assert_eq!(unpack(message).unwrap(), content, "{name}");
            }
        }
        assert!(sent <= 2 * bytes, "{name}: {sent} of {bytes} bytes twice");
    }
}

struct MalformedCase {
    name: &'static str,
    piece: PieceCopy,
}

// Guards against a peer that makes a node unpack more than it may hold.
#[test]
fn malformed_and_oversized_pieces_are_rejected() {
    let cases = [
        MalformedCase { name: "one byte too many", piece: deflated(&vec![0; MAX_PIECE_BYTES + 1]) },
        MalformedCase { name: "a megabyte of zeros", piece: deflated(&vec![0; 1 << 20]) },
        MalformedCase {
            name: "no DEFLATE",
            piece: PieceCopy { deflated: vec![0xff; 40], content: Vec::new() },
        },
    ];
    for case in cases {
        assert!(unpack(case.piece).is_err(), "{}", case.name);
    }
    assert_eq!(unpack(deflated(&vec![7; MAX_PIECE_BYTES])).unwrap().len(), MAX_PIECE_BYTES);
}
