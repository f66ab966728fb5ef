//! Fetches the pieces of a document from the nodes that have it.
//!
//! Answers the load of a change that all nodes of a zone learn of at the same moment: each node serves as many
//! others at once as its link is wide, tells the rest who has the document too, and a node that has all pieces
//! serves others in turn.

use std::net::SocketAddr;
use std::time::Duration;

use super::document::{
    DocumentAssembly, DocumentManifest, PieceDigest, PieceReceipt, PiecedDocument,
};
use crate::collections::HashMap;

/// Largest number of bytes that one query asks for.
const MAX_QUERY_BYTES: usize = 128 * 1024;

/// Largest number of pieces that one query asks for.
pub const MAX_QUERY_PIECES: usize = 64;

/// Mean pause before a busy source is asked again, about the time of a query on a narrow link.
const BUSY_PAUSE: Duration = Duration::from_millis(120);

/// Time of an answer below which no source counts as faster than others.
const USUAL_ANSWER_TIME: Duration = Duration::from_millis(50);

/// Pause before a source is asked again that failed once; it doubles with each failure.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failures.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// How a query for pieces ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// The source has sent the pieces that it has.
    Answered,
    /// The source serves others.
    Busy,
    /// The source can't be reached, or fell silent.
    Failed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// All pieces are there.
    Complete,
    /// Ask a source for these pieces.
    Query(SocketAddr, Vec<PieceDigest>),
    /// Wait until a source may be asked again.
    Wait(Duration),
    /// No known source has the missing pieces.
    NoSource,
}

/// A node that announces the document.
#[derive(Clone, Copy, Debug)]
struct SourceState {
    /// Number of queries that it serves at once.
    width: u32,
    /// Time of its latest answer.
    answer_time: Duration,
    paused_until: Duration,
    failures: u32,
}

impl SourceState {
    /// Weight in the selection of a source: wide ones first, and slow ones last.
    fn weight(&self) -> f64 {
        f64::from(self.width) / self.answer_time.max(USUAL_ANSWER_TIME).as_secs_f64()
    }
}

/// The fetching of one document.
#[derive(Clone, Debug)]
pub struct DocumentFetch {
    assembly: DocumentAssembly,
    sources: HashMap<SocketAddr, SourceState>,
    /// Sources without the missing pieces, which are not asked again for this version.
    exhausted: Vec<SocketAddr>,
    began_at: Duration,
    received_bytes: usize,
}

impl DocumentFetch {
    /// Begins to fetch the document that `manifest` describes, without the pieces that it shares with `known`.
    pub fn new(manifest: DocumentManifest, known: Option<&PiecedDocument>, now: Duration) -> Self {
        Self {
            assembly: DocumentAssembly::new(manifest, known),
            sources: HashMap::default(),
            exhausted: Vec::new(),
            began_at: now,
            received_bytes: 0,
        }
    }

    /// Goes on with a newer version; pieces that were received are kept.
    pub fn retarget(&mut self, manifest: DocumentManifest, known: Option<&PiecedDocument>) {
        self.assembly.retarget(manifest, known);
        self.sources.clear();
        self.exhausted.clear();
    }

    /// Returns the pieces of the document.
    pub fn assembly(&self) -> &DocumentAssembly {
        &self.assembly
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.assembly.version()
    }

    /// Returns the time at which fetching began.
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Returns the number of bytes that were received and needed.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Adds a node that announces the document and serves `width` queries at once.
    pub fn add_source(&mut self, address: SocketAddr, width: u32) {
        if width > 0 && !self.exhausted.contains(&address) {
            let unused = SourceState {
                width,
                answer_time: Duration::ZERO,
                paused_until: Duration::ZERO,
                failures: 0,
            };
            self.sources.entry(address).or_insert(unused);
        }
    }

    /// Returns what to do next. The draws are uniformly distributed from 0 to 1: one selects among the sources by
    /// their width and speed, the other says where in the document to begin.
    pub fn next_step(&self, now: Duration, source_draw: f64, start_draw: f64) -> FetchStep {
        if self.assembly.missing_pieces() == 0 {
            return FetchStep::Complete;
        }
        let mut ready: Vec<_> =
            self.sources.iter().filter(|(_, source)| source.paused_until <= now).collect();
        // The draw must mean the same source whatever order the map has.
        ready.sort_unstable_by_key(|(address, _)| **address);
        let total: f64 = ready.iter().map(|(_, source)| source.weight()).sum();
        let mut remaining = source_draw * total;
        let chosen = ready.iter().find(|(_, source)| {
            remaining -= source.weight();
            remaining < 0.0
        });
        if let Some((address, _)) = chosen.or(ready.last()) {
            let offset = (start_draw * self.assembly.missing_pieces() as f64) as usize;
            let mut pieces = self.assembly.next_missing(MAX_QUERY_BYTES, offset);
            pieces.truncate(MAX_QUERY_PIECES);
            return FetchStep::Query(**address, pieces);
        }
        match self.sources.values().map(|source| source.paused_until).min() {
            Some(until) => FetchStep::Wait(until - now),
            None => FetchStep::NoSource,
        }
    }

    /// Adds a piece that was received.
    pub fn add_piece(&mut self, content: &[u8]) -> PieceReceipt {
        let receipt = self.assembly.add(content);
        if receipt == PieceReceipt::Added {
            self.received_bytes += content.len();
        }
        receipt
    }

    /// Records how a query for `asked`, which was sent at `began`, ended. `draw` is uniformly distributed from 0 to 1 and spreads the nodes that
    /// come back to a busy source.
    pub fn record_end(
        &mut self,
        source: SocketAddr,
        asked: &[PieceDigest],
        end: QueryEnd,
        began: Duration,
        now: Duration,
        draw: f64,
    ) {
        let is_useless =
            end == QueryEnd::Answered && asked.iter().all(|digest| self.assembly.lacks(*digest));
        if is_useless {
            self.sources.remove(&source);
            self.exhausted.push(source);
            return;
        }
        let Some(state) = self.sources.get_mut(&source) else { return };
        match end {
            QueryEnd::Answered => {
                state.failures = 0;
                state.answer_time = now.saturating_sub(began);
            }
            QueryEnd::Busy => state.paused_until = now + BUSY_PAUSE.mul_f64(0.5 + draw),
            QueryEnd::Failed => {
                let pause = MIN_FAILURE_PAUSE * 2u32.saturating_pow(state.failures.min(8));
                state.failures += 1;
                state.paused_until = now + pause.min(MAX_FAILURE_PAUSE).mul_f64(0.5 + draw);
            }
        }
    }
}
