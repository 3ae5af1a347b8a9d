//! Merges parts of fixed-width records into a page.

use bytes::Bytes;
use bytes::BytesMut;

/// The width of a record in bytes; a shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `page` greatest records of all parts in descending order; equal ones are all kept.
///
/// ```
/// use bytes::Bytes;
///
/// let part = Bytes::from_static(b"aaaaaaaaaaaaaaaacccccccccccccccc");
/// let other = Bytes::from_static(b"bbbbbbbbbbbbbbbb-left-over");
/// let page = gs_relay::best_records([&part, &other].into_iter(), 2);
/// assert_eq!(&page[..], b"ccccccccccccccccbbbbbbbbbbbbbbbb");
/// ```
#[must_use]
pub fn best_records<'a>(parts: impl Iterator<Item = &'a Bytes>, page: usize) -> Bytes {
    let mut all: Vec<&[u8; RECORD_BYTES]> = Vec::new();
    for part in parts {
        all.extend(part.as_chunks::<RECORD_BYTES>().0);
    }
    if page < all.len() {
        // Only the page has to be sorted; the other records are split off in linear time first.
        all.select_nth_unstable_by(page, |a, b| b.cmp(a));
        all.truncate(page);
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    let mut body = BytesMut::with_capacity(all.len() * RECORD_BYTES);
    for record in all {
        body.extend_from_slice(record);
    }
    body.freeze()
}
