//! Tests of the buffer of a message body.

use berylstep::body_buffer::BodyBuffer;
use berylstep_http::BodyError;

const MAX_BYTES: usize = 1 << 20;

fn pattern(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| (index % 251) as u8).collect()
}

// Guards against content that is lost or reordered where the buffer leaves the heap.
#[test]
fn a_body_is_kept_byte_for_byte_whatever_its_size_and_pieces() {
    for size in [0, 1, 65_535, 65_536, 65_537, 200_000, MAX_BYTES] {
        for piece in [1_000, 16_384, 70_000] {
            let body = pattern(size);
            let mut buffer = BodyBuffer::new(MAX_BYTES);
            let appended = body.chunks(piece).try_for_each(|part| buffer.append(part));
            assert!(appended.is_ok(), "{size} in pieces of {piece}");
            assert!(*buffer == *body, "{size} in pieces of {piece}");
        }
    }
}

// Guards against a body that grows beyond its limit.
#[test]
fn a_body_over_its_limit_is_rejected() {
    let mut buffer = BodyBuffer::new(100_000);
    assert!(buffer.append(&pattern(100_000)).is_ok());
    assert!(matches!(buffer.append(&[0]), Err(BodyError::TooLarge(100_000))));
    assert_eq!(buffer.len(), 100_000);
}
