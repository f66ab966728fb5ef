//! Local copy of the desired state: as it is in force, as it is stored, and in pieces for other nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use berylstep_core::fleet::desired::DesiredState;
use berylstep_core::fleet::document::PiecedDocument;

use crate::gateway::mirror::StateSource;
use crate::platform::desired::decode_desired;

/// What became of a desired state that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredOutcome {
    /// It is in force.
    Applied,
    /// It is no newer than the one in force.
    Outdated,
    /// It can't be decoded; the one in force stays.
    Rejected,
}

/// Copy of the desired state.
#[derive(Debug)]
pub struct DesiredCopy {
    state: RefCell<Option<Arc<DesiredState>>>,
    content: RefCell<Arc<[u8]>>,
    /// Pieces of `content`, once they are needed.
    pieces: RefCell<Option<Rc<PiecedDocument>>>,
    rejected: Cell<u64>,
}

impl Default for DesiredCopy {
    fn default() -> Self {
        Self {
            state: RefCell::default(),
            content: RefCell::new(Arc::from([])),
            pieces: RefCell::default(),
            rejected: Cell::default(),
        }
    }
}

impl DesiredCopy {
    /// Returns the desired state in force; `None` before the first.
    pub fn state(&self) -> Option<Arc<DesiredState>> {
        self.state.borrow().clone()
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.state.borrow().as_ref().map_or(0, |state| state.version)
    }

    /// Returns the stored encoding; empty before the first.
    pub fn content(&self) -> Arc<[u8]> {
        self.content.borrow().clone()
    }

    /// Returns the stored encoding in pieces; `None` before the first.
    pub fn pieces(&self) -> Option<Rc<PiecedDocument>> {
        let version = self.state.borrow().as_ref()?.version;
        let mut pieces = self.pieces.borrow_mut();
        let split = || Rc::new(PiecedDocument::split(version, self.content()));
        Some(pieces.get_or_insert_with(split).clone())
    }

    /// Returns the number of desired states that could not be decoded.
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Applies the content of a row.
    pub fn apply_content(&self, content: Vec<u8>, source: StateSource) -> DesiredOutcome {
        let content = Arc::from(content);
        let outcome = self.apply(&content, source);
        if outcome == DesiredOutcome::Applied {
            *self.content.borrow_mut() = content;
            *self.pieces.borrow_mut() = None;
        }
        outcome
    }

    /// Applies a document that was assembled from pieces.
    pub fn apply_pieces(&self, document: PiecedDocument) -> DesiredOutcome {
        let outcome = self.apply(document.content(), StateSource::Peer);
        if outcome == DesiredOutcome::Applied {
            *self.content.borrow_mut() = document.content().clone();
            *self.pieces.borrow_mut() = Some(Rc::new(document));
        }
        outcome
    }

    fn apply(&self, content: &[u8], source: StateSource) -> DesiredOutcome {
        let previous = self.version();
        let state = match decode_desired(content) {
            Ok(state) => state,
            Err(err) => {
                self.rejected.set(self.rejected.get() + 1);
                log::error!(
                    "event=desired_state_rejected source={source:?} bytes={} error=\"{err}\" \
                     outcome=kept_version_{previous}",
                    content.len()
                );
                return DesiredOutcome::Rejected;
            }
        };
        if state.version <= previous {
            log::debug!(
                "event=desired_state_ignored version={} in_force={previous} source={source:?}",
                state.version
            );
            return DesiredOutcome::Outdated;
        }
        log::info!(
            "event=desired_state_applied version={} previous={previous} source={source:?} routes={} \
             bytes={}",
            state.version,
            state.route_count(),
            content.len()
        );
        *self.state.borrow_mut() = Some(Arc::new(state));
        DesiredOutcome::Applied
    }
}
