//! The configuration in force at one node.

use std::sync::Arc;

use super::entity::{
    ClassEntity, ConfigChange, ConfigEntity, OrganisationEntity, RouteEntity, RouteMatch,
};
use crate::collections::{HashMap, SharedName};
use crate::key::KeyHash;

/// What became of an offered change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was the next one and is in force.
    Applied,
    /// The change was already in force.
    Stale,
    /// Changes between the one in force and the offered one are missing.
    Gap,
}

/// Entities in force, at one version of the change log.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    version: u64,
    classes: HashMap<SharedName, Arc<ClassEntity>>,
    organisations: HashMap<SharedName, Arc<OrganisationEntity>>,
    keys: HashMap<KeyHash, SharedName>,
    routes: HashMap<SharedName, Arc<RouteEntity>>,
}

impl ConfigTable {
    /// Version of the last applied change; 0 is the empty configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the change with number `version` if it is the next one.
    pub fn apply(&mut self, version: u64, change: &ConfigChange) -> ApplyOutcome {
        if version <= self.version {
            return ApplyOutcome::Stale;
        }
        if version != self.version + 1 {
            return ApplyOutcome::Gap;
        }
        match change {
            ConfigChange::Put(entity) => self.put(entity),
            ConfigChange::Remove(row_key) => self.remove(row_key),
        }
        self.version = version;
        ApplyOutcome::Applied
    }

    /// Organisation that holds the key with this hash.
    pub fn organisation_of(&self, hash: &KeyHash) -> Option<&SharedName> {
        let (stored, organisation) = self.keys.get_key_value(hash)?;
        stored.matches(hash).then_some(organisation)
    }

    /// Class by name.
    pub fn class(&self, name: &str) -> Option<&Arc<ClassEntity>> {
        self.classes.get(name)
    }

    /// Organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Arc<OrganisationEntity>> {
        self.organisations.get(name)
    }

    /// Route of the model with this name.
    pub fn model_route(&self, model: &str) -> Option<&Arc<RouteEntity>> {
        self.routes
            .values()
            .find(|route| matches!(&route.matcher, RouteMatch::Model(name) if &**name == model))
    }

    /// Route with the longest prefix of `path`, at a path segment's end.
    pub fn path_route(&self, path: &str) -> Option<&Arc<RouteEntity>> {
        let prefix_len = |route: &RouteEntity| match &route.matcher {
            RouteMatch::Prefix(prefix) if has_path_prefix(path, prefix) => Some(prefix.len()),
            _ => None,
        };
        let matching = self.routes.values().filter(|route| prefix_len(route).is_some());
        matching.max_by_key(|route| prefix_len(route))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntity>> {
        self.routes.values()
    }

    /// All classes, in no particular order.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassEntity>> {
        self.classes.values()
    }

    fn put(&mut self, entity: &ConfigEntity) {
        match entity {
            ConfigEntity::Class(class) => {
                self.classes.insert(class.name.clone(), Arc::new(class.clone()));
            }
            ConfigEntity::Organisation(organisation) => {
                let name = organisation.name.clone();
                self.organisations.insert(name, Arc::new(organisation.clone()));
            }
            ConfigEntity::Key(key) => {
                if let Some(hash) = KeyHash::from_hex(&key.hash) {
                    self.keys.insert(hash, key.organisation.clone());
                }
            }
            ConfigEntity::Route(route) => {
                self.routes.insert(route.name.clone(), Arc::new(route.clone()));
            }
        }
    }

    fn remove(&mut self, row_key: &str) {
        let Some((kind, name)) = row_key.split_once('/') else { return };
        match kind {
            "class" => drop(self.classes.remove(name)),
            "organisation" => drop(self.organisations.remove(name)),
            "key" => {
                if let Some(hash) = KeyHash::from_hex(name) {
                    self.keys.remove(&hash);
                }
            }
            "route" => drop(self.routes.remove(name)),
            _ => {}
        }
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}
