//! Buffer of a message body that takes memory for what has arrived, and gives all of it back.

use std::ops::Deref;

use berylstep_http::BodyError;
use memmap2::MmapMut;

/// Largest body on the heap. Larger ones have a mapping of their own, whose pages take memory once they are
/// written and are returned to the system with the body; the heap keeps what it has grown to.
const MAX_HEAP_BYTES: usize = 64 * 1024;

/// Content of a body up to a limit.
#[derive(Debug)]
pub struct BodyBuffer {
    max_bytes: usize,
    heap: Vec<u8>,
    mapping: Option<MmapMut>,
    len: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, heap: Vec::new(), mapping: None, len: 0 }
    }

    /// Appends content that has arrived.
    ///
    /// Fails with [`BodyError::TooLarge`] beyond the limit, and with [`BodyError::Io`] if the system has no
    /// memory.
    pub fn append(&mut self, content: &[u8]) -> Result<(), BodyError> {
        let len = self.len + content.len();
        if len > self.max_bytes {
            return Err(BodyError::TooLarge(self.max_bytes));
        }
        if self.mapping.is_none() && len > MAX_HEAP_BYTES {
            let mut mapping = MmapMut::map_anon(self.max_bytes).map_err(BodyError::Io)?;
            mapping[..self.len].copy_from_slice(&self.heap);
            self.heap = Vec::new();
            self.mapping = Some(mapping);
        }
        match &mut self.mapping {
            Some(mapping) => mapping[self.len..len].copy_from_slice(content),
            None => self.heap.extend_from_slice(content),
        }
        self.len = len;
        Ok(())
    }
}

impl Deref for BodyBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match &self.mapping {
            Some(mapping) => &mapping[..self.len],
            None => &self.heap,
        }
    }
}
