//! Rows that are to be written, and rows that are held.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender};
use cranberryhatch_core::{Answer, ClaimOutcome, Code, JobSpec, Outcome};
use cranberryhatch_types::{ClaimNo, Holder, JobKey, Span, Time};

use super::{EndRow, Entry, Want};

/// Parts of the index; each is a sorted vector, and small parts are cheap to insert into.
const PARTS: usize = 1_024;
/// Claims that may wait to be written; a shard's job is refused beyond it.
const CLAIMS_LIMIT: usize = 20_000;
/// Records that may wait to be written; further ones are dropped and counted.
const RECORDS_LIMIT: usize = 50_000;
/// Time after which a claim is given up on the caller's behalf.
const CLAIM_LIMIT: Span = Span::from_secs(3);

/// Result of a claim that a shard is to be told: key, number of the claim, outcome.
pub type Notice = (JobKey, ClaimNo, ClaimOutcome);

/// Rows by key, and the keys of those to be written.
pub struct Backlog {
    state: Mutex<State>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

struct State {
    parts: Vec<Vec<(JobKey, Entry)>>,
    claims: VecDeque<JobKey>,
    records: VecDeque<JobKey>,
    /// Claims in the order in which shards asked for them.
    asked: VecDeque<(Time, ClaimNo, JobKey)>,
    dropped: u64,
    abandoned: bool,
}

impl Default for Backlog {
    fn default() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let state = State {
            parts: vec![Vec::new(); PARTS],
            claims: VecDeque::new(),
            records: VecDeque::new(),
            asked: VecDeque::new(),
            dropped: 0,
            abandoned: false,
        };
        Self { state: Mutex::new(state), wake, woken }
    }
}

impl Backlog {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        // A full channel means that the writer is woken already.
        let _ = self.wake.try_send(());
    }

    /// Claims a key for a job; the result is given at once only when too many claims wait.
    #[must_use]
    pub fn claim(&self, number: ClaimNo, spec: &Arc<JobSpec>, now: Time) -> Option<Notice> {
        let refused = self.state().claim(number, spec, now);
        self.wake();
        refused.then(|| (spec.key.clone(), number, ClaimOutcome::Unavailable))
    }

    /// Records that a job under an issued key was admitted.
    pub fn admit(&self, spec: &Arc<JobSpec>) {
        self.state().admit(spec);
        self.wake();
    }

    /// Records how a job ended; `limit` is the size of answers that are kept in the row.
    pub fn record(&self, spec: &Arc<JobSpec>, answer: &Answer, limit: u64) {
        self.state().record(spec, answer, limit);
        self.wake();
    }

    /// Removes the claim of a job that did not run.
    pub fn release(&self, key: &JobKey) {
        self.state().want(key, Want::Gone);
        self.wake();
    }

    /// Takes over a stored row of a holder that is gone, so that its end can be recorded.
    ///
    /// The row keeps the name of the holder that wrote it.
    pub fn adopt(&self, spec: &Arc<JobSpec>, holder: &Holder, version: u64) {
        let mut entry = Entry::new(Arc::clone(spec), None);
        entry.holder = Some(holder.clone());
        entry.version = Some(version);
        entry.spec = None;
        self.state().insert(spec.key.clone(), entry);
    }

    /// Leaves all rows as they are from now on, because another holder took them over.
    pub fn abandon(&self) {
        let mut state = self.state();
        state.abandoned = true;
        state.parts.iter_mut().for_each(Vec::clear);
        state.claims.clear();
        state.records.clear();
        state.asked.clear();
        drop(state);
        self.wake();
    }

    /// Waits until there may be something to write.
    pub async fn wait(&self) {
        // The channel lives as long as this value.
        let _ = self.woken.recv().await;
    }

    /// Rows that wait to be written: claims and records.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        let state = self.state();
        (state.claims.len(), state.records.len())
    }

    /// Number of records dropped since the last call.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.state().dropped)
    }

    /// Takes the next rows to be written, claims first.
    #[must_use]
    pub fn take(&self, limit: usize) -> Vec<(JobKey, Entry)> {
        let mut state = self.state();
        let mut group = Vec::new();
        while group.len() < limit {
            let next = state.claims.pop_front().or_else(|| state.records.pop_front());
            let Some(key) = next else { break };
            if let Some(entry) = state.start_write(&key) {
                group.push((key, entry));
            }
        }
        group
    }

    /// The rows of a group were stored with a version.
    #[must_use]
    pub fn written(&self, group: &[(JobKey, Entry)], version: u64) -> Vec<Notice> {
        let mut state = self.state();
        let notices = group
            .iter()
            .filter_map(|(key, entry)| state.stored(key, &entry.want, version))
            .collect();
        drop(state);
        self.wake();
        notices
    }

    /// A row of a group was not written because of another row's condition.
    pub fn unwritten(&self, key: &JobKey) {
        self.state().unwritten(key);
        self.wake();
    }

    /// The condition of a row did not hold; `outcome` is for a shard that waits for its claim.
    #[must_use]
    pub fn refused(&self, key: &JobKey, outcome: ClaimOutcome) -> Option<Notice> {
        let notice = self.state().refused(key, outcome);
        self.wake();
        notice
    }

    /// Gives up claims that have waited too long, and every claim when `all` is set.
    #[must_use]
    pub fn give_up(&self, now: Time, all: bool) -> Vec<Notice> {
        let notices = self.state().give_up(now, all);
        if !notices.is_empty() {
            self.wake();
        }
        notices
    }
}

impl State {
    fn part(&mut self, key: &JobKey) -> &mut Vec<(JobKey, Entry)> {
        &mut self.parts[part_of(key)]
    }

