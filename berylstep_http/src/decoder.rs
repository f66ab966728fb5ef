//! Bodies that are passed on: finds their content and their end.

use displaydoc::Display;

use crate::head::BodyFraming;
use crate::message::ResponseMessage;

/// Longest line of a chunk size or trailer, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

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

/// Finds the content of one body in the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
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
    /// Decodes the body of a request, which is empty without framing.
    pub fn request(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Unframed => Self { state: DecoderState::Complete },
            framing => Self::framed(framing),
        }
    }

    /// Decodes the body of a response to `method`, which ends with the connection without framing.
    pub fn response(message: &ResponseMessage, method: &str) -> Self {
        let bodiless = method == "HEAD" || matches!(message.status, 100..=199 | 204 | 304);
        match bodiless {
            true => Self { state: DecoderState::Complete },
            false => Self::framed(message.framing),
        }
    }

    fn framed(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::Unframed => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body was decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Complete
    }

    /// Appends the content in `input` to `content` and removes the decoded bytes from `input`.
    pub fn decode(&mut self, input: &mut Vec<u8>, content: &mut Vec<u8>) -> Result<(), BodyError> {
        let mut position = 0;
        while self.state != DecoderState::Complete {
            let consumed = self.step(&input[position..], content)?;
            if consumed == 0 {
                break;
            }
            position += consumed;
        }
        input.drain(..position);
        Ok(())
    }

    /// Takes in that the peer closed the connection in an orderly way.
    pub fn close(&mut self) -> Result<(), BodyError> {
        if self.state != DecoderState::UntilClose {
            return Err(BodyError::Truncated);
        }
        self.state = DecoderState::Complete;
        Ok(())
    }

    fn step(&mut self, input: &[u8], content: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self.state {
            DecoderState::Complete => Ok(0),
            DecoderState::UntilClose => {
                content.extend_from_slice(input);
                Ok(input.len())
            }
            DecoderState::Length(left) => {
                let taken = take(input, left, content);
                let left = left - taken as u64;
                self.state = match left {
                    0 => DecoderState::Complete,
                    left => DecoderState::Length(left),
                };
                Ok(taken)
            }
            DecoderState::ChunkSize => self.chunk_size(input),
            DecoderState::ChunkData(left) => {
                let taken = take(input, left, content);
                let left = left - taken as u64;
                self.state = match left {
                    0 => DecoderState::ChunkEnd,
                    left => DecoderState::ChunkData(left),
                };
                Ok(taken)
            }
            DecoderState::ChunkEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.state = DecoderState::ChunkSize;
                    Ok(2)
                }
                [] | [b'\r'] => Ok(0),
                _ => Err(BodyError::Malformed),
            },
            DecoderState::Trailer => self.trailer(input),
        }
    }

    fn chunk_size(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((consumed, size))) => {
                self.state = match size {
                    0 => DecoderState::Trailer,
                    size => DecoderState::ChunkData(size),
                };
                Ok(consumed)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE => Ok(0),
            _ => Err(BodyError::Malformed),
        }
    }

    /// Skips one line after the last chunk; an empty one ends the body.
    fn trailer(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = input.windows(2).position(|window| window == b"\r\n") else {
            return match input.len() <= MAX_CHUNK_LINE {
                true => Ok(0),
                false => Err(BodyError::Malformed),
            };
        };
        if end == 0 {
            self.state = DecoderState::Complete;
        }
        Ok(end + 2)
    }
}

fn take(input: &[u8], left: u64, content: &mut Vec<u8>) -> usize {
    let count = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    content.extend_from_slice(&input[..count]);
    count
}
