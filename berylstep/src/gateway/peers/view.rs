//! Cached view of the live nodes and of the representatives elected among them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashSet, SharedName};

use super::node::{self, KnownNode};

/// Time for which a view is reused while no node joins or changes. Short against the time without
/// pulses after which a node stops counting as live.
pub const VIEW_LIFETIME: Duration = Duration::from_millis(100);

/// Live nodes and representatives at one moment.
#[derive(Debug)]
pub struct FleetView {
    /// Other live nodes, known directly or by gossip.
    pub nodes: Vec<KnownNode>,
    /// Representatives of all zones, including this node if it is one.
    pub representatives: Vec<KnownNode>,
    /// This node's rank among the representatives of its zone, from 0; `None` if it is not one.
    pub rank: Option<usize>,
    names: HashSet<SharedName>,
    computed_at: Duration,
}

impl FleetView {
    /// Elects representatives among `nodes` and `own`.
    pub fn new(nodes: Vec<KnownNode>, own: &KnownNode, now: Duration) -> Self {
        let candidates = nodes.iter().chain([own]).filter(|node| !node.leaving).cloned();
        let representatives = node::representatives(candidates.collect());
        let mut zone = representatives.iter().filter(|node| node.zone == own.zone);
        let rank = zone.position(|node| node.node == own.node);
        let names = representatives.iter().map(|node| node.node.clone()).collect();
        Self { nodes, representatives, rank, names, computed_at: now }
    }

    /// Returns whether a node is a representative of its zone.
    pub fn is_representative(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    fn is_current(&self, now: Duration) -> bool {
        now >= self.computed_at && now - self.computed_at < VIEW_LIFETIME
    }
}

/// Latest view, until it expires or is invalidated.
#[derive(Debug, Default)]
pub struct ViewCache(RefCell<Option<Rc<FleetView>>>);

impl ViewCache {
    /// Returns the cached view if it is still current; otherwise the result of `compute`.
    pub fn get_or(&self, now: Duration, compute: impl FnOnce() -> FleetView) -> Rc<FleetView> {
        let cached = self.0.borrow().clone().filter(|view| view.is_current(now));
        if let Some(view) = cached {
            return view;
        }
        let view = Rc::new(compute());
        *self.0.borrow_mut() = Some(view.clone());
        view
    }

    /// Discards the cached view after a node has joined or changed.
    pub fn invalidate(&self) {
        *self.0.borrow_mut() = None;
    }
}
