//! Writes groups of claims and records, one write at a time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Receiver;
use cranberryhatch_core::{ClaimOutcome, Event};
use cranberryhatch_store::{Conflict, Expect, Op, Txn, TxnResult};
use cranberryhatch_types::{Holder, JobKey, Span, Time};
use smol::{Timer, future::FutureExt};

use super::{Backlog, ClaimRow, Entry, Notice, StoredJob, TABLE, Want};
use crate::{
    clock::Clock,
    peers::Roster,
    reach::Store,
    settings_store::SettingsStore,
    shards::Shards,
    telemetry::{IoCounter, IoTimer, Metrics},
};

/// Largest body of one write, in bytes; a larger group is split.
const WRITE_LIMIT: usize = 1 << 20;
/// Time for which records wait for claims to share a write with.
const LINGER: Duration = Duration::from_millis(50);
/// Time between two attempts at a write that failed.
const RETRY: Duration = Duration::from_millis(100);
/// Time between two looks for claims that have waited too long.
const LOOK: Duration = Duration::from_millis(100);
/// Time allowed for writing what is left when the instance stops.
const FLUSH: Duration = Duration::from_secs(5);
/// Time without heartbeat after which a holder is not regarded as live.
const HOLDER_SILENCE: Span = Span::from_secs(2);

/// Writes claims and records.
pub struct Writer {
    /// This life of the instance.
    pub holder: Holder,
    /// Clock of the process.
    pub clock: Clock,
    /// The platform.
    pub store: Store,
    /// Rows to be written.
    pub backlog: Arc<Backlog>,
    /// Settings in force.
    pub settings: Arc<SettingsStore>,
    /// Heartbeats of peers.
    pub roster: Arc<Roster>,
    /// The shards.
    pub shards: Arc<Shards>,
    /// Number of live entry instances in the platform's list.
    pub instances: Arc<AtomicU64>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// One write: its rows, and the object that has to be stored before them.
struct Group {
    rows: Vec<(JobKey, Entry)>,
    txn: Txn,
    object: Option<(String, Vec<u8>)>,
}

impl Writer {
    /// Writes until `stop` is closed, then what is left within a bounded time; tells whether
    /// everything is written.
    pub async fn run(&self, stop: Receiver<()>) -> bool {
        let mut number = 0_u64;
        let mut last = Instant::now() - Duration::from_secs(1);
        loop {
            self.wait_for_work(&stop).await;
            let stopping = stop.is_closed();
            let (claims, records) = self.backlog.waiting();
            if claims + records == 0 {
                if stopping {
                    return true;
                }
                continue;
            }
            self.pace(last).await;
            last = Instant::now();
            number += 1;
            let Some(group) = self.next_group(number) else { continue };
            if !self.settle(&group, &stop).await {
                return false;
            }
        }
    }

    /// Gives up claims that wait too long, until the task is cancelled.
    pub async fn watch(&self) {
        loop {
            Timer::after(LOOK).await;
            self.tell(self.backlog.give_up(self.clock.now(), false));
        }
    }

    async fn wait_for_work(&self, stop: &Receiver<()>) {
        let stopped = async {
            let _ = stop.recv().await;
        };
        match self.backlog.waiting() {
            (0, 0) => self.backlog.wait().or(stopped).await,
            (0, _) => {
                let linger = async {
                    Timer::after(LINGER).await;
                };
                let claimed = async {
                    while self.backlog.waiting().0 == 0 {
                        self.backlog.wait().await;
                    }
                };
                linger.or(claimed).or(stopped).await;
            }
            _ => {}
        }
    }

    /// Waits until the instance's share of the fleet's write budget allows the next write.
    async fn pace(&self, last: Instant) {
        let rate = self.settings.current().map_or(300, |c| c.settings.local().claims_writes.get());
        let instances = self.instances.load(Ordering::Relaxed).max(1);
        let interval =
            Duration::from_secs(1).mul_f64(instances.min(1_000) as f64 / f64::from(rate.max(1)));
        Timer::at(last + interval).await;
    }

    fn next_group(&self, number: u64) -> Option<Group> {
        let (limit, inline) = self.settings.current().map_or((256, 4_096), |current| {
            let values = current.settings.local();
            (values.claims_group.get(), values.claims_inline.get())
        });
        let taken = self.backlog.take(usize::try_from(limit).unwrap_or(256));
        let mut group = Group {
            rows: Vec::with_capacity(taken.len()),
            txn: Txn { id: format!("{}/c{number}", self.holder), ops: Vec::new() },
            object: None,
        };
        let object =
            format!("claims-{}-{}-{number}", self.holder.instance, self.holder.incarnation);
        let mut size = 0;
        for (key, entry) in taken {
            if size >= WRITE_LIMIT {
                self.backlog.unwritten(&key);
                continue;
            }
            let (op, bytes) = self.op(&key, &entry, inline, &object, &mut group.object);
            size += bytes;
            group.txn.ops.push(op);
            group.rows.push((key, entry));
        }
        (!group.rows.is_empty()).then_some(group)
    }

