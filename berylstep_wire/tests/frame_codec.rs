//! The codec rejects oversized and malformed frames and accepts all others.

use berylstep_wire::codec::{CodecError, FrameCodec, MAX_FRAME_BYTES};
use berylstep_wire::{frame, ConfigRequest, Frame};
use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};

struct DecodeCase {
    name: &'static str,
    input: Vec<u8>,
    accepted: bool,
}

#[test]
fn oversized_and_malformed_frames_are_rejected() {
    let too_long = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes().to_vec();
    let cases = [
        DecodeCase { name: "too long", input: too_long, accepted: false },
        DecodeCase { name: "malformed", input: vec![0, 0, 0, 2, 0xff, 0xff], accepted: false },
        DecodeCase {
            name: "unknown field",
            input: vec![0, 0, 0, 3, 0xf8, 0x07, 1],
            accepted: true,
        },
        DecodeCase { name: "incomplete", input: vec![0, 0, 0, 9, 1], accepted: true },
    ];
    for case in cases {
        let mut buffer = BytesMut::from(&case.input[..]);
        let result: Result<Option<Frame>, CodecError> = FrameCodec::default().decode(&mut buffer);
        assert_eq!(result.is_ok(), case.accepted, "{}: {result:?}", case.name);
    }
}

#[test]
fn frames_survive_a_round_trip() {
    let body = frame::Body::ConfigRequest(ConfigRequest { after: 7 });
    let frame = Frame { body: Some(body) };
    let mut buffer = BytesMut::new();
    FrameCodec::default().encode(frame.clone(), &mut buffer).unwrap();
    let decoded = FrameCodec::default().decode(&mut buffer).unwrap();
    assert_eq!(decoded, Some(frame));
}
