//! Reads the fields of a JSON object and collects all errors.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::ConfigError;
use crate::collections::SharedName;

/// Rule for entity names, as stated in errors.
pub const NAME_RULE: &str = "1 to 63 letters, digits, dots, underscores or dashes";

/// Rule for idempotency tokens, as stated in errors.
const TOKEN_RULE: &str = "8 to 64 letters, digits, dots, underscores or dashes";

/// Reader for the fields of one object.
pub struct FieldReader<'a> {
    entity: String,
    /// Path of the object within the entity, with a trailing dot; empty for the entity itself.
    path: String,
    object: Map<String, Value>,
    errors: &'a mut Vec<ConfigError>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader for `value`, the JSON object of `entity`.
    pub fn new(entity: &str, value: &Value, errors: &'a mut Vec<ConfigError>) -> Self {
        let object = value.as_object().cloned();
        if object.is_none() {
            errors.push(ConfigError::new(entity, "", "not an object").accepted("a JSON object"));
        }
        let (entity, object) = (entity.to_owned(), object.unwrap_or_default());
        Self { entity, path: String::new(), object, errors }
    }

    /// Reports fields that were not read as unknown.
    pub fn finish(self) {
        for field in self.object.keys() {
            let field = format!("{}{field}", self.path);
            let error = ConfigError::new(&self.entity, &field, "unknown field");
            self.errors.push(error.accepted("the fields of docs/OPERATING.md"));
        }
    }

    /// Adds an error for `field`.
    pub fn add_error(&mut self, field: &str, problem: &str, accepted: &str) {
        let field = format!("{}{field}", self.path);
        self.errors.push(ConfigError::new(&self.entity, &field, problem).accepted(accepted));
    }

    /// Reads the name of an entity.
    pub fn name(&mut self, field: &str) -> Option<SharedName> {
        self.text(field, NAME_RULE, |text| is_name(text, 1..=63).then(|| text.into()))
    }

    /// Reads the optional idempotency token of a change.
    pub fn token(&mut self, field: &str) -> Option<String> {
        self.optional_text(field, TOKEN_RULE, |text| is_name(text, 8..=64).then(|| text.to_owned()))
    }

    /// Reads a required text that `parse` accepts.
    pub fn text<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.require(field, accepted)?;
        self.optional_text(field, accepted, parse)
    }

    /// Reads an optional text that `parse` accepts.
    pub fn optional_text<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take_field(field)?;
        let parsed = value.as_str().and_then(parse);
        if parsed.is_none() {
            self.add_error(field, &format!("{value} is not accepted"), accepted);
        }
        parsed
    }

    /// Reads a required text that `parse` accepts and that errors must not contain.
    pub fn secret<T>(
        &mut self,
        field: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.require(field, accepted)?;
        let parsed = self.take_field(field)?.as_str().and_then(parse);
        if parsed.is_none() {
            self.add_error(field, "not accepted", accepted);
        }
        parsed
    }

    /// Reads a required whole number within `range`.
    pub fn required_whole(&mut self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.require(field, &whole_range(&range))?;
        self.optional_whole(field, range)
    }

    /// Reads an optional whole number within `range`.
    pub fn optional_whole(&mut self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take_field(field)?;
        let parsed = value.as_u64().filter(|number| range.contains(number));
        if parsed.is_none() {
            self.add_error(field, &format!("{value} is not accepted"), &whole_range(&range));
        }
        parsed
    }

    /// Reads a required number strictly between 0 and 1.
    pub fn fraction(&mut self, field: &str) -> Option<f64> {
        let accepted = "a number above 0 and below 1";
        self.require(field, accepted)?;
        let value = self.take_field(field)?;
        let parsed = value.as_f64().filter(|&number| number > 0.0 && number < 1.0);
        if parsed.is_none() {
            self.add_error(field, &format!("{value} is not accepted"), accepted);
        }
        parsed
    }

    /// Reads an optional boolean.
    pub fn flag(&mut self, field: &str) -> Option<bool> {
        let value = self.take_field(field)?;
        if !value.is_boolean() {
            self.add_error(field, &format!("{value} is not accepted"), "true or false");
        }
        value.as_bool()
    }

    /// Reads a list; an absent one is empty.
    pub fn list(&mut self, field: &str) -> Vec<Value> {
        match self.take_field(field) {
            None => Vec::new(),
            Some(Value::Array(values)) => values,
            Some(_) => {
                self.add_error(field, "not a list", "a JSON list");
                Vec::new()
            }
        }
    }

    /// Reads an optional object with `read`.
    pub fn object<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> Option<T> {
        let value = self.take_field(field)?;
        let Value::Object(object) = value else {
            self.add_error(field, "not an object", "a JSON object");
            return None;
        };
        let path = format!("{}{field}.", self.path);
        let entity = self.entity.clone();
        let mut fields = FieldReader { entity, path, object, errors: self.errors };
        let result = read(&mut fields);
        fields.finish();
        Some(result)
    }

    /// Returns whether any field has not been read yet.
    pub fn has_fields(&self) -> bool {
        !self.object.is_empty()
    }

    fn require(&mut self, field: &str, accepted: &str) -> Option<()> {
        if self.object.get(field).is_some_and(|value| !value.is_null()) {
            return Some(());
        }
        self.object.remove(field);
        self.add_error(field, "missing", accepted);
        None
    }

    fn take_field(&mut self, field: &str) -> Option<Value> {
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
