//! Size and equality of CBOR values, as the key-value store defines them.

use ciborium::Value;

/// Size of a literal such as `null`, rounded up.
const LITERAL_SIZE_BYTES: usize = 5;
/// Size of a value of a kind that JSON cannot represent.
const OTHER_SIZE_BYTES: usize = 8;
/// Size of one character that JSON escapes as `\uXXXX`.
const ESCAPED_CHARACTER_SIZE_BYTES: usize = 6;

/// Returns the size of a value in the form that the store's size limit refers to, in bytes: JSON with a space
/// after each separator. Text that JSON escapes counts as if every byte of it were escaped.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(x) => format!("{x:?}").len(),
        Value::Bool(_) | Value::Null => LITERAL_SIZE_BYTES,
        Value::Text(text) => json_text_size(text),
        Value::Bytes(bytes) => 2 + 2 * bytes.len(),
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 2).sum::<usize>(),
        Value::Map(entries) => {
            let size = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 4;
            2 + entries.iter().map(size).sum::<usize>()
        }
        Value::Tag(_, tagged) => json_size(tagged),
        _ => OTHER_SIZE_BYTES,
    }
}

/// Returns the size of a text with its quotes as JSON, in bytes.
fn json_text_size(text: &str) -> usize {
    let is_plain = |byte: u8| matches!(byte, b' '..=b'~') && byte != b'"' && byte != b'\\';
    let size_per_byte = if text.bytes().all(is_plain) {
        1
    } else {
        ESCAPED_CHARACTER_SIZE_BYTES
    };
    2 + text.len() * size_per_byte
}

/// Returns whether two values have the same content. The order of a map's entries does not matter, and neither
/// does whether a number is written as an integer or a float.
pub fn same_value(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Map(a), Value::Map(b)) => {
            a.len() == b.len() && a.iter().all(|entry| contains_entry(b, entry))
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same_value(a, b))
        }
        (Value::Float(x), Value::Integer(i)) | (Value::Integer(i), Value::Float(x)) => {
            i128::from(*i) as f64 == *x
        }
        (a, b) => a == b,
    }
}

/// Returns whether a map has an entry with the same key and value.
fn contains_entry(entries: &[(Value, Value)], (key, value): &(Value, Value)) -> bool {
    entries
        .iter()
        .any(|(k, v)| same_value(k, key) && same_value(v, value))
}
