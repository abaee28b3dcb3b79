//! Recovery of the jobs of lost holders; runs in shard 0 of an instance.
//!
//! Each instance watches the rows of the holders of its zone. A holder that shows neither a renewal
//! nor a heartbeat for the lease plus the margin is taken over by compare-and-set on its row, first
//! by the instance that rendezvous hashing selects, then after a delay by the next one. The
//! successor fences the holder at every endpoint and hands each unfinished job to the shard
//! selected by its key, along with the statuses of its tasks at the endpoints.
//!
//! Requirements on the entry process:
//!
//! - There is one row per holder, i.e. per instance and incarnation. It is deleted by its own
//!   holder after a graceful stop, or by any instance once `keys.remember` has passed since it was
//!   taken over.
//! - An instance writes its row before it first reads the list, and reads all rows of its zone
//!   about once a second.
//! - A claim names the holder that wrote it for as long as the claim exists. A successor records
//!   outcomes in that claim without changing the holder.
//! - If a successor is lost too, the next one takes over the successor's row and each row whose
//!   last successor is the lost one. It thus finds the unfinished jobs of the earlier holders, and
//!   fences all holders that may have sent their tasks.
//!
//! ```
//! use cranberryhatch_core::{Identity, Recovery, Event};
//! use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};
//!
//! let holder = Holder { instance: "praha-a-1".parse().unwrap(), incarnation: Incarnation::new(1) };
//! let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
//! let me = Identity { shard, holder, zone: "praha-a".parse().unwrap(), shards: 1 };
//! let mut recovery = Recovery::new(me);
//! let mut out = Vec::new();
//! recovery.handle(Time::ZERO, &Event::HoldersRead(Vec::new().into()), true, &mut out);
//! assert!(out.is_empty());
//! ```

use std::sync::Arc;

use cranberryhatch_schema::{
    Values,
    peer::{Heartbeat, TakeoverAsk, TakeoverReply, envelope::Body},
};
use cranberryhatch_settings::ActiveSettings;
use cranberryhatch_types::{Holder, Incarnation, InstanceId, ShardId, Span, Time, WorkerId};

use crate::{
    Command, Event, FencedTask, HolderRow, Identity, JobSpec, Listing, StateChange, succession,
    takeover::Takeover, watch::Watch,
};

/// A peer without a heartbeat for this long is ignored in the order of succession.
const PEER_TIMEOUT: Span = Span::from_secs(2);
/// Delay by which each instance waits for the one before it in the order of succession.
const SUCCESSION_STEP: Span = Span::from_secs(1);
/// Interval between two attempts to take over the same holder.
const TAKEOVER_RETRY: Span = Span::from_secs(2);
/// Maximum age of the rows on which a takeover may be based.
const MAX_ROWS_AGE: Span = Span::from_secs(3);
/// A gap between two events longer than this is a pause of this instance itself.
const MAX_EVENT_GAP: Span = Span::from_secs(1);

/// An instance of the zone that may take over holders.
#[derive(Clone, Debug)]
struct ZonePeer {
    id: InstanceId,
    last_heard: Time,
}

/// A requested takeover of a row whose result is not known.
#[derive(Clone, Debug)]
struct PendingTakeover {
    row: HolderRow,
    endpoints_known: bool,
    /// Whether the platform refused or did not respond; the write may still take effect.
    failed: bool,
}

/// Coordinates the recovery of lost holders.
#[derive(Debug)]
pub struct Recovery {
    me: Identity,
    settings: Option<Arc<ActiveSettings>>,
    watches: Vec<Watch>,
    peers: Vec<ZonePeer>,
    // Known workers and when each was last seen, sorted by id.
    workers: Vec<(WorkerId, Time)>,
    // When the list was first read.
    listed: Option<Time>,
    pending: Vec<PendingTakeover>,
    // Takeovers in progress, and whether all endpoints that the holder may have used are known.
    takeovers: Vec<(Takeover, bool)>,
    // Holders that this instance has taken over.
    taken: Vec<Holder>,
    /// Fences to be sent to endpoints that became known after a takeover.
    late_fences: Vec<(Holder, WorkerId)>,
    last_event: Option<Time>,
    rows_read: Option<Time>,
    draining: bool,
}

