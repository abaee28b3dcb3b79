//! Queue of tasks that wait for a slot, fair between teams.

use std::collections::VecDeque;

use cranberryhatch_types::{Span, TeamId};

use crate::{JobNo, Need};

/// Run time credited to a team of weight 1 in each round.
const QUANTUM_MS: u64 = 100;
/// Maximum run time charged for one task; limits the number of rounds until a task is served.
const COST_LIMIT_MS: u64 = 10_000;
/// Number of entries of a lane that are examined when the first one's task fits no slot.
const LOOK_AHEAD: usize = 8;
/// Number of removed entries above which a lane may be compacted.
const MAX_GAPS: usize = 64;

/// Index of a team's lane in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneNo(u32);

/// A job with waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The job.
    pub job: JobNo,
    /// Resource need of its next task.
    pub need: Need,
    /// Expected run time of a task.
    pub run: Span,
    /// Number of its waiting tasks.
    pub tasks: u32,
}

/// The task to be started next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The team's lane.
    pub lane: LaneNo,
    /// Its job.
    pub job: JobNo,
    /// Position of the job in the lane.
    pos: usize,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    weight: u64,
    // Run time in milliseconds that the team may still use in this round.
    credit: u64,
    over_quota: bool,
    // Sorted by job. A removed job stays as an entry without tasks until it reaches the front.
    entries: VecDeque<QueueEntry>,
    // Number of entries without tasks.
    gaps: usize,
    // Expected run time of all waiting tasks in milliseconds.
    work: u64,
}

/// Jobs with waiting tasks, in one lane per team.
///
/// Teams are served by deficit round robin: each round credits a team with run time in proportion
/// to its weight, and a task costs its expected run time. A team over its quota is skipped until
/// [`FairQueue::unblock`] or until one of its slots is released. A need that found no slot is
/// skipped, together with all larger needs, until [`FairQueue::slot_freed`].
///
/// ```
/// use cranberryhatch_core::{FairQueue, JobNo, Need, QueueEntry};
/// use cranberryhatch_types::Span;
///
/// let mut queue = FairQueue::default();
/// let lane = queue.lane(&"script".parse().unwrap(), 10);
/// let run = Span::from_ms(300);
/// queue.push(lane, QueueEntry { job: JobNo(1), need: Need::default(), run, tasks: 1 });
/// let pick = queue.pick().unwrap();
/// assert_eq!(pick.job, JobNo(1));
/// queue.started(pick, None);
/// assert!(queue.pick().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue {
    lanes: Vec<Lane>,
    // Number of waiting tasks by lane, as passed to the cluster.
    counts: Vec<(TeamId, u32)>,
    // Indexes of the lanes, sorted by team.
    order: Vec<u32>,
    // Lane being served, and whether it was credited in this round.
    cursor: usize,
    served: bool,
    fair: bool,
    // Whether `counts` changed since the last call of `take_changes`.
    changed: bool,
    waiting: u64,
    // Distinct needs of the jobs' next tasks, with the number of jobs.
    needs: Vec<(Need, u32)>,
    // Needs that found no slot since the last one was released.
    unmet: Vec<Need>,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            lanes: Vec::new(),
            counts: Vec::new(),
            order: Vec::new(),
            cursor: 0,
            served: false,
            fair: true,
            changed: false,
            waiting: 0,
            needs: Vec::new(),
            unmet: Vec::new(),
        }
    }
}

impl FairQueue {
    /// Returns the lane of a team and sets the team's weight.
    pub fn lane(&mut self, team: &TeamId, weight: u32) -> LaneNo {
        let pos = self.order.binary_search_by(|no| self.counts[*no as usize].0.cmp(team));
        let no = match pos {
            Ok(pos) => self.order[pos],
            Err(pos) => {
                let no = u32::try_from(self.lanes.len()).unwrap_or(u32::MAX);
                self.order.insert(pos, no);
                self.counts.push((team.clone(), 0));
                self.lanes.push(Lane::default());
                no
            }
        };
        self.lanes[no as usize].weight = u64::from(weight.max(1));
        LaneNo(no)
    }

    /// Selects between fair sharing among teams and serving jobs in order of arrival.
    pub fn set_fair(&mut self, fair: bool) {
        self.fair = fair;
    }

