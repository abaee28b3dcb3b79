//! Budget for runs that are stopped and restarted elsewhere.

/// Number of starts that earn one restart.
const STARTS_PER_RESTART: u32 = 10;
/// Maximum number of restarts that can be saved up.
const MAX_SAVED_RESTARTS: u32 = 5;

/// Limits restarts to a share of the starts, so that wrong estimates of run times do not multiply
/// the work.
///
/// ```
/// use cranberryhatch_fleet::RestartBudget;
///
/// let mut budget = RestartBudget::default();
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartBudget {
    starts: u32,
}

impl RestartBudget {
    /// Counts a start.
    pub fn earn(&mut self) {
        self.starts = (self.starts + 1).min(STARTS_PER_RESTART * MAX_SAVED_RESTARTS);
    }

    /// Takes a restart from the budget and returns whether there was one.
    pub const fn spend(&mut self) -> bool {
        match self.starts.checked_sub(STARTS_PER_RESTART) {
            Some(rest) => {
                self.starts = rest;
                true
            }
            None => false,
        }
    }
}
