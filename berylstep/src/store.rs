//! Helpers for writes to the table service.

use crate::node::NodeContext;

/// Returns how this process names itself to the platform.
pub fn sender(node: &NodeContext) -> String {
    format!("{}-{}", node.settings.node, node.incarnation())
}

/// Returns a token that no other transaction carries.
pub fn token(node: &NodeContext) -> String {
    format!("{}-{}-{:016x}", node.settings.node, node.incarnation(), fastrand::u64(..))
}
