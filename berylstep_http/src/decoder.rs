//! Incremental decoding of message bodies that are forwarded.

use displaydoc::Display;

use crate::head::BodyFraming;
use crate::message::ResponseMessage;

/// Longest accepted chunk-size or trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Largest accepted size of all trailer lines together.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Why a body could not be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// body ends early
    Truncated,
    /// body has a malformed chunk
    Malformed,
    /// body is larger than {0} bytes
    TooLarge(usize),
    /// connection: {0}
    Io(std::io::Error),
}

impl std::error::Error for BodyError {}

/// Decoder that extracts the content of one body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

impl BodyDecoder {
    /// Creates a decoder for a request body; an unframed one is empty.
    pub fn request(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Unframed => Self::in_state(DecoderState::Complete),
            framing => Self::from_framing(framing),
        }
    }

    /// Creates a decoder for the body of a response to `method`; an unframed one extends to the end
    /// of the connection.
    pub fn response(message: &ResponseMessage, method: &str) -> Self {
        match method == "HEAD" || message.is_bodiless() {
            true => Self::in_state(DecoderState::Complete),
            false => Self::from_framing(message.framing),
        }
    }

    fn from_framing(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::Unframed => DecoderState::UntilClose,
        };
        Self::in_state(state)
    }

    fn in_state(state: DecoderState) -> Self {
        Self { state, trailer_bytes: 0 }
    }

    /// Returns whether the body has been decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Complete
    }

    /// Appends the content found in `input` to `content` and removes the decoded bytes from `input`.
    pub fn decode(&mut self, input: &mut Vec<u8>, content: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut position = 0;
        while self.state != DecoderState::Complete {
            let consumed = self.decode_part(&input[position..], content)?;
            if consumed == 0 {
                break;
            }
            position += consumed;
        }
        input.drain(..position);
        Ok(())
    }

    /// Handles an orderly close of the connection by the peer.
    ///
    /// Fails with [`BodyError::Truncated`] unless the body extends to the end of the connection.
    pub fn handle_eof(&mut self) -> Result<(), BodyError> {
        if self.state != DecoderState::UntilClose {
            return Err(BodyError::Truncated);
        }
        self.state = DecoderState::Complete;
        Ok(())
    }

    fn decode_part(&mut self, input: &[u8], content: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self.state {
            DecoderState::Complete => Ok(0),
            DecoderState::UntilClose => {
                content.extend_from_slice(input);
                Ok(input.len())
            }
            DecoderState::Length(remaining) => {
                let consumed = append_content(input, remaining, content);
                let remaining = remaining - consumed as u64;
                self.state = match remaining {
                    0 => DecoderState::Complete,
                    remaining => DecoderState::Length(remaining),
                };
                Ok(consumed)
            }
            DecoderState::ChunkSize => self.parse_chunk_size(input),
            DecoderState::ChunkData(remaining) => {
                let consumed = append_content(input, remaining, content);
                let remaining = remaining - consumed as u64;
                self.state = match remaining {
                    0 => DecoderState::ChunkEnd,
                    remaining => DecoderState::ChunkData(remaining),
                };
                Ok(consumed)
            }
            DecoderState::ChunkEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.state = DecoderState::ChunkSize;
                    Ok(2)
                }
                [] | [b'\r'] => Ok(0),
                _ => Err(BodyError::Malformed),
            },
            DecoderState::Trailer => self.skip_trailer_line(input),
        }
    }

    fn parse_chunk_size(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        // The parser takes a line without digits for the size 0, which ends the body.
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError::Malformed);
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((consumed, size))) => {
                self.state = match size {
                    0 => DecoderState::Trailer,
                    size => DecoderState::ChunkData(size),
                };
                Ok(consumed)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => Ok(0),
            _ => Err(BodyError::Malformed),
        }
    }

    /// Skips one trailer line; an empty line ends the body.
    fn skip_trailer_line(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = input.windows(2).position(|window| window == b"\r\n") else {
            return match input.len() <= MAX_CHUNK_LINE_BYTES {
                true => Ok(0),
                false => Err(BodyError::Malformed),
            };
        };
        if end == 0 {
            self.state = DecoderState::Complete;
        }
        self.trailer_bytes += end + 2;
        match self.trailer_bytes <= MAX_TRAILER_BYTES {
            true => Ok(end + 2),
            false => Err(BodyError::Malformed),
        }
    }
}

/// Appends up to `remaining` bytes of `input` to `content` and returns their number.
fn append_content(input: &[u8], remaining: u64, content: &mut Vec<u8>) -> usize {
    let count =
        usize::try_from(remaining).map_or(input.len(), |remaining| remaining.min(input.len()));
    content.extend_from_slice(&input[..count]);
    count
}
