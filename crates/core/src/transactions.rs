//! Building blocks of transactions on the key-value store.

use grebewood_wire as wire;
use grebewood_wire::http::{Condition, Operation};

pub(crate) fn absent(key: &str) -> Condition {
    Condition {
        key: key.to_string(),
        mod_revision: 0,
    }
}

pub(crate) fn put<T: serde::Serialize>(key: String, record: &T) -> Operation {
    Operation::Put {
        put: key,
        value: wire::http::to_value(record),
        lease: None,
    }
}
