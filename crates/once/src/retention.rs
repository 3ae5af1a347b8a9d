//! The floor: reading it, and the task of raising it and of removing what is below it.

use std::time::Duration;

use gs_types::prelude::*;

use crate::action::Action;
use crate::once::Cx;
use crate::once::Once;
use crate::segment;
use crate::segment::SegmentPath;
use crate::segment::Window;
use crate::watermark::ExpiryWatermark;
use crate::watermark::WATERMARK_PATH;

/// Time between two looks at the floor by the VM whose task it is.
const LOOK_EVERY: Duration = Duration::from_secs(30);

impl Once {
    /// Looks at the floor if that is this VM's task and the time has come.
    pub(crate) fn check_watermark(&mut self, cx: &mut Cx<'_>) {
        let holds = self.view.as_ref().is_some_and(|v| v.holds(WATERMARK_PATH));
        let looked = |t| cx.now.saturating_duration_since(t) < LOOK_EVERY;
        if holds && !self.watermark.looked.is_some_and(looked) {
            self.watermark.looked = Some(cx.now);
            self.watermark.want();
        }
    }

    pub(crate) fn start_watermark_read(&mut self, cx: &mut Cx<'_>) {
        if self.watermark.start() {
            self.counts.reads += 1;
            let path = WATERMARK_PATH.to_owned();
            cx.out.push(Action::Read { path });
        }
    }

    pub(crate) fn watermark_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let round = self.watermark.end();
        let read = match result {
            Ok(None) => Some((0, ExpiryWatermark::default())),
            Ok(Some(s)) => segment::decode(&s.content).ok().map(|f| (s.version, f)),
            Err(_) => None,
        };
        let Some((version, watermark)) = read else {
            for claim_log in self.claim_logs.values_mut() {
                claim_log.proof = None;
            }
            self.back_off(cx);
            return;
        };
        self.watermark.take(version, watermark);
        self.close(cx);
        self.prove(cx, round);
        self.raise_watermark(cx);
    }

    /// Raises the floor to where no clock of ours is behind, or goes on removing what is below it.
    fn raise_watermark(&mut self, cx: &mut Cx<'_>) {
        let holds = self.view.as_ref().is_some_and(|v| v.holds(WATERMARK_PATH));
        if !holds || self.watermark.writing.is_some() {
            return;
        }
        let kept = (self.cfg.window + self.cfg.margin).as_secs();
        let oldest = Window::at(cx.wall.saturating_sub(kept));
        let target = Window(oldest.0.saturating_sub(1));
        let known = self.watermark.known;
        if target > known.closed {
            let removed = match self.watermark.version {
                0 => target,
                _ => known.removed,
            };
            self.write_watermark(
                cx,
                ExpiryWatermark {
                    closed: target,
                    removed,
                },
            );
        } else if known.removed < known.closed && self.watermark.sweep.is_none() {
            let window = Window(known.removed.0 + 1);
            self.sweep(
                cx,
                SegmentPath {
                    window,
                    bucket: 0,
                    segment: 0,
                },
            );
        }
    }

    fn write_watermark(&mut self, cx: &mut Cx<'_>, watermark: ExpiryWatermark) {
        let Ok(content) = segment::encode(&watermark) else {
            return;
        };
        self.watermark.writing = Some(watermark);
        self.counts.writes += 1;
        cx.out.push(Action::Write {
            path: WATERMARK_PATH.to_owned(),
            if_version: self.watermark.version,
            content,
        });
    }

    pub(crate) fn watermark_wrote(&mut self, cx: &mut Cx<'_>, result: Result<u64, StoreError>) {
        let Some(watermark) = self.watermark.writing.take() else {
            return;
        };
        // Whatever else happened, the next look reads the floor first.
        if let Ok(version) = result {
            self.watermark.take(version, watermark);
            self.close(cx);
            self.raise_watermark(cx);
        }
    }

    pub(crate) fn is_swept(&self, path: &str) -> bool {
        self.watermark.sweep.is_some_and(|p| p.to_string() == path)
    }

    fn sweep(&mut self, cx: &mut Cx<'_>, next: SegmentPath) {
        self.watermark.sweep = Some(next);
        self.counts.reads += 1;
        let path = next.to_string();
        cx.out.push(Action::Read { path });
    }

    pub(crate) fn sweep_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let Some(at) = self.watermark.sweep else {
            return;
        };
        match result {
            Ok(Some(s)) => cx.out.push(Action::Remove {
                path: at.to_string(),
                if_version: s.version,
            }),
            Ok(None) => self.sweep_on(cx, at),
            Err(_) => self.watermark.sweep = None,
        }
    }

    /// Goes on to the next bucket or window; at the floor, notes that all below is removed.
    fn sweep_on(&mut self, cx: &mut Cx<'_>, at: SegmentPath) {
        let last = at.bucket + 1 == self.cfg.buckets;
        let (window, bucket) = match last {
            true => (Window(at.window.0 + 1), 0),
            false => (at.window, at.bucket + 1),
        };
        let closed = self.watermark.known.closed;
        if window <= closed {
            self.sweep(
                cx,
                SegmentPath {
                    window,
                    bucket,
                    segment: 0,
                },
            );
            return;
        }
        self.watermark.sweep = None;
        if self.watermark.writing.is_none() {
            self.write_watermark(
                cx,
                ExpiryWatermark {
                    closed,
                    removed: closed,
                },
            );
        }
    }

    pub(crate) fn removed(&mut self, cx: &mut Cx<'_>, path: &str, result: Result<(), StoreError>) {
        let Some(at) = self.watermark.sweep.filter(|_| self.is_swept(path)) else {
            return;
        };
        match result {
            Ok(()) => {
                let segment = at.segment + 1;
                self.sweep(cx, SegmentPath { segment, ..at });
            }
            Err(StoreError::Conflict) => self.sweep(cx, at),
            Err(_) => self.watermark.sweep = None,
        }
    }
}
