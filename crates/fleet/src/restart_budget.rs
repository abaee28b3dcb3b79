//! How many runs may be stopped to be started again elsewhere.

/// Starts that earn one restart.
const STARTS_PER_RESTART: u32 = 10;
/// Restarts that can be saved up.
const MAX_SAVED_RESTARTS: u32 = 5;

/// Bounds restarts to a share of the starts, so that wrong expectations do not multiply the work.
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

    /// Whether there is a restart left, which is used then.
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
