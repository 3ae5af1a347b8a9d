//! The platform's objects in virtual time.

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
use gs_conf::hash_key;
use gs_types::prelude::*;

/// A call on its way to the platform.
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

/// The platform's objects, and how it misbehaves.
pub struct Platform {
    pub down: bool,
    /// How many answers of writes that take effect to lose.
    pub lose: u32,
    /// Writes are taken without an answer, and take effect only when this ends.
    pub stall: bool,
    /// Calls whose answer takes so many milliseconds more.
    pub slow: u64,
    revision: u64,
    objects: BTreeMap<String, (u64, Arc<str>)>,
    stalled: Vec<(String, u64, Arc<str>)>,
    listed: BTreeSet<usize>,
}

impl Platform {
    /// Holds version 1 with an admin team.
    pub fn new(vms: usize) -> Self {
        let team = Team {
            name: "ops".parse().expect("a name"),
            key_sha256: hash_key("key"),
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
            lose: 0,
            stall: false,
            slow: 0,
            revision: 1,
            objects: BTreeMap::from([(CURRENT_PATH.to_owned(), (1, content))]),
            stalled: Vec::new(),
            listed: (0..vms).collect(),
        }
    }

    /// Holds nothing.
    pub fn empty(vms: usize) -> Self {
        let mut platform = Self::new(vms);
        platform.objects.clear();
        platform
    }

    pub fn heal(&mut self) {
        self.down = false;
        self.lose = 0;
        self.slow = 0;
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

    /// What the object of the configuration holds.
    pub fn record(&self) -> Record {
        let (_, content) = self.objects.get(CURRENT_PATH).expect("there");
        Record::parse(content).expect("a record")
    }

    pub fn prune(&mut self, path: &str) {
        self.objects.remove(path);
    }

    /// The answer to a call, how many milliseconds later it is there, and what was written.
    pub fn answer(
        &mut self,
        call: Call,
        cut: bool,
        _now: Instant,
    ) -> (Event, u64, Option<Written>) {
        let after = 3 + self.slow;
        match call {
            Call::Read => (Event::Read(self.read(cut)), after, None),
            Call::Write { id, .. } if cut => (lost(id), 300, None),
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
                (lost(id), 300, None)
            }
            Call::Write {
                id,
                path,
                if_version,
                content,
            } => match self.put(path, if_version, content) {
                None => (Event::Wrote(id, WriteResult::Conflict), after, None),
                Some(w) if self.lose > 0 => {
                    self.lose -= 1;
                    (lost(id), 300, Some(w))
                }
                Some(w) => {
                    let done = WriteResult::Done(w.object);
                    (Event::Wrote(id, done), after, Some(w))
                }
            },
        }
    }

    /// The writes held back take effect now, where their condition still holds.
    pub fn land_stalled(&mut self) -> Vec<Written> {
        self.stall = false;
        let stalled = std::mem::take(&mut self.stalled);
        let landed = stalled.into_iter().map(|(p, v, c)| self.put(p, v, c));
        landed.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn read(&self, cut: bool) -> ReadResult {
        match self.objects.get(CURRENT_PATH) {
            _ if cut || self.down => ReadResult::Failed,
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

fn lost(id: WriteId) -> Event {
    Event::Wrote(id, WriteResult::Unknown)
}