impl Recovery {
    /// Creates a coordinator without any information.
    #[must_use]
    pub const fn new(me: Identity) -> Self {
        Self {
            me,
            settings: None,
            watches: Vec::new(),
            peers: Vec::new(),
            workers: Vec::new(),
            listed: None,
            pending: Vec::new(),
            takeovers: Vec::new(),
            taken: Vec::new(),
            late_fences: Vec::new(),
            last_event: None,
            rows_read: None,
            draining: false,
        }
    }

    /// Handles an event; `may_send` says whether this holder holds its own lease.
    pub fn handle(&mut self, now: Time, event: &Event, may_send: bool, out: &mut Vec<Command>) {
        if self.me.shard.shard != 0 {
            return;
        }
        self.notice_pause(now);
        match event {
            Event::Settings(settings) => self.settings = Some(Arc::clone(settings)),
            Event::Listed(list) => self.handle_list(now, list),
            Event::EndpointSeen(endpoint) => self.worker_seen(now, &endpoint.worker),
            Event::HoldersRead(rows) => self.handle_rows(now, rows),
            Event::Peer { from, incarnation, body: Body::Heartbeat(heartbeat) } => {
                self.handle_heartbeat(now, from, *incarnation, heartbeat);
            }
            Event::Peer { from, incarnation, body: Body::TakeoverAsk(ask) } => {
                self.handle_takeover_ask(now, from, *incarnation, ask, out);
            }
            Event::TookOver { holder, jobs } => {
                self.handle_took_over(now, holder, jobs.as_deref(), out);
            }
            Event::Fenced { holder, worker, tasks, since } => {
                self.handle_fenced(now, holder, worker, tasks.as_deref(), *since);
            }
            Event::Drain => self.draining = true,
            _ => {}
        }
        if may_send {
            self.take_over_lost_holders(now, out);
            self.advance(now, out);
        }
    }

    fn takeover_delay(&self) -> Span {
        match &self.settings {
            Some(settings) => settings.local().lease_holder + settings.local().lease_margin,
            None => Values::default().lease_holder + Values::default().lease_margin,
        }
    }

    // While this instance was paused, or could not read the rows, it could not observe the activity
    // of holders.
    fn notice_pause(&mut self, now: Time) {
        let gap = self.last_event.map_or(Span::ZERO, |last| now.since(last));
        self.last_event = self.last_event.max(Some(now));
        if gap > MAX_EVENT_GAP {
            self.watches.iter_mut().for_each(|watch| watch.last_alive = watch.last_alive + gap);
        }
    }

    fn handle_list(&mut self, now: Time, list: &[Listing]) {
        self.listed.get_or_insert(now);
        for listing in list {
            if let Listing::Endpoint { id, .. } = listing {
                self.worker_seen(now, id);
            }
        }
        // A worker not seen for that long cannot have been sent a task of an unfinished job.
        let limit = self.settings.as_ref().map(|s| s.local().deadline_max + self.takeover_delay());
        if let Some(limit) = limit {
            self.workers.retain(|(_, seen)| now.since(*seen) <= limit * 2);
        }
    }

    fn worker_seen(&mut self, now: Time, id: &WorkerId) {
        match self.workers.binary_search_by(|(worker, _)| worker.cmp(id)) {
            Ok(pos) => self.workers[pos].1 = now,
            Err(pos) => {
                self.workers.insert(pos, (id.clone(), now));
                self.takeovers.iter_mut().for_each(|(takeover, _)| takeover.add_worker(now, id));
                // A holder that does not know yet that it was taken over may discover the new
                // endpoint too.
                let is_open =
                    |holder: &&Holder| self.takeovers.iter().any(|(t, _)| t.holder == **holder);
                let ended = self.taken.iter().filter(|holder| !is_open(holder));
                self.late_fences.extend(ended.map(|holder| (holder.clone(), id.clone())));
            }
        }
    }

