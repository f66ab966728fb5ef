//! Memory use of the configuration, measured by the growth of the process.

use berylstep_core::config::{
    ConfigChange, ConfigEntity, ConfigRevision, ConfigTable, KeyEntity, OrganisationEntity,
};
use berylstep_core::key::KeyHash;

const ORGANISATIONS: usize = 30_000;
const KEYS: usize = 2;
const MAX_BYTES: usize = 300;
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory of the process in bytes, including allocator overhead.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

fn revision(after: u64, number: usize) -> ConfigRevision {
    let name = format!("organisation-{number}");
    let organisation =
        OrganisationEntity { name: name.as_str().into(), limits: Default::default() };
    let keys = (0..KEYS).map(|key| {
        let hash = KeyHash::of(b"secret", &format!("{number}-{key}")).to_hex().into();
        ConfigEntity::Key(KeyEntity { hash, organisation: name.as_str().into() })
    });
    let entities = std::iter::once(ConfigEntity::Organisation(organisation)).chain(keys);
    ConfigRevision { after, changes: entities.map(ConfigChange::Put).collect() }
}

#[test]
fn an_organisation_with_two_keys_takes_less_than_300_bytes() {
    let mut table = ConfigTable::default();
    table.apply_revision(&revision(0, 0));
    let before = resident_bytes();
    for number in 1..=ORGANISATIONS {
        table.apply_revision(&revision(table.version(), number));
    }
    let bytes = (resident_bytes() - before) / ORGANISATIONS;
    println!("{ORGANISATIONS} organisations with {KEYS} keys: {bytes} bytes each, resident");
    assert!(bytes < MAX_BYTES, "{bytes}");
    assert_eq!(table.organisations().count(), ORGANISATIONS + 1);
}
