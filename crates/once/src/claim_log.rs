//! The claims of one bucket and window as this VM knows them, and the call about them under way.

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

/// The call to the platform that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    None,
    Read,
    Write {
        /// The asks that are in it.
        batch: Vec<ClaimRequestId>,
        /// What the part holds if it succeeds.
        segment: Segment,
    },
}

/// A write whose answer is lost: it may have taken effect, and may yet while the part stays at the
/// version that it was made against.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedWrite {
    segment: u32,
    if_version: u64,
    batch: Vec<ClaimRequestId>,
}

/// The claims of one bucket and window.
#[derive(Debug)]
pub(crate) struct ClaimLog {
    window: Window,
    bucket: u16,
    /// Every entry of every part, as far as read.
    known: BTreeMap<KeyHash, ClaimRequestId>,
    /// The last part, to which entries are added.
    tail: u32,
    tail_claims: Vec<Claim>,
    /// The last part's version; 0 if it is not there.
    version: u64,
    /// Whether every part there is believed to be was read.
    loaded: bool,
    /// Whether the floor was seen below this window after the last part was seen to exist.
    pub(crate) proven: bool,
    /// The read of the floor that proves it.
    pub(crate) proof: Option<u64>,
    pub(crate) call: Call,
    unresolved_writes: Vec<UnresolvedWrite>,
    /// Asks to put into the next write.
    pub(crate) queue: VecDeque<ClaimRequestId>,
    /// Asks whose entry stands, waiting for the proof.
    pub(crate) unproven: BTreeSet<ClaimRequestId>,
    /// Not to write before.
    pub(crate) next_write: Option<Instant>,
}

/// What a queued ask meets when the next write is put together.
pub(crate) enum Existing {
    /// Its own entry stands already.
    Own(ClaimRequestId),
    /// Another entry stands for its key.
    Other(ClaimRequestId),
}

impl ClaimLog {
    pub(crate) fn new(window: Window, bucket: u16) -> Self {
        Self {
            window,
            bucket,
            known: BTreeMap::new(),
            tail: 0,
            tail_claims: Vec::new(),
            version: 0,
            // Taken for empty until a write says otherwise: most often it is.
            loaded: true,
            proven: false,
            proof: None,
            call: Call::None,
            unresolved_writes: Vec::new(),
            queue: VecDeque::new(),
            unproven: BTreeSet::new(),
            next_write: None,
        }
    }

    pub(crate) fn path(&self) -> SegmentPath {
        SegmentPath {
            window: self.window,
            bucket: self.bucket,
            segment: self.tail,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    pub(crate) fn entries(&self) -> usize {
        self.known.len()
    }

    /// Whether anything here waits for the platform.
    pub(crate) fn is_idle(&self) -> bool {
        self.call == Call::None && self.queue.is_empty() && self.unproven.is_empty()
    }

    /// Whose entry stands for a key, as far as known.
    pub(crate) fn holder(&self, key: KeyHash) -> Option<&ClaimRequestId> {
        self.known.get(&key)
    }

    /// Takes the last part as read; tells whether the next part has to be read too.
    pub(crate) fn read(&mut self, version: u64, segment: Segment, full_at: usize) -> bool {
        let before = self.tail;
        self.version = version;
        self.proven = false;
        self.proof = None;
        self.note(segment);
        self.advance_if_full(full_at);
        self.loaded = self.tail == before;
        !self.loaded
    }

    /// Takes a write that succeeded.
    pub(crate) fn wrote(&mut self, version: u64, segment: Segment, full_at: usize) {
        // A part that was there before was not removed meanwhile, or its version had not matched.
        if self.version == 0 {
            self.proven = false;
            self.proof = None;
        }
        self.version = version;
        self.note(segment);
        self.advance_if_full(full_at);
    }

    /// What was known of the last part is out of date.
    pub(crate) fn reread(&mut self) {
        self.loaded = false;
    }

    /// Notes a write whose answer is lost.
    pub(crate) fn note_unresolved_write(&mut self, batch: Vec<ClaimRequestId>) {
        self.unresolved_writes.push(UnresolvedWrite {
            segment: self.tail,
            if_version: self.version,
            batch,
        });
        self.loaded = false;
    }

    /// Takes out the doubts that what was read settles, and gives the asks that were in them. A
    /// part that has moved on refuses the lost write for ever, as versions never come again.
    pub(crate) fn resolve_writes(&mut self) -> Vec<ClaimRequestId> {
        let (tail, version) = (self.tail, self.version);
        let settled = |d: &mut UnresolvedWrite| d.segment != tail || d.if_version != version;
        let settled = self.unresolved_writes.extract_if(.., settled);
        settled.flat_map(|d| d.batch).collect()
    }

    /// Whether a lost write that may still take effect has this ask.
    pub(crate) fn is_unresolved(&self, id: &ClaimRequestId) -> bool {
        self.unresolved_writes.iter().any(|d| d.batch.contains(id))
    }

    /// Puts the next write together from queued asks that are still wanted.
    pub(crate) fn gather<'a>(
        &mut self,
        max: usize,
        find: impl Fn(&ClaimRequestId) -> Option<&'a ClaimRequest>,
    ) -> (Vec<Existing>, Option<Segment>) {
        let mut existing = Vec::new();
        let mut batch = Vec::new();
        let mut claims = self.tail_claims.clone();
        let mut later = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(request) = find(&id) else { continue };
            match self.known.get(&request.key) {
                Some(own) if *own == id => existing.push(Existing::Own(id)),
                Some(_) => existing.push(Existing::Other(id)),
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
        self.queue = later;
        if batch.is_empty() {
            return (existing, None);
        }
        let segment = Segment { claims };
        self.call = Call::Write {
            batch,
            segment: segment.clone(),
        };
        (existing, Some(segment))
    }

    fn note(&mut self, segment: Segment) {
        for c in &segment.claims {
            self.known.entry(c.key).or_insert_with(|| c.id.clone());
        }
        self.tail_claims = segment.claims;
    }

    /// Goes on to the next part if the last one is full.
    fn advance_if_full(&mut self, full_at: usize) {
        if self.tail_claims.len() >= full_at {
            self.tail += 1;
            self.version = 0;
            self.tail_claims.clear();
        }
    }
}
