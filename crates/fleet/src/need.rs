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
    pub fn fits(&self, room: &Self) -> bool {
        self.cores <= room.cores && self.memory <= room.memory && self.accels <= room.accels
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
    pub fn times_in(&self, room: &Self) -> u32 {
        let parts = [
            room.cores.get().checked_div(self.cores.get()),
            room.memory.get().checked_div(self.memory.get()),
            room.accels.get().checked_div(self.accels.get()),
        ];
        parts.into_iter().flatten().min().unwrap_or(1)
    }

    /// This room and `part` of it that becomes free.
    #[must_use]
    pub const fn with(&self, part: &Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_add(part.cores.get())),
            memory: Count::new(self.memory.get().saturating_add(part.memory.get())),
            accels: Accels::new(self.accels.get().saturating_add(part.accels.get())),
        }
    }

    /// What is left of this room without `part`.
    #[must_use]
    pub const fn without(&self, part: &Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_sub(part.cores.get())),
            memory: Count::new(self.memory.get().saturating_sub(part.memory.get())),
            accels: Accels::new(self.accels.get().saturating_sub(part.accels.get())),
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
