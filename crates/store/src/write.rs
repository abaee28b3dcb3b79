//! Retries of transactions whose responses were lost.

use std::time::{Duration, Instant};

use smol::Timer;

use crate::{Platform, PlatformError, RowName, Txn, TxnResult, txn::Conflict};

/// Delay between two attempts at the same transaction.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Platform {
    /// Sends a transaction once. If its response is lost, reads its rows back and compares the id
    /// stored with them.
    ///
    /// A row that carries the id of the transaction proves that it took effect. If no row carries
    /// it, the transaction may still take effect later, so the caller must send the same
    /// transaction again or treat its outcome as unknown.
    ///
    /// # Errors
    /// Returns a [`PlatformError`] if the transaction was refused or not sent, or if its response
    /// was lost and no row proves that it took effect.
    pub async fn attempt(&self, txn: &Txn) -> Result<TxnResult, PlatformError> {
        match self.txn(txn).await {
            Ok(TxnResult::Conflicts(conflicts)) => Ok(resolve_conflicts(txn, conflicts)),
            Ok(written) => Ok(written),
            Err(error) if error.is_unsent() => Err(error),
            Err(error) => match self.read_back(txn).await? {
                Some(version) => Ok(TxnResult::Written(version)),
                None => Err(error),
            },
        }
    }

    /// Repeats [`Platform::attempt`] with the same id until the result is known, the platform
    /// refuses the transaction or `limit` has elapsed.
    ///
    /// The effect of each write must make its own condition false, so that a retry cannot take
    /// effect a second time.
    ///
    /// # Errors
    /// Returns the [`PlatformError`] of the last attempt; the transaction may still take effect.
    pub async fn write(&self, txn: &Txn, limit: Duration) -> Result<TxnResult, PlatformError> {
        let end = Instant::now() + limit;
        loop {
            match self.attempt(txn).await {
                Ok(result) => return Ok(result),
                Err(error) if Instant::now() >= end || error.is_refusal() => return Err(error),
                Err(_) => {
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the version of a row that carries the id of the transaction, if there is one.
    async fn read_back(&self, txn: &Txn) -> Result<Option<u64>, PlatformError> {
        let puts = txn.ops.iter().filter(|op| op.put.is_some());
        let rows: Vec<RowName> = puts.map(|op| (op.table.clone(), op.key.clone())).collect();
        if rows.is_empty() {
            return Ok(None);
        }
        let found = self.read(&rows).await?;
        let own = found.into_iter().flatten().find(|row| row.write == txn.id);
        Ok(own.map(|row| row.version))
    }
}

/// Returns the result of a transaction for which the platform reported conflicts. A conflict with a
/// row that the same transaction put means that an earlier attempt took effect.
fn resolve_conflicts(txn: &Txn, conflicts: Vec<Conflict>) -> TxnResult {
    let own = conflicts.iter().filter_map(|c| c.row.as_ref()).find(|row| row.write == txn.id);
    match own {
        Some(row) => TxnResult::Written(row.version),
        None => TxnResult::Conflicts(conflicts),
    }
}
