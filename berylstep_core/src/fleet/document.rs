//! Documents that nodes hand on in pieces.
//!
//! A document is split where its content says so, so that a change leaves the pieces before and after it as
//! they are. A node that has an older version fetches only the pieces that it lacks, keeps what it has received when a
//! transfer breaks off, and goes on with any node that has the rest.

use std::ops::Range;
use std::sync::Arc;

use fastcdc::v2020::FastCDC;
use sha2::{Digest, Sha256};

use crate::collections::{HashMap, HashSet};

/// Smallest and mean size of a piece, in bytes.
const MIN_PIECE_BYTES: usize = 2 * 1024;
const MEAN_PIECE_BYTES: usize = 8 * 1024;

/// Largest size of a piece, in bytes.
pub const MAX_PIECE_BYTES: usize = 32 * 1024;

/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 16;

/// Identifies the content of a piece: the first bytes of its SHA-256 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceDigest([u8; DIGEST_BYTES]);

impl PieceDigest {
    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        let hash = Sha256::digest(content);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the digest with these bytes; `None` if there are too few or too many.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Digest and size in bytes of one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceEntry {
    /// Digest of its content.
    pub digest: PieceDigest,
    /// Size in bytes.
    pub bytes: usize,
}

/// The pieces of one version of a document, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentManifest {
    /// Version of the document.
    pub version: u64,
    /// Pieces whose contents, one after the other, are the document.
    pub pieces: Vec<PieceEntry>,
}

impl DocumentManifest {
    /// Splits `content`, the version `version` of a document.
    pub fn split(version: u64, content: &[u8]) -> Self {
        let chunks = FastCDC::new(content, MIN_PIECE_BYTES, MEAN_PIECE_BYTES, MAX_PIECE_BYTES);
        let pieces = chunks.map(|chunk| {
            let content = &content[chunk.offset..chunk.offset + chunk.length];
            PieceEntry { digest: PieceDigest::of(content), bytes: content.len() }
        });
        Self { version, pieces: pieces.collect() }
    }

    /// Returns the size of the document, in bytes.
    pub fn bytes(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes).sum()
    }
}

/// A complete document whose pieces can be looked up.
#[derive(Clone, Debug)]
pub struct PiecedDocument {
    manifest: DocumentManifest,
    content: Arc<[u8]>,
    places: HashMap<PieceDigest, Range<usize>>,
}

impl PiecedDocument {
    /// Splits a document.
    pub fn split(version: u64, content: Arc<[u8]>) -> Self {
        Self::new(DocumentManifest::split(version, &content), content)
    }

    fn new(manifest: DocumentManifest, content: Arc<[u8]>) -> Self {
        let mut start = 0;
        let places = manifest.pieces.iter().map(|piece| {
            let place = start..start + piece.bytes;
            start = place.end;
            (piece.digest, place)
        });
        let places = places.collect();
        Self { manifest, content, places }
    }

    /// Returns the list of its pieces.
    pub fn manifest(&self) -> &DocumentManifest {
        &self.manifest
    }

    /// Returns the whole document.
    pub fn content(&self) -> &Arc<[u8]> {
        &self.content
    }

    /// Returns the content of a piece; `None` if the document has no such piece.
    pub fn piece(&self, digest: PieceDigest) -> Option<&[u8]> {
        self.places.get(&digest).map(|place| &self.content[place.clone()])
    }
}

/// What became of a piece that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceReceipt {
    /// The document lacked it.
    Added,
    /// The document doesn't contain it, or has it already.
    Unneeded,
}

/// A document of which some pieces are still missing.
#[derive(Clone, Debug)]
pub struct DocumentAssembly {
    manifest: DocumentManifest,
    held: HashMap<PieceDigest, Arc<[u8]>>,
    missing: HashSet<PieceDigest>,
}

