//! Wire formats of grebewood.
//!
//! The bodies that users, agents, the cloud and the key-value store exchange with a controller are CBOR maps
//! ([`http`]). Controllers exchange MessagePack messages with each other ([`peer`]). The records that controllers
//! keep in the key-value store are in [`records`]. Where the protocol's name for something differs from the usual
//! term in cluster scheduling, the Rust name is the usual term and the serde name is the protocol's.

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

/// Size limit of request bodies and of responses to agents and users, in bytes.
pub const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Returns whether a flag is not set. For `#[serde(skip_serializing_if)]` on a flag that earlier versions do not
/// know.
fn is_false(flag: &bool) -> bool {
    !flag
}
