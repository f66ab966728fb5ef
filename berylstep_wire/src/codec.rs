//! Length-delimited framing of prost messages.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;

/// Largest accepted frame, in bytes without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a frame could not be read or written.
#[derive(Debug, Display)]
pub enum CodecError {
    /// peer link: {0}
    Io(std::io::Error),
    /// peer frame is not a valid message: {0}
    Decode(prost::DecodeError),
}

impl std::error::Error for CodecError {}

impl From<std::io::Error> for CodecError {
    fn from(err: std::io::Error) -> Self {
        Self::Io(err)
    }
}

/// Codec for [`Frame`]s, each a 4-byte big-endian length and the encoded message.
#[derive(Debug)]
pub struct FrameCodec {
    received: LengthDelimitedCodec,
    sent: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::with_max_bytes(MAX_FRAME_BYTES)
    }
}

impl FrameCodec {
    /// Creates a codec that accepts frames of at most `max_bytes` bytes, and sends those of
    /// [`MAX_FRAME_BYTES`]. A longer frame fails before memory is reserved for it.
    pub fn with_max_bytes(max_bytes: usize) -> Self {
        let framing = |max| LengthDelimitedCodec::builder().max_frame_length(max).new_codec();
        Self { received: framing(max_bytes), sent: framing(MAX_FRAME_BYTES) }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        match self.received.decode(src)? {
            Some(payload) => Frame::decode(payload).map(Some).map_err(CodecError::Decode),
            None => Ok(None),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), CodecError> {
        let payload = Bytes::from(frame.encode_to_vec());
        Ok(self.sent.encode(payload, dst)?)
    }
}
