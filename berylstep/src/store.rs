//! Helpers for writes to the table service.

use crate::node::NodeContext;

/// Returns a token that no other transaction carries.
pub fn token(node: &NodeContext) -> String {
    format!("{}-{}-{:016x}", node.settings.node, node.incarnation(), fastrand::u64(..))
}
