//! Detects withdrawal of a request's key.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::MAX_CONTACT_AGE;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use smol::future;

use super::request::CallerRequest;
use crate::node::NodeContext;

/// Interval between checks of the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the key of one request for withdrawal.
#[derive(Clone)]
pub struct KeyWatch {
    node: Arc<NodeContext>,
    request: Arc<CallerRequest>,
}

impl KeyWatch {
    /// Creates a watch on the key that came with `request`.
    pub fn new(node: &Arc<NodeContext>, request: &Arc<CallerRequest>) -> Self {
        Self { node: node.clone(), request: request.clone() }
    }

    /// Returns whether the key is still granted to its organisation; true for a request without a
    /// key.
    pub fn is_granted(&self) -> bool {
        let Some(key) = &self.request.key else { return true };
        let config = self.node.config.read().expect("config lock");
        config.organisation_of(key) == self.request.organisation.as_ref()
    }

    /// Waits until the configuration no longer grants the key.
    pub async fn withdrawn(&self) {
        while self.is_granted() {
            self.node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Awaits `queued`, and drops it if the key is withdrawn or the node becomes isolated.
    ///
    /// # Errors
    ///
    /// The error of `queued`, or the refusal for a withdrawn key or an isolated node.
    pub async fn unless_withdrawn<T>(
        &self,
        queued: impl Future<Output = Result<T, RequestRefusal>>,
    ) -> Result<T, RequestRefusal> {
        future::or(queued, async { Err(self.refusal().await) }).await
    }

    async fn refusal(&self) -> RequestRefusal {
        loop {
            if !self.is_granted() {
                return withdrawn_refusal();
            }
            if self.request.key.is_some() && self.node.is_isolated() {
                return isolated_refusal();
            }
            self.node.clock.sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns the refusal of a request whose key was withdrawn before anything was sent.
pub fn withdrawn_refusal() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadKey, "the key was withdrawn")
}

/// Returns the refusal of an isolated node, which can't learn of withdrawn keys.
pub fn isolated_refusal() -> RequestRefusal {
    let message = "the node has lost contact with the table service and all peers";
    RequestRefusal::not_run(RefusalReason::Isolated, message).retry_after(MAX_CONTACT_AGE)
}
