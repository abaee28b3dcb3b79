//! Sizes of tasks and of the room on workers.

use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Accels, Cores, Count};

/// Processor, memory and accelerators of a task, or of the room on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Thousandths of a core.
    pub cores: Cores,
    /// Memory in MB.
    pub memory: Count,
    /// Accelerators.
    pub accels: Accels,
}

impl Need {
    /// Whether a task of this size fits into `room`.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cores <= available.cores
            && self.memory <= available.memory
            && self.accels <= available.accels
    }

    /// The larger of both in each part.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accels: self.accels.max(other.accels),
        }
    }

    /// How many tasks of this size fit into `room`; one task that asks for nothing fits once.
    #[must_use]
    pub fn count_in(&self, available: &Self) -> u32 {
        let counts = [
            available.cores.get().checked_div(self.cores.get()),
            available.memory.get().checked_div(self.memory.get()),
            available.accels.get().checked_div(self.accels.get()),
        ];
        counts.into_iter().flatten().min().unwrap_or(1)
    }

    /// This room and `part` of it that becomes free.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_add(other.cores.get())),
            memory: Count::new(self.memory.get().saturating_add(other.memory.get())),
            accels: Accels::new(self.accels.get().saturating_add(other.accels.get())),
        }
    }

    /// What is left of this room without `part`.
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
