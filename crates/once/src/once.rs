//! The state machine: asks in, verdicts out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_member::View;
use gs_query::ClaimDecision;
use gs_query::LookupClaim;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use crate::asks::Asks;
use crate::asks::Pending;
use crate::claim;
use crate::claim::Ask;
use crate::claim::AskId;
use crate::claim::ClaimEvent;
use crate::claim::ClaimState;
use crate::claim::KeyHash;
use crate::claim_log::ClaimLog;
use crate::event::Event;
use crate::floor::FLOOR_PATH;
use crate::floor::FloorWatch;
use crate::message::Message;
use crate::message::Settled;
use crate::part::Window;
use crate::settings::OnceSettings;

/// Time after which a tick is asked for at the latest.
const IDLE: Duration = Duration::from_secs(5);

/// What a process has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads asked of the platform.
    pub reads: u64,
    /// Writes asked of the platform.
    pub writes: u64,
    /// Asks handed to a bucket's writer.
    pub forwarded: u64,
    /// Asks granted.
    pub granted: u64,
    /// Asks whose key was taken.
    pub taken: u64,
    /// Asks whose key had expired.
    pub expired: u64,
    /// Asks refused.
    pub refused: u64,
    /// Asks left unknown.
    pub unknown: u64,
}

/// The moment of an event and where its outputs go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Instant,
    /// The time of day in seconds since the Unix epoch.
    pub(crate) wall: u64,
    pub(crate) out: &'a mut Vec<Action>,
}

/// Decides claims; see the crate's documentation.
#[derive(Debug)]
pub struct Once {
    pub(crate) cfg: OnceSettings,
    pub(crate) counts: Counts,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) asks: Asks,
    pub(crate) claim_logs: BTreeMap<(Window, u16), ClaimLog>,
    pub(crate) floor: FloorWatch,
    pub(crate) away_until: Option<Instant>,
    /// Forwards sent.
    pub(crate) sent: u64,
    /// The last forward taken of each VM.
    pub(crate) heard: BTreeMap<VmId, (Incarnation, u64)>,
}

impl Once {
    /// Starts with nothing known.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart that is built in has a fault, or there is no bucket.
    pub fn new(cfg: OnceSettings) -> Result<Self> {
        if cfg.buckets == 0 {
            return Err(Error::new(ErrorKind::BadInput, "there is no claim bucket")
                .with_hint("give one or more"));
        }
        Ok(Self {
            counts: Counts::default(),
            view: None,
            asks: Asks::new(claim::chart()?),
            claim_logs: BTreeMap::new(),
            floor: FloorWatch::default(),
            away_until: None,
            sent: 0,
            heard: BTreeMap::new(),
            cfg,
        })
    }

