//! Selection of addresses for child processes.

use std::collections::HashSet;

use berylstep_standins::process::free_address;

/// Number of addresses selected without a process that listens on them.
const ADDRESS_COUNT: usize = 1_000;

#[test]
fn no_address_is_handed_out_twice() {
    let addresses: HashSet<_> = (0..ADDRESS_COUNT).map(|_| free_address()).collect();
    assert_eq!(addresses.len(), ADDRESS_COUNT);
}
