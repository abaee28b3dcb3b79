//! Resources that tasks need and workers have.

use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Accels, Cores, Count};

/// Cores, memory and accelerators that a task needs, or that a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Thousandths of a core.
    pub cores: Cores,
    /// Memory in MB.
    pub memory: Count,
    /// Number of accelerators.
    pub accels: Accels,
}

impl Need {
    /// Returns whether a task with this need fits into the available resources.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cores <= available.cores
            && self.memory <= available.memory
            && self.accels <= available.accels
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accels: self.accels.max(other.accels),
        }
    }

    /// Returns how many tasks with this need fit into the available resources; 1 for a task that
    /// needs nothing.
    #[must_use]
    pub fn count_in(&self, available: &Self) -> u32 {
        let counts = [
            available.cores.get().checked_div(self.cores.get()),
            available.memory.get().checked_div(self.memory.get()),
            available.accels.get().checked_div(self.accels.get()),
        ];
        counts.into_iter().flatten().min().unwrap_or(1)
    }

    /// Returns the sum of both, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_add(other.cores.get())),
            memory: Count::new(self.memory.get().saturating_add(other.memory.get())),
            accels: Accels::new(self.accels.get().saturating_add(other.accels.get())),
        }
    }

    /// Returns the difference of both, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_sub(other.cores.get())),
            memory: Count::new(self.memory.get().saturating_sub(other.memory.get())),
            accels: Accels::new(self.accels.get().saturating_sub(other.accels.get())),
        }
    }
}

impl From<&fleet::Need> for Need {
    fn from(need: &fleet::Need) -> Self {
        Self {
            cores: Cores::new(need.cores),
            memory: Count::new(need.memory),
            accels: Accels::new(need.accels),
        }
    }
}

impl From<&Need> for fleet::Need {
    fn from(need: &Need) -> Self {
        Self { cores: need.cores.get(), memory: need.memory.get(), accels: need.accels.get() }
    }
}