    /// Takes one event at `now`; `wall` is the time of day in seconds since the Unix epoch.
    pub fn on(&mut self, now: Instant, wall: u64, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, wall, out };
        match event {
            Event::Ask(ask) => self.ask(cx, &ask),
            Event::Read { path, result } if path == FLOOR_PATH => self.floor_read(cx, result),
            Event::Read { path, result } => self.read(cx, &path, result),
            Event::Wrote { path, result } if path == FLOOR_PATH => self.floor_wrote(cx, result),
            Event::Wrote { path, result } => self.wrote(cx, &path, result),
            Event::Removed { path, result } => self.removed(cx, &path, result),
            Event::Peer(from, message) => self.peer(cx, &from, message),
            Event::Members(view) => self.members(view),
            Event::Tick => {}
        }
        self.run_timers(cx);
        self.check_floor(cx);
        self.start_calls(cx);
        self.wake(cx);
    }

    /// What was counted so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Asks that await their verdict here, those of other VMs included.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.asks.len()
    }

    fn ask(&mut self, cx: &mut Cx<'_>, wanted: &LookupClaim) {
        let minted = wanted.key.minted();
        let ask = Ask {
            id: AskId {
                vm: self.cfg.vm.clone(),
                incarnation: self.cfg.incarnation,
                seq: wanted.seq,
            },
            key: KeyHash::of(&wanted.key),
            window: Window::at(minted),
            fingerprint: wanted.fingerprint,
        };
        let id = ask.id.clone();
        if let Some(verdict) = self.early_verdict(cx, &ask, minted) {
            self.tell(cx, id.seq, verdict);
            return;
        }
        let bucket = self.bucket(ask.key);
        self.asks
            .add(ask.clone(), minted, None, cx.now + wanted.budget);
        let writer = self
            .view
            .as_ref()
            .and_then(|v| v.holder(&writer_role(bucket)));
        match writer.cloned() {
            Some(writer) if writer != self.cfg.vm => self.forward(cx, writer, ask, wanted.budget),
            _ => self.enqueue(cx, &id),
        }
    }

    /// The verdict that needs no call, if there is one.
    fn early_verdict(&mut self, cx: &Cx<'_>, ask: &Ask, minted: u64) -> Option<ClaimDecision> {
        if ask.window <= self.floor.floor.closed {
            return Some(ClaimDecision::Expired);
        }
        // Only the floor says that a key is expired for ever. By the clock alone it is refused: the
        // clock may be wrong, and a key from the future may be claimed later.
        if self.is_too_old(cx.wall, minted) || minted > cx.wall + self.cfg.skew.as_secs() {
            self.floor.want();
            return Some(ClaimDecision::Refused);
        }
        let claim_log = self.claim_logs.get(&(ask.window, self.bucket(ask.key)));
        if claim_log.is_some_and(|s| s.holder(ask.key).is_some()) {
            return Some(ClaimDecision::Taken);
        }
        (self.asks.len() >= self.cfg.asks_max).then_some(ClaimDecision::Refused)
    }

    pub(crate) fn is_too_old(&self, wall: u64, minted: u64) -> bool {
        wall.saturating_sub(minted) > self.cfg.window.as_secs()
    }

    pub(crate) fn bucket(&self, key: KeyHash) -> u16 {
        let n = key.0 % u128::from(self.cfg.buckets);
        u16::try_from(n).unwrap_or_default()
    }

    /// Puts an ask into the next write of its bucket and window, or gives it up at once if the
    /// platform is away.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, id: &AskId) {
        let Some(p) = self.asks.find(id) else {
            return;
        };
        let key = (p.ask.window, self.bucket(p.ask.key));
        if p.state == ClaimState::Queued && self.is_away(cx.now) {
            self.end(cx, id, ClaimEvent::GiveUp);
            return;
        }
        let claim_log = self
            .claim_logs
            .entry(key)
            .or_insert_with(|| ClaimLog::new(key.0, key.1));
        if !claim_log.queue.contains(id) {
            claim_log.queue.push_back(id.clone());
        }
    }

    pub(crate) fn is_away(&self, now: Instant) -> bool {
        self.away_until.is_some_and(|t| now < t)
    }

    /// The platform failed: it is left alone for a while, and whoever has nothing under way is
    /// refused at once, as no answer would come in time and nothing of theirs can take effect.
    pub(crate) fn go_away(&mut self, cx: &mut Cx<'_>) {
        self.away_until = Some(cx.now + self.cfg.rest);
        let queued = |id: &&AskId| {
            let state = self.asks.find(id).map(|p| p.state);
            state == Some(ClaimState::Queued)
        };
        let queued: Vec<_> = self.asks.ids().filter(queued).cloned().collect();
        for id in queued {
            self.end(cx, &id, ClaimEvent::GiveUp);
        }
    }

    /// Moves an ask, and gives its verdict if that ends it.
    pub(crate) fn end(&mut self, cx: &mut Cx<'_>, id: &AskId, event: ClaimEvent) {
        if let Some(p) = self.asks.step(id, event) {
            self.give(cx, p);
        }
    }

    fn give(&mut self, cx: &mut Cx<'_>, p: Pending) {
        match p.on_behalf {
            Some(vm) => {
                let message = Message::Made(p.ask.id, settled(p.state));
                cx.out.push(Action::Send(vm, message));
            }
            None => self.tell(cx, p.ask.id.seq, verdict(p.state)),
        }
    }

    fn tell(&mut self, cx: &mut Cx<'_>, seq: LookupSeq, verdict: ClaimDecision) {
        let count = match verdict {
            ClaimDecision::Granted => &mut self.counts.granted,
            ClaimDecision::Taken => &mut self.counts.taken,
            ClaimDecision::Expired => &mut self.counts.expired,
            ClaimDecision::Refused => &mut self.counts.refused,
            ClaimDecision::Unknown => &mut self.counts.unknown,
        };
        *count += 1;
        cx.out.push(Action::Verdict(seq, verdict));
    }

    fn run_timers(&mut self, cx: &mut Cx<'_>) {
        while let Some((id, over)) = self.asks.due(cx.now) {
            let state = self.asks.find(&id).map(|p| p.state);
            if over {
                self.end(cx, &id, ClaimEvent::GiveUp);
            } else if state == Some(ClaimState::Forwarded) {
                self.end(cx, &id, ClaimEvent::Lose);
                self.enqueue(cx, &id);
            }
        }
    }

    fn wake(&mut self, cx: &mut Cx<'_>) {
        let busy = self.claim_logs.values().filter(|s| !s.is_idle());
        let writes = busy.filter_map(|s| s.next_write);
        let soonest = writes
            .chain(self.away_until)
            .filter(|t| *t > cx.now)
            .chain(self.asks.next_timer())
            .min();
        let after = soonest.map_or(IDLE, |t| t.saturating_duration_since(cx.now));
        cx.out.push(Action::Wake(after.min(IDLE)));
    }
}

/// The task of writing a bucket's claims, by which its VM is chosen.
fn writer_role(bucket: u16) -> String {
    format!("claims/{bucket}")
}

fn verdict(state: ClaimState) -> ClaimDecision {
    match state {
        ClaimState::Granted => ClaimDecision::Granted,
        ClaimState::Taken => ClaimDecision::Taken,
        ClaimState::Expired => ClaimDecision::Expired,
        ClaimState::Refused => ClaimDecision::Refused,
        _ => ClaimDecision::Unknown,
    }
}

fn settled(state: ClaimState) -> Settled {
    match state {
        ClaimState::Granted => Settled::Yours,
        ClaimState::Taken => Settled::Taken,
        ClaimState::Refused => Settled::Dropped,
        _ => Settled::Unsure,
    }
}