impl DocumentAssembly {
    /// Begins to assemble the document that `manifest` describes, with the pieces that it shares with `known`.
    pub fn new(manifest: DocumentManifest, known: Option<&PiecedDocument>) -> Self {
        let mut assembly = Self { manifest, held: HashMap::default(), missing: HashSet::default() };
        assembly.find_missing(|digest| known?.piece(digest).map(Arc::from));
        assembly
    }

    /// Goes on with another version; pieces that it shares with this one are kept.
    pub fn retarget(&mut self, manifest: DocumentManifest, known: Option<&PiecedDocument>) {
        self.manifest = manifest;
        let held = std::mem::take(&mut self.held);
        self.find_missing(|digest| {
            let kept = held.get(&digest).cloned();
            kept.or_else(|| known?.piece(digest).map(Arc::from))
        });
    }

    fn find_missing(&mut self, find: impl Fn(PieceDigest) -> Option<Arc<[u8]>>) {
        self.held.clear();
        self.missing.clear();
        for piece in &self.manifest.pieces {
            if self.held.contains_key(&piece.digest) {
                continue;
            }
            match find(piece.digest) {
                Some(content) => {
                    self.held.insert(piece.digest, content);
                }
                None => {
                    self.missing.insert(piece.digest);
                }
            }
        }
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.manifest.version
    }

    /// Returns the list of its pieces.
    pub fn manifest(&self) -> &DocumentManifest {
        &self.manifest
    }

    /// Returns the number of distinct pieces that are missing.
    pub fn missing_pieces(&self) -> usize {
        self.missing.len()
    }

    /// Returns whether a piece is missing.
    pub fn lacks(&self, digest: PieceDigest) -> bool {
        self.missing.contains(&digest)
    }

    /// Returns the number of bytes that are missing.
    pub fn missing_bytes(&self) -> usize {
        self.unique_missing().map(|piece| piece.bytes).sum()
    }

    /// Returns missing pieces of at most `max_bytes` bytes together, but at least one. `offset` says where in
    /// the document to begin, so that nodes that fetch it at the same time get different pieces first.
    pub fn next_missing(&self, max_bytes: usize, offset: usize) -> Vec<PieceDigest> {
        let missing: Vec<_> = self.unique_missing().collect();
        let start = offset % missing.len().max(1);
        let rotated = missing[start..].iter().chain(&missing[..start]);
        let mut bytes = 0;
        let within = rotated.take_while(|piece| {
            let fits = bytes == 0 || bytes + piece.bytes <= max_bytes;
            bytes += piece.bytes;
            fits
        });
        within.map(|piece| piece.digest).collect()
    }

    fn unique_missing(&self) -> impl Iterator<Item = PieceEntry> + '_ {
        let mut seen = HashSet::default();
        let missing =
            self.manifest.pieces.iter().filter(|piece| self.missing.contains(&piece.digest));
        missing.filter(move |piece| seen.insert(piece.digest)).copied()
    }

    /// Adds a piece that was received.
    pub fn add(&mut self, content: &[u8]) -> PieceReceipt {
        let digest = PieceDigest::of(content);
        match self.missing.remove(&digest) {
            true => {
                self.held.insert(digest, content.into());
                PieceReceipt::Added
            }
            false => PieceReceipt::Unneeded,
        }
    }

    /// Returns the complete document; `None` while pieces are missing.
    pub fn complete(&self) -> Option<PiecedDocument> {
        if !self.missing.is_empty() {
            return None;
        }
        let mut content = Vec::with_capacity(self.manifest.bytes());
        for piece in &self.manifest.pieces {
            content.extend_from_slice(self.held.get(&piece.digest)?);
        }
        // A manifest may state wrong sizes; the places of the pieces follow from their contents.
        let pieces = self.manifest.pieces.iter().map(|piece| {
            let bytes = self.held.get(&piece.digest).map_or(0, |content| content.len());
            PieceEntry { bytes, ..*piece }
        });
        let manifest =
            DocumentManifest { version: self.manifest.version, pieces: pieces.collect() };
        Some(PiecedDocument::new(manifest, content.into()))
    }
}
