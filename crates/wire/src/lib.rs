//! Wire formats of grebewood.
//!
//! The bodies that users, agents, the cloud and the key-value store exchange with a controller are CBOR maps
//! ([`http`]); controllers talk to each other in MessagePack ([`peer`]); what controllers keep in the store
//! is in [`records`]. Where the protocol has a word of its own for something that the field has a term for,
//! the term is the name in Rust and the protocol's word a serde name.

#![warn(missing_docs)]

pub mod amount;
mod codec;
pub mod http;
pub mod peer;
mod protocol_names;
pub mod records;
pub mod validate;
mod value;

pub use ciborium::Value;
pub use codec::{from_cbor, from_peer, to_cbor, to_peer, DecodeError, DecodeFailure};
pub use value::{json_size, same_value};

/// Largest request body, and largest response to agents and users, in bytes.
pub const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// For `#[serde(skip_serializing_if)]` on a flag that earlier versions do not know.
fn is_false(flag: &bool) -> bool {
    !flag
}