    fn handle_rows(&mut self, now: Time, rows: &[HolderRow]) {
        let known = |read| self.listed.is_some_and(|listed| listed <= read);
        let endpoints_known = self.rows_read.is_some_and(known);
        let gap = self.rows_read.map_or(Span::ZERO, |read| now.since(read));
        if gap > MAX_ROWS_AGE {
            self.watches.iter_mut().for_each(|watch| watch.last_alive = now);
        }
        self.rows_read = Some(now);
        let own = |row: &&HolderRow| row.zone == self.me.zone && row.holder != self.me.holder;
        let rows: Vec<_> = rows.iter().filter(own).collect();
        self.watches.retain(|watch| rows.iter().any(|row| row.holder == watch.row.holder));
        // A pending write can no longer take effect once the row has a later version.
        let is_outdated = |pending: &PendingTakeover| {
            let row = rows.iter().find(|row| row.holder == pending.row.holder);
            row.is_none_or(|row| row.version > pending.row.version)
        };
        self.pending.retain(|pending| !pending.failed || !is_outdated(pending));
        for row in rows {
            match self.watches.iter_mut().find(|watch| watch.row.holder == row.holder) {
                Some(watch) => watch.update(now, row),
                None => self.watches.push(Watch::new(now, row.clone(), endpoints_known)),
            }
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) {
        if heartbeat.zone != self.me.zone.as_str() {
            return;
        }
        self.mark_alive(now, from, incarnation);
        let pos = self.peers.binary_search_by(|peer| peer.id.cmp(&from.instance));
        match pos {
            Ok(pos) if heartbeat.draining => drop(self.peers.remove(pos)),
            Ok(pos) => self.peers[pos].last_heard = now,
            Err(_) if heartbeat.draining || from.instance == self.me.holder.instance => {}
            Err(pos) => {
                self.peers.insert(pos, ZonePeer { id: from.instance.clone(), last_heard: now });
            }
        }
    }

    fn mark_alive(&mut self, now: Time, from: &ShardId, incarnation: Incarnation) {
        let is_of =
            |holder: &Holder| holder.instance == from.instance && holder.incarnation == incarnation;
        if let Some(watch) = self.watches.iter_mut().find(|watch| is_of(&watch.row.holder)) {
            watch.last_alive = now;
        }
    }

    // While the result of a takeover is unknown no answer would be correct; the peer will ask
    // again.
    fn handle_takeover_ask(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        ask: &TakeoverAsk,
        out: &mut Vec<Command>,
    ) {
        self.mark_alive(now, from, incarnation);
        let holder = Holder { instance: from.instance.clone(), incarnation };
        if self.pending.iter().any(|pending| pending.row.holder == holder) {
            return;
        }
        let row = self.watches.iter().find(|watch| watch.row.holder == holder);
        let taken =
            self.taken.contains(&holder) || row.is_some_and(|watch| watch.successor().is_some());
        let reply = TakeoverReply { request: ask.request, taken };
        out.push(Command::Send { to: from.clone(), body: Body::TakeoverReply(reply) });
    }

    fn take_over_lost_holders(&mut self, now: Time, out: &mut Vec<Command>) {
        let fresh = self.rows_read.is_some_and(|read| now.since(read) <= MAX_ROWS_AGE);
        if self.draining || !fresh {
            return;
        }
        let delay = self.takeover_delay();
        let live = self.peers.iter().filter(|peer| peer.last_heard + PEER_TIMEOUT >= now);
        let live: Vec<&InstanceId> = live.map(|peer| &peer.id).collect();
        let me = &self.me.holder;
        let mut due = Vec::new();
        for (index, watch) in self.watches.iter().enumerate() {
            let responsible = watch.successor().unwrap_or(&watch.row.holder);
            if watch.retry_at > now || self.is_taken(&watch.row) {
                continue;
            }
            let step = SUCCESSION_STEP * succession::rank(&me.instance, &watch.row.holder, &live);
            if responsible == me || self.is_lost(now, responsible, delay + step) {
                due.push(index);
            }
        }
        for index in due {
            let watch = &mut self.watches[index];
            watch.retry_at = now + TAKEOVER_RETRY;
            let (holder, version) = (watch.row.holder.clone(), watch.row.version);
            let (row, endpoints_known) = (watch.row.clone(), watch.endpoints_known);
            self.pending.retain(|other| other.row.holder != holder);
            self.pending.push(PendingTakeover { row, endpoints_known, failed: false });
            out.push(Command::TakeOver { holder, version });
        }
    }

    /// Returns whether this holder has already taken over a row.
    fn is_taken(&self, row: &HolderRow) -> bool {
        self.taken.contains(&row.holder)
    }

    // A responsible holder without a row was recovered and removed, or was never registered.
    fn is_lost(&self, now: Time, holder: &Holder, span: Span) -> bool {
        let watch = self.watches.iter().find(|watch| watch.row.holder == *holder);
        watch.is_none_or(|watch| watch.successor().is_some() || watch.is_unresponsive(now, span))
    }

    fn handle_took_over(
        &mut self,
        now: Time,
        holder: &Holder,
        jobs: Option<&[Arc<JobSpec>]>,
        out: &mut Vec<Command>,
    ) {
        let Some(pos) = self.pending.iter().position(|p| p.row.holder == *holder) else { return };
        let Some(jobs) = jobs else { return self.pending[pos].failed = true };
        let pending = self.pending.remove(pos);
        self.taken.push(holder.clone());
        out.push(Command::State(StateChange::TookOver(holder.clone())));
        let earlier = pending.row.successors.iter().filter(|taken| **taken != self.me.holder);
        let earlier: Vec<_> = earlier.cloned().collect();
        // The jobs of an earlier successor have ended; it could end them only after its own fences.
        if jobs.is_empty() && !earlier.is_empty() {
            return;
        }
        let workers: Vec<_> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        let endpoints_known =
            pending.endpoints_known && earlier.iter().all(|taken| self.knew_endpoints(taken));
        let takeover = Takeover::new(now, holder.clone(), &earlier, jobs.to_vec(), &workers);
        self.takeovers.push((takeover, endpoints_known));
    }

    fn knew_endpoints(&self, holder: &Holder) -> bool {
        self.watches.iter().any(|watch| watch.row.holder == *holder && watch.endpoints_known)
    }

    fn handle_fenced(
        &mut self,
        now: Time,
        holder: &Holder,
        worker: &WorkerId,
        tasks: Option<&[FencedTask]>,
        since: Time,
    ) {
        for (takeover, _) in &mut self.takeovers {
            takeover.handle_fenced(now, holder, worker, tasks, since);
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Command>) {
        let late_fences = self.late_fences.drain(..);
        out.extend(late_fences.map(|(holder, worker)| Command::Fence { holder, worker }));
        let mut index = 0;
        while index < self.takeovers.len() {
            // Without any known endpoint the statuses of the tasks are unknown, so the list is
            // awaited.
            if self.listed.is_none() || !self.takeovers[index].0.advance(now, out) {
                index += 1;
                continue;
            }
            let (takeover, endpoints_known) = self.takeovers.remove(index);
            let change = StateChange::Recovered(takeover.holder.clone(), takeover.all_answered());
            let adoptions =
                takeover.adoptions(|job| endpoints_known || self.knew_all_endpoints(job));
            out.extend(adoptions.into_iter().map(Command::Adopt));
            out.push(Command::State(change));
        }
    }

    // A worker that was lost before this instance read its first list may have been sent a task. An
    // unfinished job was accepted at most `deadline.max` before its deadline.
    fn knew_all_endpoints(&self, job: &JobSpec) -> bool {
        let Some(settings) = &self.settings else { return false };
        let longest = settings.of(&job.key.team, &job.kind).deadline_max;
        self.listed.is_some_and(|listed| job.deadline.since(listed) >= longest)
    }
}
