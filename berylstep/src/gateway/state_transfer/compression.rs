//! Compression of pieces between nodes: desired states are text, and links are narrow.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::rc::Rc;

use berylstep_core::collections::HashMap;
use berylstep_core::fleet::document::{PieceDigest, PiecedDocument, MAX_PIECE_BYTES};
use berylstep_wire::PieceCopy;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

use super::link::LinkError;

/// Pieces of the latest document that was sent, compressed once for all nodes that ask for them.
#[derive(Debug, Default)]
pub struct PackedPieces {
    document: RefCell<Option<Rc<PiecedDocument>>>,
    pieces: RefCell<HashMap<PieceDigest, PieceCopy>>,
}

impl PackedPieces {
    /// Returns the message with a piece of `document`.
    pub fn pack(
        &self,
        document: &Rc<PiecedDocument>,
        digest: PieceDigest,
        content: &[u8],
    ) -> PieceCopy {
        let mut latest = self.document.borrow_mut();
        let mut pieces = self.pieces.borrow_mut();
        if latest.as_ref().is_none_or(|latest| !Rc::ptr_eq(latest, document)) {
            pieces.retain(|digest, _| document.piece(*digest).is_some());
            *latest = Some(document.clone());
        }
        pieces.entry(digest).or_insert_with(|| pack(content)).clone()
    }
}

fn pack(content: &[u8]) -> PieceCopy {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let deflated = encoder.write_all(content).and_then(|()| encoder.finish());
    match deflated {
        Ok(deflated) if deflated.len() < content.len() => {
            PieceCopy { content: Vec::new(), deflated }
        }
        Ok(_) => PieceCopy { content: content.to_vec(), deflated: Vec::new() },
        Err(err) => {
            log::error!("event=piece_not_compressed error=\"{err}\"");
            PieceCopy { content: content.to_vec(), deflated: Vec::new() }
        }
    }
}

/// Returns the content of a piece.
///
/// # Errors
///
/// Returns an error if it is malformed or larger than a piece may be.
pub fn unpack(piece: PieceCopy) -> Result<Vec<u8>, LinkError> {
    if piece.deflated.is_empty() {
        return Ok(piece.content);
    }
    let mut content = Vec::new();
    let mut limited = DeflateDecoder::new(&*piece.deflated).take(MAX_PIECE_BYTES as u64 + 1);
    limited.read_to_end(&mut content)?;
    match content.len() <= MAX_PIECE_BYTES {
        true => Ok(content),
        false => Err(LinkError::Oversized),
    }
}
