//! Fields of one JSON object, with every fault gathered.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::ConfigError;
use crate::collections::SharedName;

/// Accepted names of entities.
pub const NAME: &str = "1 to 63 letters, digits, dots, underscores or dashes";

/// Accepted tokens of changes.
const TOKEN: &str = "8 to 64 letters, digits, dots, underscores or dashes";

/// Reads the fields of one object.
pub struct FieldReader<'a> {
    entity: String,
    /// Path of the object within the entity, ending in a dot unless empty.
    path: String,
    object: Map<String, Value>,
    faults: &'a mut Vec<ConfigError>,
}

impl<'a> FieldReader<'a> {
    /// Reads `value`, which belongs to `entity`.
    pub fn new(entity: &str, value: &Value, faults: &'a mut Vec<ConfigError>) -> Self {
        let object = value.as_object().cloned();
        if object.is_none() {
            faults.push(ConfigError::new(entity, "", "not an object").accepted("a JSON object"));
        }
        let (entity, object) = (entity.to_owned(), object.unwrap_or_default());
        Self { entity, path: String::new(), object, faults }
    }

    /// Reports the fields that nobody read.
    pub fn finish(self) {
        for field in self.object.keys() {
            let field = format!("{}{field}", self.path);
            let fault = ConfigError::new(&self.entity, &field, "unknown field");
            self.faults.push(fault.accepted("the fields of docs/OPERATING.md"));
        }
    }

    /// Adds a fault of `field`.
    pub fn fault(&mut self, field: &str, problem: &str, accepted: &str) {
        let field = format!("{}{field}", self.path);
        self.faults.push(ConfigError::new(&self.entity, &field, problem).accepted(accepted));
    }

    /// Name of an entity.
    pub fn name(&mut self, field: &str) -> Option<SharedName> {
        self.text(field, NAME, |text| is_name(text, 1..=63).then(|| text.into()))
    }

    /// Token of a change, which may be absent.
    pub fn token(&mut self, field: &str) -> Option<String> {
        self.optional_text(field, TOKEN, |text| is_name(text, 8..=64).then(|| text.to_owned()))
    }

    /// Text that `parse` accepts.
    pub fn text<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.require(field, accepted)?;
        self.optional_text(field, accepted, parse)
    }

    /// Text that `parse` accepts and that may be absent.
    pub fn optional_text<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(field)?;
        let parsed = value.as_str().and_then(parse);
        if parsed.is_none() {
            self.fault(field, &format!("{value} is not accepted"), accepted);
        }
        parsed
    }

    /// Text that `parse` accepts and that no fault repeats.
    pub fn secret<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.require(field, accepted)?;
        let parsed = self.take(field)?.as_str().and_then(parse);
        if parsed.is_none() {
            self.fault(field, "not accepted", accepted);
        }
        parsed
    }

    /// Whole number within `range`.
    pub fn required_whole(&mut self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.require(field, &whole_range(&range))?;
        self.optional_whole(field, range)
    }

    /// Whole number within `range` that may be absent.
    pub fn optional_whole(&mut self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(field)?;
        let parsed = value.as_u64().filter(|number| range.contains(number));
        if parsed.is_none() {
            self.fault(field, &format!("{value} is not accepted"), &whole_range(&range));
        }
        parsed
    }

    /// Number strictly between 0 and 1.
    pub fn fraction(&mut self, field: &str) -> Option<f64> {
        let accepted = "a number above 0 and below 1";
        self.require(field, accepted)?;
        let value = self.take(field)?;
        let parsed = value.as_f64().filter(|&number| number > 0.0 && number < 1.0);
        if parsed.is_none() {
            self.fault(field, &format!("{value} is not accepted"), accepted);
        }
        parsed
    }

    /// True or false, which may be absent.
    pub fn flag(&mut self, field: &str) -> Option<bool> {
        let value = self.take(field)?;
        if !value.is_boolean() {
            self.fault(field, &format!("{value} is not accepted"), "true or false");
        }
        value.as_bool()
    }

    /// List, which may be absent.
    pub fn list(&mut self, field: &str) -> Vec<Value> {
        match self.take(field) {
            None => Vec::new(),
            Some(Value::Array(values)) => values,
            Some(_) => {
                self.fault(field, "not a list", "a JSON list");
                Vec::new()
            }
        }
    }

    /// Object whose fields `read` reads, which may be absent.
    pub fn object<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> Option<T> {
        let value = self.take(field)?;
        let Value::Object(object) = value else {
            self.fault(field, "not an object", "a JSON object");
            return None;
        };
        let path = format!("{}{field}.", self.path);
        let entity = self.entity.clone();
        let mut fields = FieldReader { entity, path, object, faults: self.faults };
        let result = read(&mut fields);
        fields.finish();
        Some(result)
    }

    /// Whether the object has any field that was not read yet.
    pub fn has_fields(&self) -> bool {
        !self.object.is_empty()
    }

    fn require(&mut self, field: &str, accepted: &str) -> Option<()> {
        if self.object.get(field).is_some_and(|value| !value.is_null()) {
            return Some(());
        }
        self.object.remove(field);
        self.fault(field, "missing", accepted);
        None
    }

    fn take(&mut self, field: &str) -> Option<Value> {
        self.object.remove(field).filter(|value| !value.is_null())
    }
}

fn is_name(text: &str, lengths: RangeInclusive<usize>) -> bool {
    let valid_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    lengths.contains(&text.len()) && text.chars().all(valid_char)
}

fn whole_range(range: &RangeInclusive<u64>) -> String {
    match *range.end() {
        u64::MAX => format!("a whole number from {}", range.start()),
        end => format!("a whole number from {} to {end}", range.start()),
    }
}
