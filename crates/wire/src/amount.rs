//! Deserialization of amounts that may arrive as CBOR floats or integers. Numbers that are not finite are
//! rejected.

use serde::{de, Deserializer};
use std::fmt;

/// Visitor that accepts a finite number.
struct AmountVisitor;

impl de::Visitor<'_> for AmountVisitor {
    type Value = f64;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a finite number")
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<f64, E> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(E::custom("a number is not finite"))
        }
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<f64, E> {
        Ok(value as f64)
    }
}

/// Visitor that accepts a finite number or null.
struct OptionalAmountVisitor;

impl<'de> de::Visitor<'de> for OptionalAmountVisitor {
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

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Option<f64>, D::Error> {
        deserializer.deserialize_any(AmountVisitor).map(Some)
    }
}

/// Deserializes a required amount. For `#[serde(deserialize_with)]`.
pub fn required<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(AmountVisitor)
}

/// Deserializes an amount that may be null or omitted. For `#[serde(default, deserialize_with)]`.
pub fn optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    deserializer.deserialize_option(OptionalAmountVisitor)
}