    /// Adds waiting tasks of a job; a team's jobs are ordered by number.
    pub fn push(&mut self, lane: LaneNo, entry: QueueEntry) {
        if entry.tasks == 0 {
            return;
        }
        self.update_count(lane, u64::from(entry.tasks), 0);
        let own = &mut self.lanes[lane.0 as usize];
        own.work += cost(&entry) * u64::from(entry.tasks);
        // Jobs mostly arrive in order, so the end of a long lane is tried first.
        let pos = match own.entries.back() {
            Some(last) if last.job < entry.job => Err(own.entries.len()),
            _ => own.entries.binary_search_by_key(&entry.job, |other| other.job),
        };
        match pos {
            Ok(pos) => {
                let other = &mut own.entries[pos];
                let (tasks, need) = (other.tasks, other.need);
                *other = QueueEntry { tasks: tasks + entry.tasks, ..entry };
                if tasks == 0 {
                    own.gaps -= 1;
                } else {
                    self.forget_need(need);
                }
            }
            Err(pos) => own.entries.insert(pos, entry),
        }
        self.add_need(entry.need);
    }

    /// Removes all waiting tasks of a job.
    pub fn remove(&mut self, lane: LaneNo, job: JobNo) {
        let own = &mut self.lanes[lane.0 as usize];
        let Ok(pos) = own.entries.binary_search_by_key(&job, |entry| entry.job) else { return };
        let entry = own.entries[pos];
        if entry.tasks == 0 {
            return;
        }
        own.entries[pos].tasks = 0;
        own.gaps += 1;
        own.work -= cost(&entry) * u64::from(entry.tasks);
        self.forget_need(entry.need);
        self.update_count(lane, 0, u64::from(entry.tasks));
        self.compact(lane);
    }

    /// Returns the task to be started next, or `None` if no task can get a slot now.
    #[must_use]
    pub fn pick(&mut self) -> Option<Pick> {
        if self.is_stalled() {
            return None;
        }
        if self.fair { self.next_by_turn() } else { self.next_by_arrival() }
    }

    /// Removes a picked task that got a slot; `need` is that of the job's next waiting task.
    pub fn started(&mut self, pick: Pick, need: Option<Need>) {
        let lane = &mut self.lanes[pick.lane.0 as usize];
        let entry = &mut lane.entries[pick.pos];
        let (former, cost) = (entry.need, cost(entry));
        entry.tasks -= 1;
        lane.work -= cost;
        lane.credit = lane.credit.saturating_sub(cost);
        let left = entry.tasks;
        if left == 0 {
            lane.gaps += 1;
        } else if let Some(need) = need {
            entry.need = need;
        }
        self.update_count(pick.lane, 0, 1);
        match need {
            Some(need) if left > 0 && need == former => {}
            Some(need) if left > 0 => {
                self.forget_need(former);
                self.add_need(need);
            }
            _ => self.forget_need(former),
        }
        self.compact(pick.lane);
    }

    /// Records that no slot fits a need now.
    pub fn no_slot(&mut self, need: Need) {
        self.unmet.retain(|other| !within(&need, other));
        self.unmet.push(need);
    }

    /// Records that the quota of a lane's team is exhausted.
    pub fn over_quota(&mut self, lane: LaneNo) {
        self.lanes[lane.0 as usize].over_quota = true;
    }

    /// Records that a slot used by a team was released.
    pub fn slot_freed(&mut self, team: &TeamId) {
        self.unmet.clear();
        let pos = self.order.binary_search_by(|no| self.counts[*no as usize].0.cmp(team));
        if let Ok(pos) = pos {
            self.lanes[self.order[pos] as usize].over_quota = false;
        }
    }

