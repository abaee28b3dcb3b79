//! Operators that change settings at the same time.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use smol::{Executor, Task, Timer};

use crate::{Operator, Target, operator::Change};

/// Shortest time for which answers are kept in the settings that operators write, in seconds.
const FIRST_SECONDS: u64 = 600;

/// Attempts at a drain or a restore while others change the settings or an instance does not answer.
const ATTEMPTS: usize = 20;
/// Time between two attempts.
const AGAIN: Duration = Duration::from_millis(500);

/// Operators that change settings at the same time.
#[derive(Clone)]
pub struct Operators {
    operator: Operator,
    settings: Arc<str>,
    executor: Arc<Executor<'static>>,
    tasks: Arc<Mutex<Vec<Task<()>>>>,
    changes: Arc<Mutex<Vec<Change>>>,
    // Zones that every written tree drains, sorted.
    drained: Arc<Mutex<Vec<String>>>,
}

impl Operators {
    /// Operators that change the tree `settings`.
    #[must_use]
    pub fn new(operator: Operator, settings: &str, executor: Arc<Executor<'static>>) -> Self {
        Self {
            operator,
            settings: settings.into(),
            executor,
            tasks: Arc::default(),
            changes: Arc::default(),
            drained: Arc::default(),
        }
    }

    /// Lets one operator at each target change the settings, all at once; another `pick` gives
    /// other changes.
    pub fn race(&self, targets: &[Target], pick: usize) {
        for (number, target) in targets.iter().enumerate() {
            let (operators, target) = (self.clone(), target.clone());
            let seconds = FIRST_SECONDS + (pick * targets.len() + number) as u64;
            let change = async move {
                operators.change(number, &target, seconds).await;
            };
            self.spawn(change);
        }
    }

    /// Drains or restores a zone through the first target that accepts it.
    pub fn drain(&self, targets: Vec<Target>, zone: &str, drained: bool) {
        let mut zones = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        match zones.binary_search_by(|known| known.as_str().cmp(zone)) {
            Err(place) if drained => zones.insert(place, zone.to_owned()),
            Ok(place) if !drained => drop(zones.remove(place)),
            Ok(_) | Err(_) => {}
        }
        drop(zones);
        let operators = self.clone();
        self.spawn(async move {
            for target in targets.iter().cycle().take(ATTEMPTS) {
                let change = operators.change(0, target, FIRST_SECONDS).await;
                if matches!(change, Change::Accepted(_)) {
                    break;
                }
                Timer::after(AGAIN).await;
            }
        });
    }

    fn spawn(&self, change: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(change);
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
    }

    fn tree(&self, seconds: u64) -> String {
        let drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        let drains = drained.iter().map(|zone| format!("[zone {zone}]\nzone.drained = on\n"));
        let drains: String = drains.collect();
        format!("{}\n{drains}[root]\nkeys.answers = {seconds}s\n", self.settings)
    }

    async fn change(&self, number: usize, target: &Target, seconds: u64) -> Change {
        let operator = Operator { name: format!("operator-{number}"), ..self.operator.clone() };
        let change = match operator.read(target).await {
            Some((version, _)) => operator.write(target, version, &self.tree(seconds)).await,
            None => Change::Refused("no settings".to_owned()),
        };
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push(change.clone());
        change
    }

    /// Waits for changes that are under way and counts the accepted and the refused ones.
    pub async fn finish(&self) -> (usize, usize) {
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        for task in tasks {
            task.await;
        }
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let count = |wanted: fn(&Change) -> bool| changes.iter().filter(|c| wanted(c)).count();
        (
            count(|change| matches!(change, Change::Accepted(_))),
            count(|change| matches!(change, Change::Refused(_))),
        )
    }
}
