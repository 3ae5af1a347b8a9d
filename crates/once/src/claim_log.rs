//! The claims of one bucket and window as this VM knows them, and the call about them in flight.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Instant;

use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::KeyHash;
use crate::segment::Claim;
use crate::segment::Segment;
use crate::segment::SegmentPath;
use crate::segment::Window;

/// The call to the platform that is in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCall {
    None,
    Read,
    Write {
        /// The requests whose entries are in it.
        batch: Vec<ClaimRequestId>,
        /// The content of the segment if the write succeeds.
        segment: Segment,
    },
}

/// A write with an unknown result. It may have taken effect, or may still do so while the segment
/// is at the version that the write is conditional on.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedWrite {
    segment: u32,
    if_version: u64,
    batch: Vec<ClaimRequestId>,
}

/// The claims of one bucket and window, stored in segments.
#[derive(Debug)]
pub(crate) struct ClaimLog {
    window: Window,
    bucket: u16,
    /// The entries of all segments, as far as read.
    entries: BTreeMap<KeyHash, ClaimRequestId>,
    /// The number of the last segment, to which entries are added.
    tail_segment: u32,
    tail_claims: Vec<Claim>,
    /// The version of the last segment; 0 if it does not exist.
    tail_version: u64,
    /// Whether all segments that are believed to exist were read.
    all_segments_read: bool,
    /// Whether the watermark was seen below this window after the last segment was seen to exist.
    pub(crate) window_verified: bool,
    /// The number of the watermark read that verifies this.
    pub(crate) verifying_read_number: Option<u64>,
    pub(crate) call_in_flight: PlatformCall,
    unresolved_writes: Vec<UnresolvedWrite>,
    /// Requests to put into the next write.
    pub(crate) queued_requests: VecDeque<ClaimRequestId>,
    /// Requests whose entry is stored, and which wait for the watermark to be read.
    pub(crate) unverified_requests: BTreeSet<ClaimRequestId>,
    /// No write is started before this time.
    pub(crate) next_write_at: Option<Instant>,
}

/// An entry that already exists for the key of a queued request when the next write is prepared.
pub(crate) enum ExistingEntry {
    /// The request's own entry.
    Own(ClaimRequestId),
    /// The entry of another request.
    Other(ClaimRequestId),
}

impl ClaimLog {
    pub(crate) fn new(window: Window, bucket: u16) -> Self {
        Self {
            window,
            bucket,
            entries: BTreeMap::new(),
            tail_segment: 0,
            tail_claims: Vec::new(),
            tail_version: 0,
            // Assumed to be empty until a write conflicts: most logs are.
            all_segments_read: true,
            window_verified: false,
            verifying_read_number: None,
            call_in_flight: PlatformCall::None,
            unresolved_writes: Vec::new(),
            queued_requests: VecDeque::new(),
            unverified_requests: BTreeSet::new(),
            next_write_at: None,
        }
    }

    pub(crate) fn tail_path(&self) -> SegmentPath {
        SegmentPath {
            window: self.window,
            bucket: self.bucket,
            segment: self.tail_segment,
        }
    }

    pub(crate) fn tail_version(&self) -> u64 {
        self.tail_version
    }

    pub(crate) fn has_read_all_segments(&self) -> bool {
        self.all_segments_read
    }

    pub(crate) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call is in flight and no request waits for one.
    pub(crate) fn is_idle(&self) -> bool {
        self.call_in_flight == PlatformCall::None
            && self.queued_requests.is_empty()
            && self.unverified_requests.is_empty()
    }

    /// Returns the request that has claimed a key, as far as known.
    pub(crate) fn claimant(&self, key: KeyHash) -> Option<&ClaimRequestId> {
        self.entries.get(&key)
    }

    /// Applies a read of the last segment; returns whether the next segment has to be read too.
    pub(crate) fn on_tail_read(&mut self, version: u64, segment: Segment, full_at: usize) -> bool {
        let before = self.tail_segment;
        self.tail_version = version;
        self.window_verified = false;
        self.verifying_read_number = None;
        self.apply_segment(segment);
        self.advance_tail_if_full(full_at);
        self.all_segments_read = self.tail_segment == before;
        !self.all_segments_read
    }

