//! Size and equality of CBOR values, as the key-value store counts and keeps them.

use ciborium::Value;

/// Size of a literal such as `null`, rounded up, in bytes.
const LITERAL_SIZE: usize = 5;
/// Size of a value of a kind that JSON has no form for, in bytes.
const OTHER_SIZE: usize = 8;
/// Size of one character that JSON escapes as `\uXXXX`, in bytes.
const ESCAPED_CHARACTER_SIZE: usize = 6;

/// The size of a value in the form that the store's limit is counted in, in bytes: JSON, with a blank after
/// each separator. Text that JSON escapes counts as if every byte of it were escaped.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(x) => format!("{x:?}").len(),
        Value::Bool(_) | Value::Null => LITERAL_SIZE,
        Value::Text(text) => json_text_size(text),
        Value::Bytes(bytes) => 2 + 2 * bytes.len(),
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 2).sum::<usize>(),
        Value::Map(entries) => {
            let size = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 4;
            2 + entries.iter().map(size).sum::<usize>()
        }
        Value::Tag(_, tagged) => json_size(tagged),
        _ => OTHER_SIZE,
    }
}

fn json_text_size(text: &str) -> usize {
    let is_plain = |byte: u8| matches!(byte, b' '..=b'~') && byte != b'"' && byte != b'\\';
    let size_per_byte = if text.bytes().all(is_plain) {
        1
    } else {
        ESCAPED_CHARACTER_SIZE
    };
    2 + text.len() * size_per_byte
}

/// Whether two values have the same content: the order of a map's entries and whether a number is written
/// as an integer or a float do not count.
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

fn contains_entry(entries: &[(Value, Value)], (key, value): &(Value, Value)) -> bool {
    entries
        .iter()
        .any(|(k, v)| same_value(k, key) && same_value(v, value))
}
