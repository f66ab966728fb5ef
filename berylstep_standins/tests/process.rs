//! Addresses for child processes.

use std::collections::HashSet;

use berylstep_standins::process::free_address;

/// Addresses chosen before any process listens on one.
const ADDRESSES: usize = 1_000;

#[test]
fn no_address_is_handed_out_twice() {
    let addresses: HashSet<_> = (0..ADDRESSES).map(|_| free_address()).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
