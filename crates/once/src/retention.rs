//! Retention: reads of the expiry watermark, and the duty to raise it and to remove the claims
//! below it.

use std::time::Duration;

use gs_types::prelude::*;

use crate::action::Action;
use crate::idempotency_claims::Cx;
use crate::idempotency_claims::IdempotencyClaims;
use crate::segment;
use crate::segment::SegmentPath;
use crate::segment::Window;
use crate::watermark::ExpiryWatermark;
use crate::watermark::WATERMARK_PATH;

/// Time between two reads of the watermark by the VM that has the duty to raise it.
const WATERMARK_CHECK_INTERVAL: Duration = Duration::from_secs(30);

impl IdempotencyClaims {
    /// Requests a read of the watermark if this VM has the duty to raise it and a check is due.
    pub(crate) fn check_watermark(&mut self, cx: &mut Cx<'_>) {
        let holds = self
            .view
            .as_ref()
            .is_some_and(|v| v.has_duty(WATERMARK_PATH));
        let is_recent = |t| cx.now.saturating_duration_since(t) < WATERMARK_CHECK_INTERVAL;
        if holds && !self.watermark.last_check.is_some_and(is_recent) {
            self.watermark.last_check = Some(cx.now);
            self.watermark.request_read();
        }
    }

    pub(crate) fn start_watermark_read(&mut self, cx: &mut Cx<'_>) {
        if self.watermark.start_read() {
            self.counts.reads += 1;
            let path = WATERMARK_PATH.to_owned();
            cx.out.push(Action::Read { path });
        }
    }

    pub(crate) fn on_watermark_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let round = self.watermark.end_read();
        let read = match result {
            Ok(None) => Some((0, ExpiryWatermark::default())),
            Ok(Some(s)) => segment::decode_object(&s.content)
                .ok()
                .map(|f| (s.version, f)),
            Err(_) => None,
        };
        let Some((version, watermark)) = read else {
            for claim_log in self.claim_logs.values_mut() {
                claim_log.verifying_read_number = None;
            }
            self.back_off(cx);
            return;
        };
        self.watermark.apply(version, watermark);
        self.expire_closed_windows(cx);
        self.verify_logs(cx, round);
        self.raise_watermark(cx);
    }

    /// Raises the watermark to the latest window that is older than the claim window plus the
    /// retention margin, which allows for VMs whose clocks are behind. If the watermark is there
    /// already, removes the claims below it.
    fn raise_watermark(&mut self, cx: &mut Cx<'_>) {
        let holds = self
            .view
            .as_ref()
            .is_some_and(|v| v.has_duty(WATERMARK_PATH));
        if !holds || self.watermark.write_in_flight.is_some() {
            return;
        }
        let retention = (self.cfg.claim_window + self.cfg.retention_margin).as_secs();
        let oldest = Window::containing(cx.wall.saturating_sub(retention));
        let target = Window(oldest.0.saturating_sub(1));
        let known = self.watermark.last_known;
        if target > known.closed {
            let removed = match self.watermark.object_version {
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
        } else if known.removed < known.closed && self.watermark.segment_being_removed.is_none() {
            let window = Window(known.removed.0 + 1);
            self.start_removal(
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
        let Ok(content) = segment::encode_object(&watermark) else {
            return;
        };
        self.watermark.write_in_flight = Some(watermark);
        self.counts.writes += 1;
        cx.out.push(Action::Write {
            path: WATERMARK_PATH.to_owned(),
            if_version: self.watermark.object_version,
            content,
        });
    }

    pub(crate) fn on_watermark_written(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<u64, StoreError>,
    ) {
        let Some(watermark) = self.watermark.write_in_flight.take() else {
            return;
        };
        // After any other result, the next check reads the watermark first.
        if let Ok(version) = result {
            self.watermark.apply(version, watermark);
            self.expire_closed_windows(cx);
            self.raise_watermark(cx);
        }
    }

    /// Returns whether the object at this path is being removed.
    pub(crate) fn is_being_removed(&self, path: &str) -> bool {
        self.watermark
            .segment_being_removed
            .is_some_and(|p| p.to_string() == path)
    }

    /// Starts the removal of a claim object by reading its version.
    fn start_removal(&mut self, cx: &mut Cx<'_>, next: SegmentPath) {
        self.watermark.segment_being_removed = Some(next);
        self.counts.reads += 1;
        let path = next.to_string();
        cx.out.push(Action::Read { path });
    }

    pub(crate) fn on_removal_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<Option<Stored>, StoreError>,
    ) {
        let Some(at) = self.watermark.segment_being_removed else {
            return;
        };
        match result {
            Ok(Some(s)) => cx.out.push(Action::Remove {
                path: at.to_string(),
                if_version: s.version,
            }),
            Ok(None) => self.continue_removal(cx, at),
            Err(_) => self.watermark.segment_being_removed = None,
        }
    }

    /// Continues the removal with the next bucket or window. At the watermark, records that all
    /// claims up to it are removed.
    fn continue_removal(&mut self, cx: &mut Cx<'_>, at: SegmentPath) {
        let last = at.bucket + 1 == self.cfg.buckets;
        let (window, bucket) = match last {
            true => (Window(at.window.0 + 1), 0),
            false => (at.window, at.bucket + 1),
        };
        let closed = self.watermark.last_known.closed;
        if window <= closed {
            self.start_removal(
                cx,
                SegmentPath {
                    window,
                    bucket,
                    segment: 0,
                },
            );
            return;
        }
        self.watermark.segment_being_removed = None;
        if self.watermark.write_in_flight.is_none() {
            self.write_watermark(
                cx,
                ExpiryWatermark {
                    closed,
                    removed: closed,
                },
            );
        }
    }

    pub(crate) fn on_removed(
        &mut self,
        cx: &mut Cx<'_>,
        path: &str,
        result: Result<(), StoreError>,
    ) {
        let Some(at) = self
            .watermark
            .segment_being_removed
            .filter(|_| self.is_being_removed(path))
        else {
            return;
        };
        match result {
            Ok(()) => {
                let segment = at.segment + 1;
                self.start_removal(cx, SegmentPath { segment, ..at });
            }
            Err(StoreError::Conflict) => self.start_removal(cx, at),
            Err(_) => self.watermark.segment_being_removed = None,
        }
    }
}
