//! A simulated platform in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use gs_conf::CURRENT_PATH;
use gs_conf::Event;
use gs_conf::ReadResult;
use gs_conf::Record;
use gs_conf::WriteId;
use gs_conf::WriteResult;
use gs_conf::hash_team_key;
use gs_types::prelude::*;

/// A call to the platform in transit.
#[derive(Clone, Debug)]
pub enum Call {
    Read,
    Write {
        id: WriteId,
        path: String,
        if_version: u64,
        content: Arc<str>,
    },
}

/// A write that took effect.
#[derive(Clone, Debug)]
pub struct Written {
    pub path: String,
    pub object: u64,
    pub content: Arc<str>,
}

impl Written {
    pub fn is_current(&self) -> bool {
        self.path == CURRENT_PATH
    }

    pub fn event(&self) -> Event {
        Event::Read(ReadResult::Found {
            object: self.object,
            content: self.content.clone(),
        })
    }
}

/// The platform's objects and its faults.
pub struct Platform {
    pub down: bool,
    /// The number of replies to lose of writes that take effect.
    pub lost_replies: u32,
    /// Whether writes are accepted without a reply and take effect only when the stall ends.
    pub stall: bool,
    /// The additional time of a call in milliseconds.
    pub extra_delay_ms: u64,
    revision: u64,
    objects: BTreeMap<String, (u64, Arc<str>)>,
    stalled: Vec<(String, u64, Arc<str>)>,
    listed: BTreeSet<usize>,
}

impl Platform {
    /// Creates a platform with version 1, which has an admin team.
    pub fn new(vms: usize) -> Self {
        let team = Team {
            name: "ops".parse().expect("a name"),
            key_sha256: hash_team_key("key"),
            fronts: Vec::new(),
            admin: true,
        };
        let first = Record {
            version: ConfVersion(1),
            teams: vec![team],
            ..Record::default()
        };
        let content = serde_json::to_string(&first).expect("JSON").into();
        Self {
            down: false,
            lost_replies: 0,
            stall: false,
            extra_delay_ms: 0,
            revision: 1,
            objects: BTreeMap::from([(CURRENT_PATH.to_owned(), (1, content))]),
            stalled: Vec::new(),
            listed: (0..vms).collect(),
        }
    }

    /// Creates a platform without objects.
    pub fn empty(vms: usize) -> Self {
        let mut platform = Self::new(vms);
        platform.objects.clear();
        platform
    }

    pub fn heal(&mut self) {
        self.down = false;
        self.lost_replies = 0;
        self.extra_delay_ms = 0;
    }

    pub fn list(&mut self, vm: usize, on: bool) {
        match on {
            true => self.listed.insert(vm),
            false => self.listed.remove(&vm),
        };
    }

    pub fn listed(&self) -> impl Iterator<Item = usize> {
        self.listed.iter().copied()
    }

    pub fn get(&self, path: &str) -> Option<&(u64, Arc<str>)> {
        self.objects.get(path)
    }

    /// Returns the record in the configuration object.
    pub fn record(&self) -> Record {
        let (_, content) = self.objects.get(CURRENT_PATH).expect("there");
        Record::parse(content).expect("a record")
    }

    /// Removes the configuration object and creates it again with another record, as by hand.
    pub fn recreate_current(&mut self, content: Arc<str>) -> Written {
        self.revision += 1;
        let object = self.revision;
        self.objects
            .insert(CURRENT_PATH.to_owned(), (object, content.clone()));
        Written {
            path: CURRENT_PATH.to_owned(),
            object,
            content,
        }
    }

    pub fn prune(&mut self, path: &str) {
        self.objects.remove(path);
    }

    /// Returns the reply to a call, its delay in milliseconds, and the write that took effect.
    pub fn answer(
        &mut self,
        call: Call,
        partitioned: bool,
        _now: Instant,
    ) -> (Event, u64, Option<Written>) {
        let after = 3 + self.extra_delay_ms;
        match call {
            Call::Read => (Event::Read(self.read(partitioned)), after, None),
            Call::Write { id, .. } if partitioned => (unknown_result(id), 300, None),
            Call::Write { id, .. } if self.down => {
                (Event::Wrote(id, WriteResult::Failed), after, None)
            }
            Call::Write {
                id,
                path,
                if_version,
                content,
            } if self.stall => {
                self.stalled.push((path, if_version, content));
                (unknown_result(id), 300, None)
            }
            Call::Write {
                id,
                path,
                if_version,
                content,
            } => match self.put(path, if_version, content) {
                None => (Event::Wrote(id, WriteResult::Conflict), after, None),
                Some(w) if self.lost_replies > 0 => {
                    self.lost_replies -= 1;
                    (unknown_result(id), 300, Some(w))
                }
                Some(w) => {
                    let done = WriteResult::Done(w.object);
                    (Event::Wrote(id, done), after, Some(w))
                }
            },
        }
    }

    /// Ends the stall: applies the stalled writes whose condition still holds.
    pub fn apply_stalled(&mut self) -> Vec<Written> {
        self.stall = false;
        let stalled = std::mem::take(&mut self.stalled);
        let applied = stalled.into_iter().map(|(p, v, c)| self.put(p, v, c));
        applied.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn read(&self, partitioned: bool) -> ReadResult {
        match self.objects.get(CURRENT_PATH) {
            _ if partitioned || self.down => ReadResult::Failed,
            None => ReadResult::Missing,
            Some((object, content)) => ReadResult::Found {
                object: *object,
                content: content.clone(),
            },
        }
    }

    fn put(&mut self, path: String, if_version: u64, content: Arc<str>) -> Option<Written> {
        let now = self.objects.get(&path).map_or(0, |(v, _)| *v);
        if now != if_version {
            return None;
        }
        self.revision += 1;
        self.objects
            .insert(path.clone(), (self.revision, content.clone()));
        Some(Written {
            path,
            object: self.revision,
            content,
        })
    }
}

fn unknown_result(id: WriteId) -> Event {
    Event::Wrote(id, WriteResult::Unknown)
}
