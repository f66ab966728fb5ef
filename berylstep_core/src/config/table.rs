//! The configuration in force on one node.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use super::entity::{
    ClassEntity, ConfigChange, ConfigEntity, ConfigRevision, ConfigSnapshot, KeyEntity,
    OrganisationEntity, OrganisationLimits, RouteEntity, RouteMatch,
};
use crate::collections::{HashMap, HashSet, SharedName};
use crate::key::KeyHash;

/// Result of applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was the next one and has been applied.
    Applied,
    /// The change had been applied before.
    Stale,
    /// Changes between the current version and this change are missing.
    Gap,
}

/// Entities in force, at one version of the change log.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    version: u64,
    classes: HashMap<SharedName, Arc<ClassEntity>>,
    organisations: HashSet<OrganisationByName>,
    // A B-tree takes a third less memory than a hash map that has just grown. The timing of its
    // comparisons reveals nothing about stored keys, because callers cannot choose keyed hashes.
    keys: BTreeMap<KeyHash, Arc<OrganisationEntity>>,
    routes: HashMap<SharedName, Arc<RouteEntity>>,
}

/// An organisation hashed and compared by name; one pointer wide, as there are tens of thousands.
#[derive(Clone, Debug)]
struct OrganisationByName(Arc<OrganisationEntity>);

impl Borrow<str> for OrganisationByName {
    fn borrow(&self) -> &str {
        &self.0.name
    }
}

impl Hash for OrganisationByName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        str::hash(&self.0.name, state);
    }
}

impl PartialEq for OrganisationByName {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for OrganisationByName {}

impl ConfigTable {
    /// Builds a table from a snapshot.
    pub fn from_snapshot(snapshot: &ConfigSnapshot) -> Self {
        let mut table = Self::default();
        for entity in &snapshot.entities {
            table.put(entity);
        }
        table.version = snapshot.version;
        table
    }

    /// Returns all entities, ordered by kind and row key.
    pub fn snapshot(&self) -> ConfigSnapshot {
        let classes = self.classes.values().map(|class| ConfigEntity::Class((**class).clone()));
        let organisations =
            self.organisations().map(|found| ConfigEntity::Organisation((**found).clone()));
        let keys = self.keys.iter().map(|(hash, owner)| {
            let hash = hash.to_hex().into();
            ConfigEntity::Key(KeyEntity { hash, organisation: owner.name.clone() })
        });
        let routes = self.routes.values().map(|route| ConfigEntity::Route((**route).clone()));
        let mut entities: Vec<_> = classes.chain(organisations).chain(keys).chain(routes).collect();
        entities.sort_by_cached_key(|entity| (entity.rank(), entity.row_key()));
        ConfigSnapshot { version: self.version, entities }
    }

    /// Applies a revision atomically if it follows the current version.
    pub fn apply_revision(&mut self, revision: &ConfigRevision) -> ApplyOutcome {
        if revision.version() <= self.version {
            return ApplyOutcome::Stale;
        }
        if revision.after != self.version {
            return ApplyOutcome::Gap;
        }
        for change in &revision.changes {
            self.apply_change(change);
        }
        self.version = revision.version();
        ApplyOutcome::Applied
    }

    /// Returns the version of the last applied change; 0 is the empty configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a single change if `version` is the next one.
    pub fn apply(&mut self, version: u64, change: &ConfigChange) -> ApplyOutcome {
        if version <= self.version {
            return ApplyOutcome::Stale;
        }
        if version != self.version + 1 {
            return ApplyOutcome::Gap;
        }
        self.apply_change(change);
        self.version = version;
        ApplyOutcome::Applied
    }

    /// Returns the organisation that owns the key with this hash.
    pub fn organisation_of(&self, hash: &KeyHash) -> Option<&SharedName> {
        let (stored, owner) = self.keys.get_key_value(hash)?;
        stored.matches(hash).then_some(&owner.name)
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<&Arc<ClassEntity>> {
        self.classes.get(name)
    }

    /// Returns the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Arc<OrganisationEntity>> {
        self.organisations.get(name).map(|entry| &entry.0)
    }

