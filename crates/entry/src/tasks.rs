//! Short tasks that end on their own and are waited for at the end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use smol::{Executor, Timer};

/// Time between two looks at the number of tasks.
const LOOK: Duration = Duration::from_millis(5);

/// Spawns tasks and counts those that have not ended.
pub struct Tasks {
    executor: Arc<Executor<'static>>,
    count: Arc<AtomicUsize>,
}

struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Tasks {
    /// Tasks that run on an executor.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self { executor, count: Arc::default() }
    }

    /// Runs a task.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.count.fetch_add(1, Ordering::AcqRel);
        let running = Running(Arc::clone(&self.count));
        let counted = async move {
            let _running = running;
            future.await;
        };
        self.executor.spawn(counted).detach();
    }

    /// Waits until all tasks have ended, at most `limit`; tells whether they have.
    pub async fn join(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.count.load(Ordering::Acquire) > 0 {
            if Instant::now() >= end {
                return false;
            }
            Timer::after(LOOK).await;
        }
        true
    }
}
