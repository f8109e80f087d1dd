//! Encoding and decoding: CBOR for HTTP bodies and records, MessagePack for messages between controllers (peer
//! messages).

use serde::{de::DeserializeOwned, Serialize};
use std::io;
use thiserror::Error;

/// Maximum nesting depth of a CBOR value that is decoded.
const CBOR_RECURSION_LIMIT: usize = 24;

/// Error: bytes could not be decoded. The text includes the cause, since it is sent in error responses.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct DecodeError(pub DecodeFailure);

/// Reason why bytes could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeFailure {
    /// The bytes are not a CBOR value of the expected type.
    #[error("not the expected CBOR: {0}")]
    Cbor(ciborium::de::Error<io::Error>),
    /// Further bytes follow a complete CBOR value.
    #[error("bytes after the CBOR value")]
    TrailingBytes,
    /// The bytes are not a message between controllers.
    #[error("not a peer message: {0}")]
    Peer(rmp_serde::decode::Error),
    /// Any other reason, stated by a caller.
    #[error("{0}")]
    Other(String),
}

impl From<&str> for DecodeFailure {
    fn from(reason: &str) -> Self {
        DecodeFailure::Other(reason.to_string())
    }
}

/// Decodes one CBOR value that takes up the whole of `bytes`.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, CBOR_RECURSION_LIMIT)
        .map_err(|error| DecodeError(DecodeFailure::Cbor(error)))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError(DecodeFailure::TrailingBytes))
    }
}

/// Encodes a value as CBOR.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for types that CBOR cannot represent, and this package has no such types.
    if ciborium::into_writer(value, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes a message from another controller.
pub fn from_peer<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|error| DecodeError(DecodeFailure::Peer(error)))
}

/// Encodes a message to another controller.
pub fn to_peer<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
