//! Building blocks of transactions on the key-value store.

use grebewood_wire as wire;
use grebewood_wire::http::{Condition, Operation};

/// Returns the condition that the key does not exist.
pub(crate) fn absent(key: &str) -> Condition {
    at_revision(key, 0)
}

/// Returns the condition that the key was last modified at this revision.
pub(crate) fn at_revision(key: &str, mod_revision: u64) -> Condition {
    Condition {
        key: key.to_string(),
        mod_revision,
    }
}

/// Returns the operation that puts the record under the key, without a lease.
pub(crate) fn put<T: serde::Serialize>(key: String, record: &T) -> Operation {
    Operation::Put {
        put: key,
        value: wire::http::to_value(record),
        lease: None,
    }
}
