//! Identifiers of this process and of its transactions at the platform.

use crate::node::NodeContext;

/// Returns the name under which this process sends to the platform: node name and incarnation.
pub fn sender(node: &NodeContext) -> String {
    format!("{}-{}", node.settings.node, node.incarnation())
}

/// Returns a unique token for a transaction or an order.
pub fn token(node: &NodeContext) -> String {
    format!("{}-{}-{:016x}", node.settings.node, node.incarnation(), fastrand::u64(..))
}