    /// Makes all tasks eligible again after slots or quotas may have changed.
    pub fn unblock(&mut self) {
        self.unmet.clear();
        for lane in &mut self.lanes {
            lane.over_quota = false;
        }
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub const fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Returns whether a task with a need found no slot since the last one was released.
    #[must_use]
    pub fn is_unmet(&self, need: &Need) -> bool {
        self.unmet.iter().any(|unmet| within(unmet, need))
    }

    /// Returns the expected total run time of the waiting tasks ahead of a new one of a team.
    ///
    /// A team waits for its own tasks while the others get their shares by weight, but never for
    /// more than all waiting tasks.
    #[must_use]
    pub fn work_ahead(&self, lane: LaneNo) -> Span {
        let all: u64 = self.lanes.iter().map(|lane| lane.work).sum();
        if !self.fair {
            return Span::from_ms(all);
        }
        let own = &self.lanes[lane.0 as usize];
        let others = self.lanes.iter().enumerate();
        let others = others.filter(|(no, other)| *no != lane.0 as usize && other.work > 0);
        let weights: u64 = own.weight + others.map(|(_, other)| other.weight).sum::<u64>();
        Span::from_ms(all.min(own.work.saturating_mul(weights) / own.weight))
    }

    /// Returns whether the number of waiting tasks of any team changed since the last call.
    pub fn take_changes(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of waiting tasks of every team that has ever had one.
    #[must_use]
    pub fn counts(&self) -> &[(TeamId, u32)] {
        &self.counts
    }

    fn is_stalled(&self) -> bool {
        self.needs.iter().all(|(need, _)| self.is_unmet(need))
    }

    fn candidate(&self, lane: usize) -> Option<usize> {
        let own = &self.lanes[lane];
        if own.over_quota {
            return None;
        }
        let mut jobs = own.entries.iter().enumerate().take(LOOK_AHEAD);
        let eligible = |entry: &QueueEntry| entry.tasks > 0 && !self.is_unmet(&entry.need);
        jobs.find(|(_, entry)| eligible(entry)).map(|(pos, _)| pos)
    }

    fn pick_at(&self, lane: usize, pos: usize) -> Pick {
        let no = LaneNo(u32::try_from(lane).unwrap_or(u32::MAX));
        Pick { lane: no, job: self.lanes[lane].entries[pos].job, pos }
    }

    fn next_by_arrival(&self) -> Option<Pick> {
        let picks = (0..self.lanes.len())
            .filter_map(|lane| Some(self.pick_at(lane, self.candidate(lane)?)));
        picks.min_by_key(|pick| pick.job)
    }

    fn next_by_turn(&mut self) -> Option<Pick> {
        let mut idle = 0;
        while idle < self.lanes.len() {
            let lane = self.cursor;
            if let Some(pos) = self.candidate(lane) {
                idle = 0;
                let own = &mut self.lanes[lane];
                if !self.served {
                    own.credit += own.weight * QUANTUM_MS;
                    self.served = true;
                }
                if own.credit >= cost(&own.entries[pos]) {
                    return Some(self.pick_at(lane, pos));
                }
            } else {
                idle += 1;
            }
            self.cursor = (lane + 1) % self.lanes.len();
            self.served = false;
        }
        None
    }

    fn update_count(&mut self, lane: LaneNo, more: u64, less: u64) {
        self.waiting = self.waiting + more - less;
        let count = &mut self.counts[lane.0 as usize].1;
        *count = u32::try_from(u64::from(*count) + more - less).unwrap_or(u32::MAX);
        self.changed = true;
    }

    fn compact(&mut self, lane: LaneNo) {
        let lane = &mut self.lanes[lane.0 as usize];
        while lane.entries.front().is_some_and(|entry| entry.tasks == 0) {
            lane.entries.pop_front();
            lane.gaps -= 1;
        }
        if lane.gaps > MAX_GAPS && lane.gaps * 2 > lane.entries.len() {
            lane.entries.retain(|entry| entry.tasks > 0);
            lane.gaps = 0;
        }
        if lane.entries.is_empty() {
            // A team without waiting tasks accumulates no credit.
            lane.credit = 0;
            // Frees memory after a burst.
            lane.entries.shrink_to(MAX_GAPS);
        }
    }

    fn add_need(&mut self, need: Need) {
        match self.needs.binary_search_by_key(&order(&need), |(other, _)| order(other)) {
            Ok(pos) => self.needs[pos].1 += 1,
            Err(pos) => self.needs.insert(pos, (need, 1)),
        }
    }

    fn forget_need(&mut self, need: Need) {
        let pos = self.needs.binary_search_by_key(&order(&need), |(other, _)| order(other));
        let Ok(pos) = pos else { return };
        self.needs[pos].1 -= 1;
        if self.needs[pos].1 == 0 {
            self.needs.remove(pos);
        }
    }
}

fn cost(entry: &QueueEntry) -> u64 {
    entry.run.as_ms().clamp(1, COST_LIMIT_MS)
}

const fn order(need: &Need) -> (u32, u64, u32) {
    (need.cores.get(), need.memory.get(), need.accels.get())
}

/// Returns whether a slot that fits `larger` also fits `need`.
fn within(need: &Need, larger: &Need) -> bool {
    need.cores <= larger.cores && need.memory <= larger.memory && need.accels <= larger.accels
}
