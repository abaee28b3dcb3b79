//! Zone drains: received from the store or from peers, forwarded, and applied to the roles.

use cranberryhatch_schema::fleet::{Drains, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::{Node, PAUSE_THRESHOLD, SETTINGS_GRACE};
use crate::{
    DrainFreshness, DrainRead, Job, NotRunCause, Outcome, Output, ZoneDrains, log_event::LogEvent,
};

/// Time after which a caller should retry a job whose workers are all in drained zones.
const DRAINED_RETRY: Span = Span::from_secs(1);

impl Node {
    /// Applies zone drains read from the store with a request that was sent at `sent_at`.
    pub fn apply_drain_read(
        &mut self,
        read: &DrainRead,
        sent_at: Time,
        now: Time,
        out: &mut Output,
    ) {
        let next = self.drains.updated_by(read);
        self.replace_drains(next, None, now, out);
        self.drain_freshness.record_store_read(sent_at, true);
        self.process_pending(now, false, out);
    }

    /// Records that a read of the zone drains, sent at `sent_at`, failed.
    pub fn drain_read_failed(&mut self, sent_at: Time) {
        self.drain_freshness.record_store_read(sent_at, false);
    }

    /// Returns whether the zone drains must be read from the store without delay.
    #[must_use]
    pub const fn needs_drain_read(&self) -> bool {
        !self.drain_freshness.is_fresh()
    }

    /// Returns whether a read that was sent at `sent_at` is stale because of a pause since then.
    #[must_use]
    pub fn is_drain_read_stale(&self, sent_at: Time) -> bool {
        sent_at < self.drain_freshness.since() && self.needs_drain_read()
    }

    /// Returns the known zone drains.
    #[must_use]
    pub const fn drains(&self) -> &ZoneDrains {
        &self.drains
    }

    pub(super) fn replace_drains(
        &mut self,
        next: ZoneDrains,
        source: Option<&InstanceId>,
        now: Time,
        out: &mut Output,
    ) {
        if next.version() > self.drains.version() {
            self.drains_history.record(next.version(), now);
        }
        let changes = self.drains.replace(next);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let source = source.cloned();
            out.log(LogEvent::ZoneDrains { change, source });
        }
        for (peer, _) in self.links.iter() {
            if Some(peer) != source {
                out.send(peer, Body::Drains(self.drains.to_message()));
            }
        }
        self.listing.drain(&self.drains);
        self.apply_worker_list();
    }

    /// Applies the worker list to the scheduler and the owner.
    pub(super) fn apply_worker_list(&mut self) {
        self.scheduler.update_listing(&self.listing);
        self.owner.update_listed(&self.listing);
    }

    pub(super) fn handle_drains(
        &mut self,
        from: &InstanceId,
        drains: Drains,
        now: Time,
        out: &mut Output,
    ) {
        let known = drains.version > 0;
        self.replace_drains(ZoneDrains::from_peer(drains), Some(from), now, out);
        // After a pause the message may be as old as the pause; the peer's next heartbeat confirms
        // it.
        if known && self.drain_freshness.since() == self.started {
            self.drain_freshness.record_peer_agreement();
        }
    }

    /// Compares the version of a peer's drains, from its heartbeat, with this instance's.
    pub(super) fn compare_drains(
        &mut self,
        from: &InstanceId,
        version: u64,
        seen: Time,
        now: Time,
        out: &mut Output,
    ) {
        let mine = self.drains.version();
        let settled = self.drains_history.settled(SETTINGS_GRACE, now);
        if version < settled || version == 0 && mine > 0 {
            out.send(from, Body::Drains(self.drains.to_message()));
        }
        // The peer has read a heartbeat sent since this instance's start or pause, so its version
        // is not older than that.
        if version > 0 && version <= mine && seen >= self.drain_freshness.since() {
            self.drain_freshness.record_peer_agreement();
        }
    }

    /// Returns whether tasks may be started and capacity granted: the zone drains are fresh since
    /// the last pause.
    pub(super) fn can_start(&self, now: Time) -> bool {
        self.drain_freshness.is_fresh() && !self.was_paused(now)
    }

    /// Returns whether this process was paused since the last tick, so that the messages that it
    /// reads may be as old as the pause.
    pub(super) fn was_paused(&self, now: Time) -> bool {
        now.since(self.ticked_at) >= PAUSE_THRESHOLD
    }

    /// Requires fresh drains after a pause, and assumes the known ones after a timeout.
    pub(super) fn review_drains(&mut self, paused: bool, now: Time, out: &mut Output) {
        if paused {
            self.drain_freshness = DrainFreshness::new(now);
            // Peers respond to a heartbeat with their drains or the version of them.
            self.links.iter_mut().for_each(|(_, link)| link.sent_at = Time::ZERO);
        }
        let settled = (self.settings.0 > 0).then_some(self.first_settings_at);
        if self.drain_freshness.update(settled, now) {
            let (version, waited) =
                (self.drains.version(), now.since(self.drain_freshness.since()));
            out.log(LogEvent::DrainsAssumed { version, waited });
        }
        if !self.drains.zones().is_empty() {
            let (listing, retry) = (&self.listing, DRAINED_RETRY);
            self.front.refuse_jobs(
                |job| listing.is_drained(job),
                NotRunCause::Drained,
                retry,
                now,
                out,
            );
        }
    }

    /// Returns the outcome of a job whose workers are all in drained zones; none for other jobs.
    pub(super) fn drained_outcome(&self, job: &Job) -> Option<Outcome> {
        let drained = !self.drains.zones().is_empty() && self.listing.is_drained(job);
        drained.then_some(Outcome::NotRun { cause: NotRunCause::Drained, retry: DRAINED_RETRY })
    }
}
