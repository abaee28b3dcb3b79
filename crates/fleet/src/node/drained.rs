//! Zone drains of an instance: from the store or its peers, passed on, and applied to its duties.

use cranberryhatch_schema::fleet::{Drains, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::{Node, PAUSE_THRESHOLD, SETTINGS_GRACE};
use crate::{
    DrainFreshness, DrainRead, Job, NotRunCause, Outcome, Output, ZoneDrains, log_event::LogEvent,
};

/// When a caller should come back whose job has workers only in drained zones.
const DRAINED_RETRY: Span = Span::from_secs(1);

impl Node {
    /// Takes zone drains that the store told in answer to a request that was sent at `asked`.
    pub fn apply_drain_read(&mut self, read: &DrainRead, asked: Time, now: Time, out: &mut Output) {
        let next = self.drains.updated_by(read);
        self.replace_drains(next, None, now, out);
        self.drain_freshness.record_store_read(asked, true);
        self.process_pending(now, false, out);
    }

    /// The store did not answer a request that was sent at `asked`.
    pub fn drain_read_failed(&mut self, asked: Time) {
        self.drain_freshness.record_store_read(asked, false);
    }

    /// Whether the store must be asked for the drains at once.
    #[must_use]
    pub const fn needs_drain_read(&self) -> bool {
        !self.drain_freshness.is_fresh()
    }

    /// Whether an answer to a request that was sent at `asked` is too old after a pause.
    #[must_use]
    pub fn is_drain_read_stale(&self, asked: Time) -> bool {
        asked < self.drain_freshness.since() && self.needs_drain_read()
    }

    /// Zone drains that are known.
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
            self.drains_at = now;
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

    /// Applies the list of workers to the duties that this instance has.
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
        // After a pause the message may be as old as the pause; the peer's next sign of life tells.
        if known && self.drain_freshness.since() == self.started {
            self.drain_freshness.record_peer_agreement();
        }
    }

    /// Compares the version of the drains that a peer has with this instance's.
    pub(super) fn compare_drains(
        &mut self,
        from: &InstanceId,
        version: u64,
        seen: Time,
        now: Time,
        out: &mut Output,
    ) {
        let mine = self.drains.version();
        if version < mine && (version == 0 || now.since(self.drains_at) >= SETTINGS_GRACE) {
            out.send(from, Body::Drains(self.drains.to_message()));
        }
        // The peer has read what this instance sent since its start or pause, so this is no older.
        if version > 0 && version <= mine && seen >= self.drain_freshness.since() {
            self.drain_freshness.record_peer_agreement();
        }
    }

    /// Whether tasks may be started and room granted: the zone drains are known as of the last pause.
    pub(super) fn can_start(&self, now: Time) -> bool {
        // What is handled before the first tick after a pause is as old as the pause.
        self.drain_freshness.is_fresh() && now.since(self.ticked_at) < PAUSE_THRESHOLD
    }

    /// Asks for the drains again after a pause, and gives up after a time limit.
    pub(super) fn review_drains(&mut self, paused: bool, now: Time, out: &mut Output) {
        if paused {
            self.drain_freshness = DrainFreshness::new(now);
            // Peers answer a sign of life with theirs.
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

    /// Answer to a job that has workers only in drained zones; none for other jobs.
    pub(super) fn drained_outcome(&self, job: &Job) -> Option<Outcome> {
        let drained = !self.drains.zones().is_empty() && self.listing.is_drained(job);
        drained.then_some(Outcome::NotRun { cause: NotRunCause::Drained, retry: DRAINED_RETRY })
    }
}