    fn op(
        &self,
        key: &JobKey,
        entry: &Entry,
        inline: u64,
        name: &str,
        object: &mut Option<(String, Vec<u8>)>,
    ) -> (Op, usize) {
        let expect = entry.version.map_or(Expect::Absent, Expect::Version);
        let op = Op::new(TABLE, key.to_string(), expect);
        let deadline = self.clock.to_wall(entry.deadline).as_ms();
        let holder = entry.holder.as_ref().unwrap_or(&self.holder);
        let mut row = ClaimRow::open(holder, &entry.digest, deadline);
        match &entry.want {
            Want::Gone => return (op, 0),
            Want::Ended(end) => row.end = Some(end.clone()),
            Want::Open => {
                let body = entry.spec.as_ref().map(|spec| StoredJob::from(&**spec));
                let body = body.and_then(|body| serde_json::to_string(&body).ok());
                match body {
                    Some(body) if body.len() as u64 <= inline => row.body = Some(body),
                    Some(body) => {
                        let (name, bytes) =
                            object.get_or_insert_with(|| (name.to_owned(), Vec::new()));
                        row.object = Some(name.clone());
                        row.offset = bytes.len();
                        row.length = body.len();
                        bytes.extend_from_slice(body.as_bytes());
                    }
                    None => {}
                }
            }
        }
        let value = serde_json::to_value(&row).unwrap_or_default();
        let size = row.body.as_ref().map_or(0, String::len) + row.length + 200;
        (op.put(value), size)
    }

    /// Repeats a write until its result is known; `false` when the instance stops before that.
    async fn settle(&self, group: &Group, stop: &Receiver<()>) -> bool {
        let start = Instant::now();
        let mut stored = group.object.is_none();
        let mut flush: Option<Instant> = None;
        loop {
            if let Some((name, bytes)) = &group.object
                && !stored
            {
                stored = self.store.put_object(name, bytes.clone().into()).await.is_ok();
            }
            let result = if stored { self.store.attempt(&group.txn).await.ok() } else { None };
            if let Some(result) = result {
                self.metrics.count_io(IoCounter::ClaimWrites, 1);
                self.metrics.count_io(IoCounter::ClaimRows, group.rows.len() as u64);
                self.metrics.time(IoTimer::ClaimWrite, start.elapsed());
                match result {
                    TxnResult::Written(version) => {
                        self.tell(self.backlog.written(&group.rows, version));
                    }
                    TxnResult::Conflicts(conflicts) => self.conflicts(group, &conflicts),
                }
                return true;
            }
            if stop.is_closed() {
                let end = *flush.get_or_insert_with(|| Instant::now() + FLUSH);
                if Instant::now() >= end {
                    return false;
                }
            }
            Timer::after(RETRY).await;
        }
    }

    fn conflicts(&self, group: &Group, conflicts: &[Conflict]) {
        let mut notices = Vec::new();
        for (index, (key, _)) in group.rows.iter().enumerate() {
            match conflicts.iter().find(|conflict| conflict.index == index) {
                Some(conflict) => {
                    notices.extend(self.backlog.refused(key, self.held(key, conflict)));
                }
                None => self.backlog.unwritten(key),
            }
        }
        self.tell(notices);
    }

    fn held(&self, key: &JobKey, conflict: &Conflict) -> ClaimOutcome {
        let row = conflict.row.as_ref().and_then(|row| ClaimRow::read(&row.value));
        let Some(row) = row else { return ClaimOutcome::Unavailable };
        let (Some(holder), Some(digest)) = (row.holder(), row.digest_bytes()) else {
            return ClaimOutcome::Unavailable;
        };
        let live = self.roster.is_live(&holder, self.clock.now(), HOLDER_SILENCE);
        let answer = row.end.as_ref().and_then(|end| recorded(key, end, live));
        ClaimOutcome::Held { holder, digest, answer: answer.map(Box::new) }
    }

    fn tell(&self, notices: Vec<Notice>) {
        for (key, number, outcome) in notices {
            self.shards.send(self.shards.of(&key), Event::Claimed { key, number, outcome });
        }
    }
}

/// The recorded answer; a live holder may still have the results that the record lacks.
fn recorded(key: &JobKey, end: &super::EndRow, live: bool) -> Option<cranberryhatch_core::Answer> {
    use cranberryhatch_core::{Answer, Code, Outcome};
    let expired = || Answer::new(key.clone(), Outcome::Failed).code(Code::AnswerExpired);
    end.answer(key).or_else(|| (!live).then(expired))
}

/// The shard's time of a deadline in Unix time.
#[must_use]
pub(crate) fn shard_time(clock: Clock, deadline: u64) -> Time {
    clock.now() + Time::from_ms(deadline).since(clock.wall())
}