    /// Iterates over all organisations, in no particular order.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<OrganisationEntity>> {
        self.organisations.iter().map(|entry| &entry.0)
    }

    /// Iterates over all keys and the organisations that own them, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyHash, &SharedName)> {
        self.keys.iter().map(|(hash, owner)| (hash, &owner.name))
    }

    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&Arc<RouteEntity>> {
        self.routes.get(name)
    }

    /// Returns whether an entity with this row key exists.
    pub fn contains(&self, row_key: &str) -> bool {
        match row_key.split_once('/') {
            Some(("class", name)) => self.classes.contains_key(name),
            Some(("organisation", name)) => self.organisations.contains(name),
            Some(("key", digits)) => {
                KeyHash::from_hex(digits).is_some_and(|hash| self.keys.contains_key(&hash))
            }
            Some(("route", name)) => self.routes.contains_key(name),
            _ => false,
        }
    }

    /// Returns the route for the model with this name.
    pub fn model_route(&self, model: &str) -> Option<&Arc<RouteEntity>> {
        self.routes
            .values()
            .find(|route| matches!(&route.matcher, RouteMatch::Model(name) if &**name == model))
    }

    /// Returns the route with the longest prefix of `path`; a prefix matches whole path segments.
    pub fn path_route(&self, path: &str) -> Option<&Arc<RouteEntity>> {
        let prefix_len = |route: &RouteEntity| match &route.matcher {
            RouteMatch::Prefix(prefix) if has_path_prefix(path, prefix) => Some(prefix.len()),
            _ => None,
        };
        let matching = self.routes.values().filter(|route| prefix_len(route).is_some());
        matching.max_by_key(|route| prefix_len(route))
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntity>> {
        self.routes.values()
    }

    /// Iterates over all classes, in no particular order.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassEntity>> {
        self.classes.values()
    }

    fn apply_change(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Put(entity) => self.put(entity),
            ConfigChange::Remove(row_key) => self.remove(row_key),
        }
    }

    fn put(&mut self, entity: &ConfigEntity) {
        match entity {
            ConfigEntity::Class(class) => {
                self.classes.insert(class.name.clone(), Arc::new(class.clone()));
            }
            ConfigEntity::Organisation(organisation) => {
                self.put_organisation(organisation);
            }
            ConfigEntity::Key(key) => {
                if let Some(hash) = KeyHash::from_hex(&key.hash) {
                    let owner = self.key_owner(&key.organisation);
                    self.keys.insert(hash, owner);
                }
            }
            ConfigEntity::Route(route) => {
                self.routes.insert(route.name.clone(), Arc::new(route.clone()));
            }
        }
    }

    fn put_organisation(&mut self, organisation: &OrganisationEntity) {
        let entity = Arc::new(organisation.clone());
        let replaced = self.organisations.replace(OrganisationByName(entity.clone())).is_some();
        if !replaced {
            return;
        }
        // Keys share the organisation's entity, which saves memory.
        for owner in self.keys.values_mut().filter(|owner| owner.name == entity.name) {
            *owner = entity.clone();
        }
    }

    /// Returns the entity that a key shares with its organisation; an unknown one has no limits.
    fn key_owner(&self, name: &SharedName) -> Arc<OrganisationEntity> {
        let unknown = || {
            let limits = OrganisationLimits::default();
            Arc::new(OrganisationEntity { name: name.clone(), limits })
        };
        self.organisation(name).cloned().unwrap_or_else(unknown)
    }

    fn remove(&mut self, row_key: &str) {
        let Some((kind, name)) = row_key.split_once('/') else { return };
        match kind {
            "class" => drop(self.classes.remove(name)),
            "organisation" => drop(self.organisations.take(name)),
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