    /// Applies a write that succeeded.
    pub(crate) fn on_tail_written(&mut self, version: u64, segment: Segment, full_at: usize) {
        // A segment that existed before the write cannot have been removed in the meantime: the
        // write would have failed on its version.
        if self.tail_version == 0 {
            self.window_verified = false;
            self.verifying_read_number = None;
        }
        self.tail_version = version;
        self.apply_segment(segment);
        self.advance_tail_if_full(full_at);
    }

    /// Marks what is known of the last segment as out of date, so that it is read again.
    pub(crate) fn mark_tail_outdated(&mut self) {
        self.all_segments_read = false;
    }

    /// Records a write with an unknown result.
    pub(crate) fn note_unresolved_write(&mut self, batch: Vec<ClaimRequestId>) {
        self.unresolved_writes.push(UnresolvedWrite {
            segment: self.tail_segment,
            if_version: self.tail_version,
            batch,
        });
        self.all_segments_read = false;
    }

    /// Removes the unresolved writes whose result is known now that the last segment was read or
    /// written, and returns their requests. Once the segment has another version, an unresolved
    /// write can no longer take effect, as versions are never reused.
    pub(crate) fn resolve_writes(&mut self) -> Vec<ClaimRequestId> {
        let (tail, version) = (self.tail_segment, self.tail_version);
        let is_resolved = |w: &mut UnresolvedWrite| w.segment != tail || w.if_version != version;
        let resolved = self.unresolved_writes.extract_if(.., is_resolved);
        resolved.flat_map(|w| w.batch).collect()
    }

    /// Returns whether an unresolved write contains this request.
    pub(crate) fn is_unresolved(&self, id: &ClaimRequestId) -> bool {
        self.unresolved_writes.iter().any(|w| w.batch.contains(id))
    }

    /// Prepares the next write from the queued requests that are still pending. Returns the
    /// existing entries that were found, and the segment to write unless no request needs an entry.
    pub(crate) fn prepare_write<'a>(
        &mut self,
        max: usize,
        find: impl Fn(&ClaimRequestId) -> Option<&'a ClaimRequest>,
    ) -> (Vec<ExistingEntry>, Option<Segment>) {
        let mut existing = Vec::new();
        let mut batch = Vec::new();
        let mut claims = self.tail_claims.clone();
        let mut later = VecDeque::new();
        while let Some(id) = self.queued_requests.pop_front() {
            let Some(request) = find(&id) else { continue };
            match self.entries.get(&request.key) {
                Some(own) if *own == id => existing.push(ExistingEntry::Own(id)),
                Some(_) => existing.push(ExistingEntry::Other(id)),
                None if batch.len() >= max || claims.iter().any(|c| c.key == request.key) => {
                    later.push_back(id);
                }
                None => {
                    claims.push(Claim {
                        key: request.key,
                        id: id.clone(),
                        fingerprint: request.fingerprint,
                    });
                    batch.push(id);
                }
            }
        }
        self.queued_requests = later;
        if batch.is_empty() {
            return (existing, None);
        }
        let segment = Segment { claims };
        self.call_in_flight = PlatformCall::Write {
            batch,
            segment: segment.clone(),
        };
        (existing, Some(segment))
    }

    /// Adds the entries of the last segment to those known.
    fn apply_segment(&mut self, segment: Segment) {
        for c in &segment.claims {
            self.entries.entry(c.key).or_insert_with(|| c.id.clone());
        }
        self.tail_claims = segment.claims;
    }

    /// Starts the next segment if the last one is full.
    fn advance_tail_if_full(&mut self, full_at: usize) {
        if self.tail_claims.len() >= full_at {
            self.tail_segment += 1;
            self.tail_version = 0;
            self.tail_claims.clear();
        }
    }
}
