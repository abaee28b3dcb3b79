//! This life's row in the table of holders.
//!
//! Each life of an instance has a row of its own, named `instance/incarnation`. Its holder deletes it
//! after a planned stop; otherwise it stays, so that a successor can take it over.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use cranberryhatch_core::{Event, HolderRow};
use cranberryhatch_store::{Expect, Op, Platform, Row, RowName, Scan, ScannedRow, Txn, TxnResult};
use cranberryhatch_types::{Holder, Incarnation, InstanceId, Time, ZoneId};
use serde::{Deserialize, Serialize};
use smol::{Timer, future::FutureExt};

use crate::{clock::Clock, reach::Store, settings_store::SettingsStore, shards::Shards};

/// Table of holders.
pub const TABLE: &str = "holders";
/// Table of the last incarnation of each instance, which outlives the rows of its lives.
pub const INCARNATIONS: &str = "incarnations";
/// Time between two reads of all rows.
const READ: Duration = Duration::from_secs(1);
/// Time until a failed renewal is tried again.
const RETRY: Duration = Duration::from_millis(500);
/// Rows read in one scan; a deployment has a few dozen holders.
const ROWS: usize = 1_000;
/// Time allowed at the start for reading the last incarnation.
const START_LIMIT: Duration = Duration::from_secs(2);

/// Value of a holder's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Life of the instance.
    pub incarnation: Incarnation,
    /// Number of renewals.
    pub renewals: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Who took it over, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub taken: Vec<Holder>,
}

/// Keeps the row of this life.
pub struct Lease {
    /// This life of the instance.
    pub holder: Holder,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Clock of the process.
    pub clock: Clock,
    /// The platform.
    pub store: Store,
    /// Settings in force, for the length of the lease.
    pub settings: Arc<SettingsStore>,
    /// The shards.
    pub shards: Arc<Shards>,
}

/// Name of a holder's row.
#[must_use]
pub fn row_name(holder: &Holder) -> RowName {
    (TABLE.to_owned(), holder.to_string())
}

/// An incarnation larger than any earlier one that is known.
///
/// The wall clock alone does not do, because it may have stepped back since the last start.
pub async fn next_incarnation(
    platform: &Platform,
    instance: &InstanceId,
    clock: Clock,
    last: Option<Incarnation>,
) -> Incarnation {
    let expiry = async {
        Timer::after(START_LIMIT).await;
        None
    };
    let read = async {
        let name = (INCARNATIONS.to_owned(), instance.as_str().to_owned());
        let row = platform.read(&[name]).await.ok()?.pop()??;
        Incarnation::deserialize(&row.value).ok()
    };
    let stored = read.or(expiry).await;
    let floor = stored.max(last).map_or(0, |incarnation| incarnation.get() + 1);
    Incarnation::new(clock.wall().as_ms().max(floor))
}

/// What is known of the own row.
#[derive(Clone, Copy)]
enum Known {
    /// It was never stored, as far as is known.
    New,
    /// It may have any version of this life.
    Unread,
    /// It has this version.
    At(u64),
    /// It was taken over.
    Lost,
}

impl Lease {
    /// Renews the row until `stop` is closed, then deletes it.
    pub async fn run(&self, stop: Receiver<()>) {
        let mut known = Known::New;
        let mut writes = 0_u64;
        while !stop.is_closed() {
            let sent = self.clock.now();
            writes += 1;
            known = self.renew(known, writes).await;
            let pause = match known {
                Known::At(_) => {
                    self.shards.send_all(&Event::Renewed(sent));
                    Duration::from(self.settings.holder_lease()) / 3
                }
                Known::Lost => {
                    self.lose();
                    return;
                }
                Known::New | Known::Unread => RETRY,
            };
            let wait = async {
                Timer::after(pause.saturating_sub(self.clock.now().since(sent).into())).await;
            };
            let stopped = async {
                let _ = stop.recv().await;
            };
            wait.or(stopped).await;
        }
        if let Known::At(version) = known {
            let op = Op::new(TABLE, self.holder.to_string(), Expect::Version(version));
            let txn = Txn { id: format!("{}/h{}", self.holder, writes + 1), ops: vec![op] };
            // A row that stays is taken over by a peer, which finds no unfinished job.
            let _ = self.store.attempt(&txn).await;
        }
    }

    fn lose(&self) {
        log::error!(holder = self.holder.to_string().as_str(); "row taken over");
        self.shards.send_all(&Event::Superseded);
    }

    async fn renew(&self, known: Known, writes: u64) -> Known {
        let known = match known {
            Known::Unread => self.look().await,
            known => known,
        };
        let expect = match known {
            Known::At(version) => Expect::Version(version),
            Known::New => Expect::Absent,
            Known::Unread | Known::Lost => return known,
        };
        let value = LeaseRow {
            incarnation: self.holder.incarnation,
            renewals: writes,
            zone: self.zone.clone(),
            taken: Vec::new(),
        };
        let value = serde_json::to_value(value).unwrap_or_default();
        let mut ops = vec![Op::new(TABLE, self.holder.to_string(), expect).put(value)];
        if expect == Expect::Absent {
            let last = self.holder.incarnation.get().into();
            let instance = self.holder.instance.as_str();
            ops.push(Op::new(INCARNATIONS, instance, Expect::Any).put(last));
        }
        let txn = Txn { id: format!("{}/h{writes}", self.holder), ops };
        match self.store.attempt(&txn).await {
            Ok(TxnResult::Written(version)) => Known::At(version),
            Ok(TxnResult::Conflicts(mut conflicts)) => {
                self.judge(conflicts.pop().and_then(|conflict| conflict.row).as_ref(), known)
            }
            // The write may still take effect; the row is read before the next one.
            Err(error) if error.is_unsent() => known,
            Err(_) => Known::Unread,
        }
    }

    async fn look(&self) -> Known {
        match self.store.read(&[row_name(&self.holder)]).await {
            Ok(mut rows) => self.judge(rows.pop().flatten().as_ref(), Known::Unread),
            Err(_) => Known::Unread,
        }
    }

    fn judge(&self, row: Option<&Row>, before: Known) -> Known {
        let Some(row) = row else {
            // Only rows that were taken over are deleted by others.
            return if matches!(before, Known::At(_)) { Known::Lost } else { Known::New };
        };
        let taken = LeaseRow::deserialize(&row.value).is_ok_and(|value| !value.taken.is_empty());
        if taken { Known::Lost } else { Known::At(row.version) }
    }

    /// Reads the rows of all holders until the task is cancelled.
    pub async fn read_all(&self) {
        let scan = Scan {
            table: TABLE.to_owned(),
            prefix: String::new(),
            after: String::new(),
            limit: ROWS,
        };
        loop {
            if let Ok(rows) = self.store.scan(&scan).await {
                let rows = rows.iter().filter_map(holder_row).collect();
                self.shards.send(0, Event::HoldersRead(Arc::new(rows)));
            }
            Timer::after(READ).await;
        }
    }
}

fn holder_row(row: &ScannedRow) -> Option<HolderRow> {
    let value = LeaseRow::deserialize(&row.row.value).ok()?;
    Some(HolderRow {
        holder: row.key.parse().ok()?,
        renewals: value.renewals,
        zone: value.zone,
        version: row.row.version,
        successors: value.taken,
    })
}

/// Unix time before which no key of an unfinished job can have been made.
#[must_use]
pub(crate) fn oldest_key(clock: Clock, settings: &SettingsStore) -> Time {
    let remember = settings.current().map(|current| current.settings.local().keys_remember);
    remember.map_or(Time::ZERO, |remember| clock.wall() - remember)
}
