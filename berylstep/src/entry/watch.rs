//! Watching whether a request's key is still held.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::config::MAX_CONTACT_AGE;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use smol::future;

use super::request::CallerRequest;
use crate::node::NodeContext;

/// Time between looks at the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Watches the key of one request.
#[derive(Clone)]
pub struct KeyWatch {
    node: Arc<NodeContext>,
    request: Arc<CallerRequest>,
}

impl KeyWatch {
    /// Watches the key that came with `request`.
    pub fn new(node: &Arc<NodeContext>, request: &Arc<CallerRequest>) -> Self {
        Self { node: node.clone(), request: request.clone() }
    }

    /// Whether the key still belongs to the organisation; requests without a key need none.
    pub fn is_held(&self) -> bool {
        let Some(key) = &self.request.key else { return true };
        let config = self.node.config.read().expect("config lock");
        config.organisation_of(key) == self.request.organisation.as_ref()
    }

    /// Resolves when the key is withdrawn.
    pub async fn withdrawn(&self) {
        while self.is_held() {
            self.node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Awaits `queued`, which is dropped where the key is withdrawn or the node becomes isolated.
    pub async fn unless_withdrawn<T>(
        &self,
        queued: impl Future<Output = Result<T, RequestRefusal>>,
    ) -> Result<T, RequestRefusal> {
        future::or(queued, async { Err(self.refusal().await) }).await
    }

    async fn refusal(&self) -> RequestRefusal {
        loop {
            if !self.is_held() {
                return withdrawn_refusal();
            }
            if self.request.key.is_some() && self.node.is_isolated() {
                return isolated_refusal();
            }
            self.node.clock.sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Refusal of a request whose key was withdrawn before anything was sent.
pub fn withdrawn_refusal() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadKey, "the key was withdrawn")
}

/// Refusal at a node that can't learn of withdrawn keys.
pub fn isolated_refusal() -> RequestRefusal {
    let message = "the node has lost contact with the table service and all peers";
    RequestRefusal::not_run(RefusalReason::Isolated, message).retry_after(MAX_CONTACT_AGE)
}
