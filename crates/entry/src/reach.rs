//! The platform with the knowledge of whether it answers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cranberryhatch_core::Event;
use cranberryhatch_store::{
    ListedInstance, Platform, PlatformError, Row, RowName, Scan, ScannedRow, Txn, TxnResult,
};

use crate::shards::Shards;

/// Failed calls in a row after which the platform is regarded as unreachable.
const FAILURES: u32 = 2;

/// Client of the platform that tells the shards whether it answers.
#[derive(Clone)]
pub struct Store {
    platform: Platform,
    shards: Arc<Shards>,
    failures: Arc<AtomicU32>,
}

impl Store {
    /// A client; the shards regard the platform as reachable until two calls in a row fail.
    #[must_use]
    pub fn new(platform: Platform, shards: Arc<Shards>) -> Self {
        Self { platform, shards, failures: Arc::default() }
    }

    /// Whether the last calls were answered.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.failures.load(Ordering::Relaxed) < FAILURES
    }

    /// See [`Platform::attempt`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn attempt(&self, txn: &Txn) -> Result<TxnResult, PlatformError> {
        self.note(self.platform.attempt(txn).await)
    }

    /// See [`Platform::write`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn write(&self, txn: &Txn, limit: Duration) -> Result<TxnResult, PlatformError> {
        self.note(self.platform.write(txn, limit).await)
    }

    /// See [`Platform::read`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn read(&self, rows: &[RowName]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.note(self.platform.read(rows).await)
    }

    /// See [`Platform::scan`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn scan(&self, scan: &Scan) -> Result<Vec<ScannedRow>, PlatformError> {
        self.note(self.platform.scan(scan).await)
    }

    /// See [`Platform::put_object`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.note(self.platform.put_object(name, body).await)
    }

    /// See [`Platform::object`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.note(self.platform.object(name).await)
    }

    /// See [`Platform::instances`].
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.note(self.platform.instances().await)
    }

    fn note<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        if result.is_ok() {
            if self.failures.swap(0, Ordering::Relaxed) >= FAILURES {
                self.tell(true);
            }
        } else if self.failures.fetch_add(1, Ordering::Relaxed) + 1 == FAILURES {
            self.tell(false);
        }
        result
    }

    fn tell(&self, reachable: bool) {
        log::info!(reachable = reachable; "platform");
        self.shards.send_all(&Event::Platform { reachable });
    }
}
