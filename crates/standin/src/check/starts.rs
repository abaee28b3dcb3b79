//! Rules about starts of tasks.

use crate::{
    Happening,
    check::{Evidence, Rule, Verb, Violation},
};

/// Starts and ends of tasks, sorted by task, without the numbers of attempts.
pub struct Starts {
    started: Vec<(String, u64, String)>,
    finished: Vec<String>,
}

impl Starts {
    /// Collects them.
    pub fn of(evidence: &Evidence) -> Self {
        let mut started = Vec::new();
        let mut finished = Vec::new();
        for entry in &evidence.entries {
            let task = entry.name.rsplit_once('/').map_or(entry.name.as_str(), |(task, _)| task);
            match entry.what {
                Happening::Started => started.push((task.to_owned(), entry.ms, entry.who.clone())),
                Happening::Finished => finished.push(task.to_owned()),
                _ => {}
            }
        }
        started.sort();
        finished.sort();
        Self { started, finished }
    }

    /// Starts of the tasks of a job.
    pub fn of_job(&self, key: &str) -> &[(String, u64, String)] {
        let prefix = format!("{key}/");
        let from = self.started.partition_point(|(task, ..)| *task < prefix);
        let count = self.started[from..].partition_point(|(task, ..)| task.starts_with(&prefix));
        &self.started[from..from + count]
    }

    /// Whether a task ran to its end.
    pub fn is_finished(&self, task: &str) -> bool {
        self.finished.binary_search_by(|known| known.as_str().cmp(task)).is_ok()
    }
}

/// Checks that no task starts twice and that only submitted jobs start.
pub fn check(evidence: &Evidence, starts: &Starts, found: &mut Vec<Violation>) {
    let submits = || evidence.calls().filter(|call| call.verb == Verb::Submit);
    let mut jobs: Vec<(&str, bool)> =
        submits().map(|call| (call.key.as_str(), call.idempotent)).collect();
    jobs.sort_unstable();
    for pair in starts.started.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let job = job_of(&pair[0].0);
        let place = jobs.partition_point(|(key, _)| *key < job);
        let idempotent = jobs.get(place).is_some_and(|(key, flag)| *key == job && *flag);
        let rule = if idempotent { Rule::StartedTwice } else { Rule::NonIdempotentTwice };
        let place = |(_, ms, worker): &(String, u64, String)| format!("{worker} at {ms}");
        let detail = format!("{} and {}", place(&pair[0]), place(&pair[1]));
        found.push(Violation::new(rule, &pair[0].0, detail));
    }
    for (task, _, worker) in &starts.started {
        if jobs.binary_search_by(|(key, _)| (*key).cmp(job_of(task))).is_err() {
            found.push(Violation::new(Rule::StartedUnasked, task, worker));
        }
    }
}

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}
