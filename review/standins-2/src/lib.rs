//! Parts that the scripts of the second review share: a store, gateways as processes, HTTP messages on raw
//! sockets and the record of what was sent, answered and run. Only the standard library is used.

pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod socket;
pub mod store;
