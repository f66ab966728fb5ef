//! Checks across entities: missing references, duplicates and removal of entities in use.

use super::entity::{ConfigChange, ConfigEntity, ConfigRevision, RouteEntity, RouteMatch};
use super::parse::{ConfigError, ParsedChange};
use super::table::ConfigTable;
use crate::collections::{HashMap, HashSet};
use crate::key::KeyHash;

/// Returns the errors of the change's fields and those that applying it to `table` would cause.
pub fn check(table: &ConfigTable, parsed: &ParsedChange) -> Vec<ConfigError> {
    let mut checker = ReferenceChecker::new(table, parsed);
    checker.check_removals();
    checker.check_keys();
    checker.check_routes();
    let mut errors = parsed.field_errors.clone();
    errors.append(&mut checker.errors);
    errors
}

struct ReferenceChecker<'a> {
    before: &'a ConfigTable,
    after: ConfigTable,
    parsed: &'a ParsedChange,
    removed: HashSet<&'a str>,
    errors: Vec<ConfigError>,
}

impl<'a> ReferenceChecker<'a> {
    fn new(before: &'a ConfigTable, parsed: &'a ParsedChange) -> Self {
        let mut after = before.clone();
        let changes = parsed.changes.clone();
        after.apply_revision(&ConfigRevision { after: before.version(), changes });
        let removed = parsed.changes.iter().filter_map(|change| match change {
            ConfigChange::Remove(row_key) => Some(&**row_key),
            ConfigChange::Put(_) => None,
        });
        Self { before, after, parsed, removed: removed.collect(), errors: Vec::new() }
    }

    /// Returns whether a referenced entity exists; one that is put with invalid fields counts too.
    fn exists(&self, row_key: &str) -> bool {
        self.after.contains(row_key) || self.parsed.put_row_keys.contains(row_key)
    }

    fn check_removals(&mut self) {
        for row_key in &self.removed {
            if !self.before.contains(row_key) {
                let error = ConfigError::new(row_key, "remove", "there is no such entity");
                self.errors.push(error.accepted("row keys of entities in force"));
            }
            if self.parsed.put_row_keys.contains(*row_key) {
                let error = ConfigError::new(row_key, "remove", "the entity is also put");
                self.errors.push(error.accepted("either a put or a removal"));
            }
        }
    }

    fn check_keys(&mut self) {
        let mut errors = Vec::new();
        for (hash, organisation) in self.after.keys() {
            let owner = format!("organisation/{organisation}");
            if self.exists(&owner) {
                continue;
            }
            let error = match self.removed.contains(&*owner) {
                true => ConfigError::new(&owner, "remove", "the organisation still holds a key"),
                false => ConfigError::new(&owner, "grant.organisation", "no such organisation"),
            };
            let digits = &hash.to_hex()[..8];
            errors.push(error.accepted(&format!("organisations that exist (key {digits}…)")));
        }
        for entity in puts(self.parsed) {
            let ConfigEntity::Key(key) = entity else { continue };
            let owner = KeyHash::from_hex(&key.hash)
                .and_then(|hash| self.before.organisation_of(&hash).cloned());
            let is_withdrawn = self.removed.contains(&*format!("key/{}", key.hash));
            if owner.is_some_and(|owner| owner != key.organisation) && !is_withdrawn {
                let entity = format!("organisation/{}", key.organisation);
                let problem = "the key is held by another organisation";
                errors.push(ConfigError::new(&entity, "grant.key", problem).accepted("a new key"));
            }
        }
        errors.sort();
        errors.dedup();
        self.errors.append(&mut errors);
    }

    fn check_routes(&mut self) {
        let mut routes: Vec<_> = self.after.routes().cloned().collect();
        routes.sort_by(|left, right| left.name.cmp(&right.name));
        let mut by_matcher: HashMap<&RouteMatch, &RouteEntity> = HashMap::default();
        let mut errors = Vec::new();
        for route in &routes {
            let entity = format!("route/{}", route.name);
            for class in &route.classes {
                errors.extend(self.check_class(&entity, class));
            }
            if let Some(other) = by_matcher.insert(&route.matcher, route) {
                let (field, value) = match &route.matcher {
                    RouteMatch::Model(model) => ("match.model", model),
                    RouteMatch::Prefix(prefix) => ("match.prefix", prefix),
                };
                let problem = format!("{value:?} is taken by route/{} too", other.name);
                let error = ConfigError::new(&entity, field, &problem);
                errors.push(error.accepted("a value that no other route has"));
            }
        }
        self.errors.append(&mut errors);
    }

    fn check_class(&self, route: &str, class: &str) -> Option<ConfigError> {
        let row_key = format!("class/{class}");
        if self.exists(&row_key) {
            return None;
        }
        if self.removed.contains(&*row_key) {
            let problem = format!("the class is still used by {route}");
            let error = ConfigError::new(&row_key, "remove", &problem);
            return Some(error.accepted("classes that no route names"));
        }
        let problem = format!("there is no class {class:?}");
        let error = ConfigError::new(route, "classes", &problem);
        Some(error.accepted("names of classes that exist"))
    }
}

fn puts(parsed: &ParsedChange) -> impl Iterator<Item = &ConfigEntity> {
    parsed.changes.iter().filter_map(|change| match change {
        ConfigChange::Put(entity) => Some(entity),
        ConfigChange::Remove(_) => None,
    })
}
