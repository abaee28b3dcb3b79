//! State machine of one shard; routes events to the modules that handle them.

use std::{collections::VecDeque, sync::Arc};

use cranberryhatch_schema::{Values, peer::envelope::Body};
use cranberryhatch_settings::ActiveSettings;
use cranberryhatch_types::{ClaimNo, Holder, InstanceId, ShardId, Time, ZoneId};

use crate::{
    AttemptId, Cluster, Code, Command, Event, FairQueue, HolderLease, JobNo, JobSpec,
    JobSubmission, Prerequisite, Recovery, SlabMap, StateChange,
    abandoned::Abandoned,
    attempt::Attempt,
    contacts::Contacts,
    context::Context,
    forward::Forwards,
    job_table::JobTable,
    retention::Retention,
    retry_budget::RetryBudget,
    run_times::RunTimes,
    timers::{Timer, Timers},
    waiters::Waiters,
};

/// Identity of a shard.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The shard.
    pub shard: ShardId,
    /// The instance and its incarnation.
    pub holder: Holder,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of shards of the instance.
    pub shards: u32,
}

/// One shard of an entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) me: Identity,
    pub(crate) settings: Option<Arc<ActiveSettings>>,
    pub(crate) cluster: Cluster,
    pub(crate) jobs: JobTable,
    pub(crate) queue: FairQueue,
    pub(crate) attempts: SlabMap<AttemptId, Attempt>,
    pub(crate) next_attempt: u64,
    /// Number of the latest claim.
    pub(crate) last_claim: ClaimNo,
    /// Whether the current event released a slot.
    pub(crate) released: bool,
    pub(crate) timers: Timers,
    pub(crate) waiters: Waiters,
    pub(crate) run_times: RunTimes,
    pub(crate) contacts: Contacts,
    pub(crate) budget: RetryBudget,
    /// Tasks whose retry waits for the retry budget.
    pub(crate) awaiting_budget: VecDeque<(JobNo, u32)>,
    pub(crate) retention: Retention,
    pub(crate) abandoned: Abandoned,
    pub(crate) forwards: Forwards,
    pub(crate) lease: HolderLease,
    recovery: Recovery,
    pub(crate) draining: bool,
    drained: bool,
}

impl Dispatcher {
    /// Creates a shard without settings, workers or jobs.
    #[must_use]
    pub fn new(me: Identity) -> Self {
        Self {
            cluster: Cluster::new(me.clone()),
            forwards: Forwards::new(me.holder.incarnation),
            lease: HolderLease::new(&me),
            recovery: Recovery::new(me.clone()),
            me,
            settings: None,
            jobs: JobTable::default(),
            queue: FairQueue::default(),
            attempts: SlabMap::default(),
            next_attempt: 0,
            last_claim: ClaimNo::default(),
            released: false,
            timers: Timers::default(),
            waiters: Waiters::default(),
            run_times: RunTimes::default(),
            contacts: Contacts::default(),
            budget: RetryBudget::default(),
            awaiting_budget: VecDeque::new(),
            retention: Retention::default(),
            abandoned: Abandoned::default(),
            draining: false,
            drained: false,
        }
    }

