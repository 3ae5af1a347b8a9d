//! Computes the records of a part from the service and the request.

use bytes::Bytes;
use bytes::BytesMut;
use gs_types::prelude::*;

/// The number of records in a part.
const RECORDS_PER_PART: usize = 12;

/// Returns the part of a service for a request's target; the records are not sorted.
#[must_use]
pub fn part(service: &str, target: &str) -> Bytes {
    let mut body = BytesMut::with_capacity(RECORDS_PER_PART * 16);
    for n in 0..RECORDS_PER_PART {
        let high = Fingerprint::of(&[service, target, &n.to_string()]).0;
        let low = Fingerprint::of(&[target, service, &n.to_string()]).0;
        body.extend_from_slice(&high.to_be_bytes());
        body.extend_from_slice(&low.to_be_bytes());
    }
    body.freeze()
}
