//! Wire formats of grebewood.
//!
//! The bodies that users, workers, the cloud and the state service exchange with a controller
//! are CBOR maps ([`http`]); controllers talk to each other in MessagePack ([`peer`]); what a
//! controller keeps in the state service is in [`records`]. Where the protocol has a word of its own for
//! something that the field has a term for, the term is the name in Rust and the word a serde name.

#![warn(missing_docs)]

pub mod http;
pub mod peer;
mod protocol_names;
pub mod records;
pub mod validate;

pub use ciborium::Value;
use serde::{de::DeserializeOwned, Serialize};

/// Largest request body, and largest response to workers and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug)]
pub struct DecodeError(pub String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Reads one CBOR value that fills `bytes` entirely.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, 24)
        .map_err(|e| DecodeError(format!("not the expected CBOR: {e}")))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError("bytes after the CBOR value".into()))
    }
}

/// Writes a value as CBOR.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types without a CBOR form, and this package has none.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// What a value takes in the form that size limits are counted in: JSON, with a blank after each
/// separator. Text that JSON escapes counts as if every byte of it were.
pub fn json_size(value: &Value) -> usize {
    let text = |s: &str| {
        let plain = s
            .bytes()
            .all(|b| matches!(b, b' '..=b'~') && b != b'"' && b != b'\\');
        2 + s.len() * if plain { 1 } else { 6 }
    };
    match value {
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(x) => format!("{x:?}").len(),
        Value::Bool(_) | Value::Null => 5,
        Value::Text(s) => text(s),
        Value::Bytes(b) => 2 + 2 * b.len(),
        Value::Array(items) => 2 + items.iter().map(|v| json_size(v) + 2).sum::<usize>(),
        Value::Map(items) => {
            let pair = |(k, v): &(Value, Value)| json_size(k) + json_size(v) + 4;
            2 + items.iter().map(pair).sum::<usize>()
        }
        Value::Tag(_, v) => json_size(v),
        _ => 8,
    }
}

/// Whether two values say the same: the order of a map's entries and the form of a number do not
/// count.
pub fn same_value(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Map(a), Value::Map(b)) => {
            let among = |(key, value): &(Value, Value), others: &[(Value, Value)]| {
                others
                    .iter()
                    .any(|(k, v)| same_value(k, key) && same_value(v, value))
            };
            a.len() == b.len() && a.iter().all(|item| among(item, b))
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

/// Reads a message of another controller.
pub fn from_peer<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|e| DecodeError(format!("not a peer message: {e}")))
}

/// Writes a message to another controller.
pub fn to_peer<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Amounts may arrive as CBOR floats or integers; both are read, non-finite ones are refused.
pub mod amount {
    use serde::{de, Deserializer};
    use std::fmt;

    struct Amount;

    impl de::Visitor<'_> for Amount {
        type Value = f64;

        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("a finite number")
        }

        fn visit_f64<E: de::Error>(self, v: f64) -> Result<f64, E> {
            if v.is_finite() {
                Ok(v)
            } else {
                Err(E::custom("a number is not finite"))
            }
        }

        fn visit_u64<E: de::Error>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }

        fn visit_i64<E: de::Error>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
    }

    /// For `#[serde(deserialize_with)]` on a required amount.
    pub fn required<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
        d.deserialize_any(Amount)
    }

    struct Maybe;

    impl<'de> de::Visitor<'de> for Maybe {
        type Value = Option<f64>;

        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("a finite number or null")
        }

        fn visit_none<E: de::Error>(self) -> Result<Option<f64>, E> {
            Ok(None)
        }

        fn visit_unit<E: de::Error>(self) -> Result<Option<f64>, E> {
            Ok(None)
        }

        fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<Option<f64>, D::Error> {
            d.deserialize_any(Amount).map(Some)
        }
    }

    /// For `#[serde(default, deserialize_with)]` on an amount that may be null or omitted.
    pub fn optional<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
        d.deserialize_option(Maybe)
    }
}
