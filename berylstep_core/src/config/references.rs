//! Checks between entities: references, duplicates and removals of what is in use.

use super::entity::{ConfigChange, ConfigEntity, ConfigRevision, RouteEntity, RouteMatch};
use super::parse::{ConfigError, ParsedChange};
use super::table::ConfigTable;
use crate::collections::{HashMap, HashSet};
use crate::key::KeyHash;

/// Returns every fault that the change would leave in `table`, and those of its fields.
pub fn check(table: &ConfigTable, reading: &ParsedChange) -> Vec<ConfigError> {
    let mut checker = ReferenceChecker::new(table, reading);
    checker.check_removals();
    checker.check_keys();
    checker.check_routes();
    let mut faults = reading.faults.clone();
    faults.append(&mut checker.faults);
    faults
}

struct ReferenceChecker<'a> {
    before: &'a ConfigTable,
    after: ConfigTable,
    reading: &'a ParsedChange,
    removed: HashSet<&'a str>,
    faults: Vec<ConfigError>,
}

impl<'a> ReferenceChecker<'a> {
    fn new(before: &'a ConfigTable, reading: &'a ParsedChange) -> Self {
        let mut after = before.clone();
        let changes = reading.changes.clone();
        after.apply_revision(&ConfigRevision { after: before.version(), changes });
        let removed = reading.changes.iter().filter_map(|change| match change {
            ConfigChange::Remove(row_key) => Some(&**row_key),
            ConfigChange::Put(_) => None,
        });
        Self { before, after, reading, removed: removed.collect(), faults: Vec::new() }
    }

    /// Whether a referred entity is there; one with faulty fields of its own counts too.
    fn exists(&self, row_key: &str) -> bool {
        self.after.contains(row_key) || self.reading.named.contains(row_key)
    }

    fn check_removals(&mut self) {
        for row_key in &self.removed {
            if !self.before.contains(row_key) {
                let fault = ConfigError::new(row_key, "remove", "there is no such entity");
                self.faults.push(fault.accepted("row keys of entities in force"));
            }
            if self.reading.named.contains(*row_key) {
                let fault = ConfigError::new(row_key, "remove", "the entity is also put");
                self.faults.push(fault.accepted("either a put or a removal"));
            }
        }
    }

    fn check_keys(&mut self) {
        let mut faults = Vec::new();
        for (hash, organisation) in self.after.keys() {
            let owner = format!("organisation/{organisation}");
            if self.exists(&owner) {
                continue;
            }
            let fault = match self.removed.contains(&*owner) {
                true => ConfigError::new(&owner, "remove", "the organisation still holds a key"),
                false => ConfigError::new(&owner, "grant.organisation", "no such organisation"),
            };
            let digits = &hash.to_hex()[..8];
            faults.push(fault.accepted(&format!("organisations that exist (key {digits}…)")));
        }
        for entity in puts(self.reading) {
            let ConfigEntity::Key(key) = entity else { continue };
            let held = KeyHash::from_hex(&key.hash)
                .and_then(|hash| self.before.organisation_of(&hash).cloned());
            let withdrawn = self.removed.contains(&*format!("key/{}", key.hash));
            if held.is_some_and(|held| held != key.organisation) && !withdrawn {
                let entity = format!("organisation/{}", key.organisation);
                let problem = "the key is held by another organisation";
                faults.push(ConfigError::new(&entity, "grant.key", problem).accepted("a new key"));
            }
        }
        faults.sort();
        faults.dedup();
        self.faults.append(&mut faults);
    }

    fn check_routes(&mut self) {
        let mut routes: Vec<_> = self.after.routes().cloned().collect();
        routes.sort_by(|left, right| left.name.cmp(&right.name));
        let mut first: HashMap<&RouteMatch, &RouteEntity> = HashMap::default();
        let mut faults = Vec::new();
        for route in &routes {
            let entity = format!("route/{}", route.name);
            for class in &route.classes {
                faults.extend(self.check_class(&entity, class));
            }
            if let Some(other) = first.insert(&route.matcher, route) {
                let (field, value) = match &route.matcher {
                    RouteMatch::Model(model) => ("match.model", model),
                    RouteMatch::Prefix(prefix) => ("match.prefix", prefix),
                };
                let problem = format!("{value:?} is taken by route/{} too", other.name);
                let fault = ConfigError::new(&entity, field, &problem);
                faults.push(fault.accepted("a value that no other route has"));
            }
        }
        self.faults.append(&mut faults);
    }

    fn check_class(&self, route: &str, class: &str) -> Option<ConfigError> {
        let row_key = format!("class/{class}");
        if self.exists(&row_key) {
            return None;
        }
        if self.removed.contains(&*row_key) {
            let problem = format!("the class is still used by {route}");
            let fault = ConfigError::new(&row_key, "remove", &problem);
            return Some(fault.accepted("classes that no route names"));
        }
        let problem = format!("there is no class {class:?}");
        let fault = ConfigError::new(route, "classes", &problem);
        Some(fault.accepted("names of classes that exist"))
    }
}

fn puts(reading: &ParsedChange) -> impl Iterator<Item = &ConfigEntity> {
    reading.changes.iter().filter_map(|change| match change {
        ConfigChange::Put(entity) => Some(entity),
        ConfigChange::Remove(_) => None,
    })
}