    fn get(&mut self, key: &JobKey) -> Option<&mut Entry> {
        let part = self.part(key);
        let place = part.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        Some(&mut part[place].1)
    }

    fn insert(&mut self, key: JobKey, entry: Entry) {
        if self.abandoned {
            return;
        }
        let part = self.part(&key);
        match part.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(place) => part[place].1 = entry,
            Err(place) => part.insert(place, (key, entry)),
        }
    }

    fn remove(&mut self, key: &JobKey) -> Option<Entry> {
        let part = self.part(key);
        let place = part.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        Some(part.remove(place).1)
    }

    fn claim(&mut self, number: ClaimNo, spec: &Arc<JobSpec>, now: Time) -> bool {
        if self.abandoned || self.claims.len() >= CLAIMS_LIMIT {
            return true;
        }
        self.asked.push_back((now, number, spec.key.clone()));
        if let Some(entry) = self.get(&spec.key) {
            // The row of an earlier claim that was given up has to go first.
            entry.next = Some((Arc::clone(spec), number));
            return false;
        }
        self.insert(spec.key.clone(), Entry::new(Arc::clone(spec), Some(number)));
        self.queue(&spec.key, true);
        false
    }

    fn admit(&mut self, spec: &Arc<JobSpec>) {
        if self.abandoned {
            return;
        }
        if self.records.len() >= RECORDS_LIMIT {
            self.dropped += 1;
            return;
        }
        if self.get(&spec.key).is_none() {
            self.insert(spec.key.clone(), Entry::new(Arc::clone(spec), None));
            self.queue(&spec.key, false);
        }
    }

    fn record(&mut self, spec: &Arc<JobSpec>, answer: &Answer, limit: u64) {
        let want = match (answer.outcome, answer.code) {
            // A late copy of a cancelled submission must find that it was cancelled.
            (Outcome::NotRun, Some(Code::Cancelled)) => Want::Ended(EndRow::new(answer, limit)),
            // Nothing ran, so the key is free again.
            (Outcome::NotRun, _) => Want::Gone,
            _ => Want::Ended(EndRow::new(answer, limit)),
        };
        self.want(&spec.key, want);
    }

    fn want(&mut self, key: &JobKey, want: Want) {
        let full = self.records.len() >= RECORDS_LIMIT;
        let Some(entry) = self.get(key) else { return };
        if entry.want == Want::Gone {
            return;
        }
        entry.want = want;
        entry.asked = None;
        if entry.flying || entry.queued {
            return;
        }
        if full {
            // The row stays as it is; a successor settles the job with the endpoints.
            self.dropped += 1;
            self.remove(key);
            return;
        }
        self.queue(key, false);
    }

    fn queue(&mut self, key: &JobKey, claim: bool) {
        let Some(entry) = self.get(key) else { return };
        if entry.flying || entry.queued {
            return;
        }
        if !entry.is_dirty() {
            if entry.want == Want::Gone {
                self.finish(key);
            }
            return;
        }
        entry.queued = true;
        if claim {
            self.claims.push_back(key.clone());
        } else {
            self.records.push_back(key.clone());
        }
    }

    /// Forgets a row, and starts with a claim of the same key that came meanwhile.
    fn finish(&mut self, key: &JobKey) {
        let Some(entry) = self.remove(key) else { return };
        if let Some((spec, asked)) = entry.next {
            self.insert(key.clone(), Entry::new(spec, Some(asked)));
            self.queue(key, true);
        }
    }

    fn start_write(&mut self, key: &JobKey) -> Option<Entry> {
        let entry = self.get(key)?;
        entry.queued = false;
        if entry.is_dirty() {
            entry.flying = true;
            return Some(entry.clone());
        }
        if entry.want == Want::Gone {
            self.finish(key);
        }
        None
    }

    fn stored(&mut self, key: &JobKey, wrote: &Want, version: u64) -> Option<Notice> {
        let entry = self.get(key)?;
        entry.flying = false;
        match wrote {
            Want::Open => {
                entry.version = Some(version);
                entry.spec = None;
                let granted =
                    entry.asked.take().map(|number| (key.clone(), number, ClaimOutcome::Granted));
                self.queue(key, false);
                granted
            }
            Want::Ended(_) | Want::Gone => {
                self.finish(key);
                None
            }
        }
    }

    fn unwritten(&mut self, key: &JobKey) {
        let Some(entry) = self.get(key) else { return };
        entry.flying = false;
        let claim = entry.asked.is_some();
        self.queue(key, claim);
    }

    fn refused(&mut self, key: &JobKey, outcome: ClaimOutcome) -> Option<Notice> {
        let entry = self.get(key)?;
        let notice = entry.asked.map(|number| (key.clone(), number, outcome));
        self.finish(key);
        notice
    }

    fn give_up(&mut self, now: Time, all: bool) -> Vec<Notice> {
        let mut late = Vec::new();
        while let Some((asked, number, key)) = self.asked.front() {
            if !all && now.since(*asked) < CLAIM_LIMIT {
                break;
            }
            let (number, key) = (*number, key.clone());
            self.asked.pop_front();
            let Some(entry) = self.get(&key) else { continue };
            if entry.asked == Some(number) {
                entry.asked = None;
                entry.want = Want::Gone;
                late.push((key, number, ClaimOutcome::Unavailable));
            } else if entry.next.as_ref().is_some_and(|(_, next)| *next == number) {
                entry.next = None;
                late.push((key, number, ClaimOutcome::Unavailable));
            }
        }
        late
    }
}

// FNV-1a; only the spread matters, because the parts are sorted vectors.
fn part_of(key: &JobKey) -> usize {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in key.name.to_string().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    usize::try_from(hash >> 32).unwrap_or(0) % PARTS
}
