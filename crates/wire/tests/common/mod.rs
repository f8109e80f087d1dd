//! Helpers of several test files.

use grebewood_wire::Value;

/// Returns a CBOR map with these entries.
pub fn map(entries: &[(&str, Value)]) -> Value {
    let entries = entries.iter();
    Value::Map(entries.map(|(k, v)| ((*k).into(), v.clone())).collect())
}
