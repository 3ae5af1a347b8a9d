//! The floor: reading it, and the task of raising it and of removing what is below it.

use std::time::Duration;

use gs_types::prelude::*;

use crate::action::Action;
use crate::floor::FLOOR_PATH;
use crate::floor::Floor;
use crate::once::Cx;
use crate::once::Once;
use crate::part;
use crate::part::PartPath;
use crate::part::Window;

/// Time between two looks at the floor by the VM whose task it is.
const LOOK_EVERY: Duration = Duration::from_secs(30);

impl Once {
    /// Looks at the floor if that is this VM's task and the time has come.
    pub(crate) fn check_floor(&mut self, cx: &mut Cx<'_>) {
        let holds = self.view.as_ref().is_some_and(|v| v.holds(FLOOR_PATH));
        let looked = |t| cx.now.saturating_duration_since(t) < LOOK_EVERY;
        if holds && !self.floor.looked.is_some_and(looked) {
            self.floor.looked = Some(cx.now);
            self.floor.want();
        }
    }

    pub(crate) fn start_floor_read(&mut self, cx: &mut Cx<'_>) {
        if self.floor.start() {
            self.counts.reads += 1;
            let path = FLOOR_PATH.to_owned();
            cx.out.push(Action::Read { path });
        }
    }

    pub(crate) fn floor_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let round = self.floor.end();
        let read = match result {
            Ok(None) => Some((0, Floor::default())),
            Ok(Some(s)) => part::decode(&s.content).ok().map(|f| (s.version, f)),
            Err(_) => None,
        };
        let Some((version, floor)) = read else {
            for claim_log in self.claim_logs.values_mut() {
                claim_log.proof = None;
            }
            self.go_away(cx);
            return;
        };
        self.floor.take(version, floor);
        self.close(cx);
        self.prove(cx, round);
        self.raise_floor(cx);
    }

    /// Raises the floor to where no clock of ours is behind, or goes on removing what is below it.
    fn raise_floor(&mut self, cx: &mut Cx<'_>) {
        let holds = self.view.as_ref().is_some_and(|v| v.holds(FLOOR_PATH));
        if !holds || self.floor.writing.is_some() {
            return;
        }
        let kept = (self.cfg.window + self.cfg.margin).as_secs();
        let oldest = Window::at(cx.wall.saturating_sub(kept));
        let target = Window(oldest.0.saturating_sub(1));
        let known = self.floor.floor;
        if target > known.closed {
            let removed = match self.floor.version {
                0 => target,
                _ => known.removed,
            };
            self.write_floor(
                cx,
                Floor {
                    closed: target,
                    removed,
                },
            );
        } else if known.removed < known.closed && self.floor.sweep.is_none() {
            let window = Window(known.removed.0 + 1);
            self.sweep(
                cx,
                PartPath {
                    window,
                    bucket: 0,
                    part: 0,
                },
            );
        }
    }

    fn write_floor(&mut self, cx: &mut Cx<'_>, floor: Floor) {
        let Ok(content) = part::encode(&floor) else {
            return;
        };
        self.floor.writing = Some(floor);
        self.counts.writes += 1;
        cx.out.push(Action::Write {
            path: FLOOR_PATH.to_owned(),
            if_version: self.floor.version,
            content,
        });
    }

    pub(crate) fn floor_wrote(&mut self, cx: &mut Cx<'_>, result: Result<u64, StoreError>) {
        let Some(floor) = self.floor.writing.take() else {
            return;
        };
        // Whatever else happened, the next look reads the floor first.
        if let Ok(version) = result {
            self.floor.take(version, floor);
            self.close(cx);
            self.raise_floor(cx);
        }
    }

    pub(crate) fn is_swept(&self, path: &str) -> bool {
        self.floor.sweep.is_some_and(|p| p.to_string() == path)
    }

    fn sweep(&mut self, cx: &mut Cx<'_>, next: PartPath) {
        self.floor.sweep = Some(next);
        self.counts.reads += 1;
        let path = next.to_string();
        cx.out.push(Action::Read { path });
    }

    pub(crate) fn sweep_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let Some(at) = self.floor.sweep else {
            return;
        };
        match result {
            Ok(Some(s)) => cx.out.push(Action::Remove {
                path: at.to_string(),
                if_version: s.version,
            }),
            Ok(None) => self.sweep_on(cx, at),
            Err(_) => self.floor.sweep = None,
        }
    }

    /// Goes on to the next bucket or window; at the floor, notes that all below is removed.
    fn sweep_on(&mut self, cx: &mut Cx<'_>, at: PartPath) {
        let last = at.bucket + 1 == self.cfg.buckets;
        let (window, bucket) = match last {
            true => (Window(at.window.0 + 1), 0),
            false => (at.window, at.bucket + 1),
        };
        let closed = self.floor.floor.closed;
        if window <= closed {
            self.sweep(
                cx,
                PartPath {
                    window,
                    bucket,
                    part: 0,
                },
            );
            return;
        }
        self.floor.sweep = None;
        if self.floor.writing.is_none() {
            self.write_floor(
                cx,
                Floor {
                    closed,
                    removed: closed,
                },
            );
        }
    }

    pub(crate) fn removed(&mut self, cx: &mut Cx<'_>, path: &str, result: Result<(), StoreError>) {
        let Some(at) = self.floor.sweep.filter(|_| self.is_swept(path)) else {
            return;
        };
        match result {
            Ok(()) => {
                let part = at.part + 1;
                self.sweep(cx, PartPath { part, ..at });
            }
            Err(StoreError::Conflict) => self.sweep(cx, at),
            Err(_) => self.floor.sweep = None,
        }
    }
}
