//! Parses an operator's change field by field and reports all errors at once.

mod fields;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use self::fields::{FieldReader, NAME_RULE};
use super::entity::{
    ClassEntity, ConfigChange, ConfigEntity, IdempotencyPolicy, KeyEntity, OrganisationEntity,
    OrganisationLimits, RouteEntity, RouteMatch,
};
use crate::collections::{HashSet, SharedName};
use crate::key::KeyHash;

/// Service tiers; 1 is the highest.
const TIERS: std::ops::RangeInclusive<u64> = 1..=3;

/// Maximum latency target and deadline, 24 hours.
const MAX_TIME_MS: u64 = 24 * 3_600_000;

/// Maximum number of entities in one change.
const MAX_CHANGES: usize = 2_000;

/// {entity}: {field}: {problem}; accepted: {accepted}
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigError {
    /// Row key of the entity, or its position in the change.
    pub entity: String,
    /// Path of the field within the entity; empty for the entity itself.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
    /// Description of the accepted values.
    pub accepted: String,
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// Returns an error without a description of accepted values.
    pub fn new(entity: &str, field: &str, problem: &str) -> Self {
        let [entity, field, problem] = [entity, field, problem].map(str::to_owned);
        Self { entity, field, problem, accepted: String::new() }
    }

    /// Sets the description of the accepted values.
    pub fn accepted(self, accepted: &str) -> Self {
        Self { accepted: accepted.to_owned(), ..self }
    }
}

/// An operator's change, as far as it could be parsed.
#[derive(Clone, Debug, Default)]
pub struct ParsedChange {
    /// Configuration version on which the change is based.
    pub against: u64,
    /// Idempotency token: changes with the same token take effect once.
    pub token: Option<String>,
    /// Changes whose fields are all valid.
    pub changes: Vec<ConfigChange>,
    /// Row keys of all entities that are put, including invalid ones.
    pub put_row_keys: HashSet<String>,
    /// Errors of single fields.
    pub field_errors: Vec<ConfigError>,
}

/// Parses a change; callers' API keys are hashed under `site_secret`.
pub fn parse_change(message: &Value, site_secret: &[u8]) -> ParsedChange {
    let mut parsed = ParsedChange::default();
    let mut fields = FieldReader::new("change", message, &mut parsed.field_errors);
    parsed.against = fields.required_whole("against", 0..=u64::MAX).unwrap_or_default();
    parsed.token = fields.token("token");
    let [puts, grants, withdrawals, removals] =
        ["put", "grant", "withdraw", "remove"].map(|field| fields.list(field));
    fields.finish();
    let entries = puts.len() + grants.len() + withdrawals.len() + removals.len();
    if !(1..=MAX_CHANGES).contains(&entries) {
        let error = ConfigError::new("change", "put", &format!("{entries} entities"));
        parsed.field_errors.push(error.accepted(&format!("1 to {MAX_CHANGES} in one change")));
    }
    for (index, put) in puts.iter().enumerate() {
        read_put(&mut parsed, index, put);
    }
    for (index, grant) in grants.iter().enumerate() {
        let location = format!("grant[{index}]");
        if let Some(key) = read_key(&mut parsed, &location, grant, site_secret) {
            add_put(&mut parsed, &location, ConfigEntity::Key(key));
        }
    }
    for (index, withdrawal) in withdrawals.iter().enumerate() {
        let location = format!("withdraw[{index}]");
        if let Some(key) = read_key(&mut parsed, &location, withdrawal, site_secret) {
            let row_key = ConfigEntity::Key(key).row_key();
            parsed.changes.push(ConfigChange::Remove(row_key.into()));
        }
    }
    for (index, removal) in removals.iter().enumerate() {
        read_removal(&mut parsed, index, removal);
    }
    parsed
}

fn read_put(parsed: &mut ParsedChange, index: usize, put: &Value) {
    let location = format!("put[{index}]");
    let entry = put.as_object().filter(|object| object.len() == 1);
    let entry = entry.and_then(|object| object.iter().next());
    let Some((kind, value)) = entry else {
        let error = ConfigError::new(&location, "kind", "not an object with one member");
        parsed.field_errors.push(error.accepted("class, organisation, key or route"));
        return;
    };
    let name_field = if kind == "key" { "hash" } else { "name" };
    let name = value[name_field].as_str().unwrap_or(&location);
    let row_key = format!("{kind}/{name}");
    let mut fields = FieldReader::new(&row_key, value, &mut parsed.field_errors);
    let entity = match &**kind {
        "class" => read_class(&mut fields).map(ConfigEntity::Class),
        "organisation" => read_organisation(&mut fields).map(ConfigEntity::Organisation),
        "key" => read_key_entity(&mut fields).map(ConfigEntity::Key),
        "route" => read_route(&mut fields).map(ConfigEntity::Route),
        _ => {
            let error = ConfigError::new(&location, "kind", &format!("{kind:?} is unknown"));
            parsed.field_errors.push(error.accepted("class, organisation, key or route"));
            return;
        }
    };
    fields.finish();
    match entity {
        Some(entity) => add_put(parsed, &location, entity),
        None => _ = parsed.put_row_keys.insert(row_key),
    }
}

fn add_put(parsed: &mut ParsedChange, location: &str, entity: ConfigEntity) {
    let row_key = entity.row_key();
    if !parsed.put_row_keys.insert(row_key.clone()) {
        let entity = if row_key.starts_with("key/") { location } else { &*row_key };
        let error = ConfigError::new(entity, "put", "the entity is put twice");
        parsed.field_errors.push(error.accepted("one put for an entity"));
    }
    parsed.changes.push(ConfigChange::Put(entity));
}

