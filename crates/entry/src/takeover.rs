//! Takes over the row and the unfinished jobs of a holder that is gone.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cranberryhatch_core::{Event, JobSpec};
use cranberryhatch_store::{Expect, Op, Scan, ScannedRow, Txn, TxnResult};
use cranberryhatch_types::{Holder, JobKey};
use serde::Deserialize;
use smol::Timer;

use crate::{
    claims::{self, Backlog, ClaimRow, StoredJob},
    clock::Clock,
    lease::{self, LeaseRow, oldest_key},
    reach::Store,
    settings_store::SettingsStore,
};

/// Rows read in one scan.
const PAGE: usize = 1_000;
/// Attempts at a call to the platform before the takeover is given up.
const ATTEMPTS: u32 = 20;
/// Time between two attempts.
const RETRY: Duration = Duration::from_millis(250);

/// Takes over holders that are gone.
pub struct Takeover {
    /// This life of the instance.
    pub holder: Holder,
    /// Clock of the process.
    pub clock: Clock,
    /// The platform.
    pub store: Store,
    /// Rows of jobs that are taken over, so that their end is recorded.
    pub backlog: Arc<Backlog>,
    /// Settings in force, for the age of keys.
    pub settings: Arc<SettingsStore>,
}

impl Takeover {
    /// Takes over a holder whose row has a version, and gives the event for the shard that asked.
    pub async fn run(&self, gone: Holder, version: u64) -> Event {
        let jobs = match self.take_row(&gone, version).await {
            Some(()) => self.unfinished(&gone).await,
            None => None,
        };
        Event::TookOver { holder: gone, jobs }
    }

    async fn take_row(&self, gone: &Holder, version: u64) -> Option<()> {
        let name = lease::row_name(gone);
        let row = self.store.read(std::slice::from_ref(&name)).await.ok()?.pop()??;
        let mut value = LeaseRow::deserialize(&row.value).ok()?;
        if value.taken.last() == Some(&self.holder) {
            // An earlier try of this holder took effect although its answer was lost.
            return Some(());
        }
        if row.version != version {
            return None;
        }
        value.taken.push(self.holder.clone());
        let value = serde_json::to_value(value).ok()?;
        let op = Op::new(name.0, name.1, Expect::Version(version)).put(value);
        let txn = Txn { id: format!("{}/t{gone}/{version}", self.holder), ops: vec![op] };
        for _ in 0..ATTEMPTS {
            match self.store.attempt(&txn).await {
                Ok(TxnResult::Written(_)) => return Some(()),
                Ok(TxnResult::Conflicts(_)) => return None,
                Err(_) => {
                    Timer::after(RETRY).await;
                }
            }
        }
        None
    }

    async fn unfinished(&self, gone: &Holder) -> Option<Vec<Arc<JobSpec>>> {
        let current = self.settings.current()?;
        let mut jobs = Vec::new();
        let mut object = None;
        for team in current.tokens.team_ids() {
            let prefix = format!("{team}/");
            let oldest = oldest_key(self.clock, &self.settings);
            // Keys start with their time, so the rows of expired keys are passed over.
            let mut after = format!("{prefix}{oldest}");
            loop {
                let rows = self.page(&prefix, &after).await?;
                let Some(last) = rows.last() else { break };
                after.clone_from(&last.key);
                for row in &rows {
                    if let Some(job) = self.job(gone, row, &mut object).await? {
                        jobs.push(job);
                    }
                }
            }
        }
        Some(jobs)
    }

    async fn page(&self, prefix: &str, after: &str) -> Option<Vec<ScannedRow>> {
        let scan = Scan {
            table: claims::TABLE.to_owned(),
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit: PAGE,
        };
        for _ in 0..ATTEMPTS {
            if let Ok(rows) = self.store.scan(&scan).await {
                return Some(rows);
            }
            Timer::after(RETRY).await;
        }
        None
    }

    /// The job of a row, if it is an unfinished one of the holder; none when the platform fails.
    async fn job(
        &self,
        gone: &Holder,
        row: &ScannedRow,
        object: &mut Option<(String, Bytes)>,
    ) -> Option<Option<Arc<JobSpec>>> {
        let Some(claim) = ClaimRow::read(&row.row.value) else { return Some(None) };
        if claim.end.is_some() || claim.holder() != Some(gone.clone()) {
            return Some(None);
        }
        let (Ok(key), Some(digest)) = (row.key.parse::<JobKey>(), claim.digest_bytes()) else {
            return Some(None);
        };
        let body = match (&claim.body, &claim.object) {
            (Some(body), _) => serde_json::from_str(body).ok(),
            (None, Some(name)) => {
                let bytes = self.load(name, object).await?;
                let part = bytes.get(claim.offset..claim.offset.saturating_add(claim.length));
                part.and_then(|part| serde_json::from_slice(part).ok())
            }
            (None, None) => None,
        };
        let Some(body): Option<StoredJob> = body else {
            log::error!(key = row.key.as_str(); "body of a claim cannot be read");
            return Some(None);
        };
        let deadline = claims::shard_time(self.clock, claim.deadline);
        let spec = Arc::new(body.into_spec(key, digest, deadline));
        self.backlog.adopt(&spec, gone, row.row.version);
        Some(Some(spec))
    }

    /// Content of an object; neighbouring rows mostly share one.
    async fn load(&self, name: &str, last: &mut Option<(String, Bytes)>) -> Option<Bytes> {
        if let Some((known, bytes)) = last
            && known == name
        {
            return Some(bytes.clone());
        }
        for _ in 0..ATTEMPTS {
            if let Ok(found) = self.store.object(name).await {
                let bytes = found.unwrap_or_default();
                *last = Some((name.to_owned(), bytes.clone()));
                return Some(bytes);
            }
            Timer::after(RETRY).await;
        }
        None
    }
}
