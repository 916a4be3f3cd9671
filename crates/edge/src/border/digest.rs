//! Digests of requests.
//!
//! A request that crashes servers is recognised by its digest at every node. Callers choose the
//! content, so the digest must be hard to forge: nobody can make another caller's request look
//! like one that crashes servers. Bodies themselves are neither kept nor sent to other nodes.

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use quarantine::RequestDigest;
use sha2::{Digest as _, Sha256};

/// Digest of method, host, path, query and body.
pub(super) fn request_digest(parts: &Parts, body: &Bytes) -> RequestDigest {
    let host = parts
        .headers
        .get(HOST)
        .map_or(&b""[..], |host| host.as_bytes());
    let fields = [
        parts.method.as_str().as_bytes(),
        host,
        parts.uri.path().as_bytes(),
        parts.uri.query().unwrap_or_default().as_bytes(),
        body,
    ];
    let mut hasher = Sha256::new();
    for field in fields {
        // Lengths keep fields apart.
        hasher.update((field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let hash = hasher.finalize();
    let start: [u8; 8] = std::array::from_fn(|index| hash[index]);
    RequestDigest(u64::from_le_bytes(start))
}
