//! Figures of a run, from its records and journals.

use std::{collections::BTreeMap, fmt, path::Path};

use anyhow::Result;
use cranberryhatch_standin::{
    Happening,
    check::{Evidence, Reply, Rule, Verb, Violation, verdict},
};

/// Most broken rules that are printed.
const SHOWN: usize = 20;

/// Figures of a run, from its records and journals.
pub struct Report {
    evidence: Evidence,
    broken: Vec<Violation>,
}

impl Report {
    /// Reads what a run left and checks it.
    ///
    /// # Errors
    /// When a record or journal cannot be read.
    pub fn read(folder: &Path) -> Result<Self> {
        let evidence = Evidence::read(folder)?;
        let broken = verdict(&evidence);
        Ok(Self { evidence, broken })
    }

    /// Leaves out rules whose verdict depends on the speed of the machine.
    #[must_use]
    pub fn untimed(mut self) -> Self {
        self.broken.retain(|found| !found.rule.is_timed());
        self
    }

    /// The rules that were broken.
    #[must_use]
    pub fn broken(&self) -> &[Violation] {
        &self.broken
    }

    /// Tasks that started.
    #[must_use]
    pub fn starts(&self) -> usize {
        self.count(Happening::Started)
    }

    /// Starts beyond the first of a task.
    #[must_use]
    pub fn duplicates(&self) -> usize {
        let twice = [Rule::StartedTwice, Rule::NonIdempotentTwice];
        self.broken.iter().filter(|found| twice.contains(&found.rule)).count()
    }

    /// Answers to submissions by their outcome.
    #[must_use]
    pub fn answers(&self) -> Vec<(String, usize)> {
        let mut counts = BTreeMap::new();
        for call in self.evidence.calls().filter(|call| call.verb == Verb::Submit) {
            let name = match call.reply {
                Reply::Complete | Reply::Pending => call.reply.to_string(),
                Reply::Lost | Reply::Unsent => call.reply.to_string(),
                reply => format!("{reply} {}", call.code),
            };
            *counts.entry(name).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    /// Messages beyond one start for each task, by kind.
    #[must_use]
    pub fn wasted(&self) -> Vec<(String, usize)> {
        let mut counts = BTreeMap::new();
        for entry in &self.evidence.entries {
            let kind = match entry.what {
                Happening::Refused => format!("refused start, {}", entry.detail),
                Happening::Settled => format!("settle question, {}", entry.detail),
                Happening::Undelivered => "answer to a broken connection".to_owned(),
                _ => continue,
            };
            *counts.entry(kind).or_insert(0) += 1;
        }
        counts.into_iter().collect()
    }

    fn count(&self, what: Happening) -> usize {
        self.evidence.entries.iter().filter(|entry| entry.what == what).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts = self.starts();
        writeln!(f, "tasks started {starts}, duplicates {}", self.duplicates())?;
        writeln!(f, "answers to submissions:")?;
        for (name, count) in self.answers() {
            writeln!(f, "  {count:>7} {name}")?;
        }
        let wasted = self.wasted();
        let total: usize = wasted.iter().map(|(_, count)| count).sum();
        #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
        let share = total as f64 * 1_000.0 / starts.max(1) as f64;
        writeln!(f, "wasted messages {total}, {share:.2} per 1,000 tasks")?;
        for (name, count) in wasted {
            writeln!(f, "  {count:>7} {name}")?;
        }
        writeln!(f, "broken rules {}", self.broken.len())?;
        for found in self.broken.iter().take(SHOWN) {
            writeln!(f, "  {found}")?;
        }
        if self.broken.len() > SHOWN {
            writeln!(f, "  and {} more", self.broken.len() - SHOWN)?;
        }
        Ok(())
    }
}
