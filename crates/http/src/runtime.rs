//! Multi-threaded executor of a process.

use std::{future::Future, sync::Arc, thread::JoinHandle};

use async_channel::Sender;
use smol::{Executor, Task};

/// An executor and the threads that drive it; dropping it joins the threads.
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Runtime {
    /// Starts an executor with `threads` threads, at least one.
    #[must_use]
    pub fn new(threads: usize) -> Self {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..threads.max(1))
            .map(|_| {
                let executor = Arc::clone(&executor);
                let stopped = stopped.clone();
                std::thread::spawn(move || {
                    // The sender is dropped to stop the thread, which ends `recv` with an error.
                    let _ = smol::block_on(executor.run(stopped.recv()));
                })
            })
            .collect();
        Self { executor, stop: Some(stop), threads }
    }

    /// Returns the executor, for spawning tasks without the runtime.
    #[must_use]
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }

    /// Spawns a task; dropping the returned task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Blocks the calling thread until `future` completes; the executor's threads keep running.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        smol::block_on(future)
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}