fn read_class(fields: &mut FieldReader) -> Option<ClassEntity> {
    let name = fields.name("name");
    let tier = fields.required_whole("tier", TIERS);
    let latency_ms = fields.required_whole("latency_ms", 1..=MAX_TIME_MS);
    let attainment = fields.fraction("attainment");
    let deadline_ms = fields.required_whole("deadline_ms", 1..=MAX_TIME_MS);
    let tier = u8::try_from(tier?).ok()?;
    Some(ClassEntity {
        name: name?,
        tier,
        latency_ms: latency_ms?,
        attainment: attainment?,
        deadline_ms: deadline_ms?,
    })
}

fn read_organisation(fields: &mut FieldReader) -> Option<OrganisationEntity> {
    let name = fields.name("name");
    let limits = fields.object("limits", |fields| {
        let mut limit = |field| fields.optional_whole(field, 1..=u64::from(u32::MAX));
        let [requests_per_second, tokens_per_minute, concurrency] =
            ["requests_per_second", "tokens_per_minute", "concurrency"]
                .map(|field| limit(field).map(|value| value as u32));
        OrganisationLimits { requests_per_second, tokens_per_minute, concurrency }
    });
    Some(OrganisationEntity { name: name?, limits: limits.unwrap_or_default() })
}

fn read_key_entity(fields: &mut FieldReader) -> Option<KeyEntity> {
    let hash = fields.text("hash", "64 hexadecimal digits", |text| {
        KeyHash::from_hex(text).map(|hash| SharedName::from(hash.to_hex()))
    });
    let organisation = fields.name("organisation");
    Some(KeyEntity { hash: hash?, organisation: organisation? })
}

fn read_route(fields: &mut FieldReader) -> Option<RouteEntity> {
    let name = fields.name("name");
    let matcher = read_matcher(fields);
    let pool = fields.name("pool");
    let classes = read_classes(fields);
    let open = fields.flag("open").unwrap_or_default();
    let accepted = "idempotent, send_once or require_key";
    let repeat = fields.optional_text("repeat", accepted, |text| match text {
        "idempotent" => Some(IdempotencyPolicy::Idempotent),
        "send_once" => Some(IdempotencyPolicy::SendOnce),
        "require_key" => Some(IdempotencyPolicy::RequireKey),
        _ => None,
    });
    let repeat = repeat.unwrap_or_default();
    Some(RouteEntity {
        name: name?,
        matcher: matcher?,
        pool: pool?,
        classes: classes?,
        open,
        repeat,
    })
}

fn read_matcher(fields: &mut FieldReader) -> Option<RouteMatch> {
    let found = fields.object("match", |fields| {
        if !fields.has_fields() {
            return None;
        }
        let valid_model = |text: &str| (!text.is_empty()).then(|| text.into());
        let valid_prefix = |text: &str| text.starts_with('/').then(|| text.into());
        let model = fields.optional_text("model", "the name of a model", valid_model);
        let prefix = fields.optional_text("prefix", "a path that starts with /", valid_prefix);
        if model.is_some() && prefix.is_some() {
            fields.add_error("model", "both model and prefix are given", "one of them");
        }
        Some(model.map(RouteMatch::Model).or(prefix.map(RouteMatch::Prefix)))
    });
    let found = found.flatten();
    if found.is_none() {
        fields.add_error("match", "missing", "{\"model\": NAME} or {\"prefix\": PATH}");
    }
    found.flatten()
}

fn read_classes(fields: &mut FieldReader) -> Option<Vec<SharedName>> {
    let listed = fields.list("classes");
    let classes: Vec<SharedName> =
        listed.iter().filter_map(|class| class.as_str().map(SharedName::from)).collect();
    if classes.is_empty() || classes.len() < listed.len() {
        fields.add_error("classes", "not a list of names", "at least one name of a class");
        return None;
    }
    Some(classes)
}

fn read_key(
    parsed: &mut ParsedChange,
    location: &str,
    value: &Value,
    site_secret: &[u8],
) -> Option<KeyEntity> {
    let mut fields = FieldReader::new(location, value, &mut parsed.field_errors);
    let organisation = fields.name("organisation");
    let accepted = "1 to 512 visible ASCII characters";
    // Errors must not contain the key itself.
    let key = fields.secret("key", accepted, |text| {
        let visible = text.chars().all(|c| c.is_ascii_graphic());
        (visible && (1..=512).contains(&text.len())).then(|| KeyHash::of(site_secret, text))
    });
    fields.finish();
    Some(KeyEntity { hash: key?.to_hex().into(), organisation: organisation? })
}

fn read_removal(parsed: &mut ParsedChange, index: usize, removal: &Value) {
    let kinds = ["class", "organisation", "key", "route"];
    let row_key = removal.as_str().filter(|text| {
        text.split_once('/').is_some_and(|(kind, name)| kinds.contains(&kind) && !name.is_empty())
    });
    match row_key {
        Some(row_key) => parsed.changes.push(ConfigChange::Remove(row_key.into())),
        None => {
            let location = format!("remove[{index}]");
            let error = ConfigError::new(&location, "row key", &format!("{removal} is not one"));
            let accepted =
                format!("KIND/NAME with a kind of class, organisation, key, route; {NAME_RULE}");
            parsed.field_errors.push(error.accepted(&accepted));
        }
    }
}