    /// Handles an event and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        let begin = out.len();
        self.cluster.handle(now, &event, out);
        let superseded = self.lease.handle(now, &event, out);
        self.recovery.handle(now, &event, self.lease.may_send(), out);
        let mut ctx = Context { now, out };
        if superseded {
            self.end_all_superseded(&mut ctx);
        }
        self.route(&mut ctx, event);
        self.start_waiting(&mut ctx);
        if self.queue.take_changes() || std::mem::take(&mut self.released) {
            self.cluster.set_demand(now, self.queue.counts(), ctx.out);
        }
        self.report_drained(&mut ctx);
        let permitted = self.lease.permits(&ctx.out[begin..]);
        ctx.check(permitted, "a holder past its lease sends no starts");
    }

    fn route(&mut self, ctx: &mut Context, event: Event) {
        match event {
            Event::Submit(submission) => {
                self.forget_expired(&submission);
                self.submit(ctx, &submission);
            }
            Event::Wait { ticket, key, until } => self.wait(ctx, ticket, &key, until),
            Event::Cancel { ticket, key } => self.cancel(ctx, ticket, &key),
            Event::CancelLabel { team, label } => self.cancel_label(ctx, &team, &label),
            Event::CallerDisconnected { ticket } => self.drop_waiter(ticket),
            Event::Claimed { key, number, outcome } => {
                self.handle_claim_outcome(ctx, &key, number, outcome);
            }
            Event::StartResponse { attempt, response } => {
                self.handle_start_response(ctx, attempt, response);
            }
            Event::AttemptStatus { attempt, status } => {
                self.handle_attempt_status(ctx, attempt, status);
            }
            Event::EndpointSeen(endpoint) => {
                self.contacts.mark_seen(ctx.now, &endpoint.worker);
                self.queue.unblock();
            }
            Event::EndpointLost(worker) => self.handle_endpoint_lost(ctx, &worker),
            Event::Peer { from, incarnation, body } => {
                self.queue.unblock();
                match body {
                    Body::Forward(ask) => self.handle_forward(ctx, from, &ask),
                    Body::ForwardReply(reply) => {
                        self.handle_forward_reply(ctx, &from, incarnation, reply);
                    }
                    _ => {}
                }
            }
            Event::Settings(settings) => self.apply_settings(ctx, settings),
            Event::Adopt(adoption) => self.adopt(ctx, &adoption),
            Event::Drain => {
                self.draining = true;
                ctx.state(StateChange::Draining);
            }
            Event::Tick => self.tick(ctx),
            Event::Listed(_)
            | Event::Superseded
            | Event::HoldersRead(_)
            | Event::TookOver { .. }
            | Event::Fenced { .. }
            | Event::Renewed(_)
            | Event::Platform { .. } => {}
        }
    }

    /// Returns the version of the settings in force, or 0 if there are none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.settings.as_ref().map_or(0, |settings| settings.version())
    }

    /// Returns the settings for the shard itself.
    pub(crate) fn local(&self) -> Arc<Values> {
        self.settings
            .as_ref()
            .map_or_else(|| Arc::new(Values::default()), |settings| Arc::clone(settings.local()))
    }

    fn apply_settings(&mut self, ctx: &mut Context, settings: Arc<ActiveSettings>) {
        let before = self.version();
        if settings.version() > before {
            ctx.state(StateChange::SettingsInForce(settings.version()));
            self.queue.set_fair(settings.local().fair_enabled);
            self.queue.unblock();
            self.settings = Some(settings);
            self.refuse_stranded(ctx);
        }
        ctx.check(self.version() >= before, "the settings version never decreases");
    }

    fn forget_expired(&mut self, submission: &JobSubmission) {
        if let Some(settings) = &self.settings {
            self.retention.forget_expired(submission.wall, settings.local().keys_remember);
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        while let Some(timer) = self.timers.pop(ctx.now) {
            match timer {
                Timer::Deadline(no) => self.give_up(ctx, no, Code::Deadline),
                Timer::Waiter(waiter) => self.wait_timed_out(ctx, waiter),
                Timer::StatusQuery(attempt) => self.query_due(ctx, attempt),
                Timer::Retry(no, index) => self.retry_due(ctx.now, no, index),
                Timer::EarlyRequest(no) => self.early_timed_out(ctx, no),
                Timer::Forward(request) => self.forward_timed_out(ctx, request),
            }
        }
        self.refuse_stranded(ctx);
        self.spend_budget(ctx.now);
        self.retention.expire(ctx.now);
        self.queue.unblock();
    }

    fn report_drained(&mut self, ctx: &mut Context) {
        let idle = self.attempts.is_empty() && self.jobs.is_empty() && self.forwards.is_empty();
        if self.draining && !self.drained && idle {
            self.drained = true;
            ctx.push(Command::Drained);
        }
    }

    /// Returns whether an unfinished job has the key and the body of `spec`.
    #[must_use]
    pub fn contains_job(&self, spec: &JobSpec) -> bool {
        let no = self.jobs.find(&spec.key);
        no.and_then(|no| self.jobs.get(no)).is_some_and(|job| job.spec.digest == spec.digest)
    }

    /// Returns the prerequisites for serving that are not met yet, sorted.
    #[must_use]
    pub fn missing(&self) -> Vec<Prerequisite> {
        self.cluster.missing()
    }

    /// Iterates over the instances with which this shard expects to exchange messages.
    pub fn peer_instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.cluster.peer_instances()
    }

    /// Returns the number of tasks that wait for a slot.
    #[must_use]
    pub const fn waiting(&self) -> u64 {
        self.queue.waiting()
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the memory used by retained answers, in bytes.
    #[must_use]
    pub const fn retained_bytes(&self) -> u64 {
        self.retention.size()
    }
}
