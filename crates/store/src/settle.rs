//! Writes whose lost answers are settled.

use std::time::{Duration, Instant};

use smol::Timer;

use crate::{Platform, PlatformError, RowName, Txn, TxnResult, txn::Conflict};

/// Time between two attempts at the same write.
const RETRY: Duration = Duration::from_millis(100);

impl Platform {
    /// Sends a transaction once; when its answer is lost, reads its rows back and compares the
    /// id of the write.
    ///
    /// A row that carries the id proves that the transaction took effect. When no row carries it,
    /// the transaction may still take effect, so the caller must send the same transaction again,
    /// or treat its state as unknown.
    ///
    /// # Errors
    /// [`PlatformError`] when the answer was lost and no row proves that the write took effect.
    pub async fn attempt(&self, txn: &Txn) -> Result<TxnResult, PlatformError> {
        match self.txn(txn).await {
            Ok(TxnResult::Conflicts(conflicts)) => Ok(own_write(txn, conflicts)),
            Ok(written) => Ok(written),
            Err(error) if error.is_unsent() => Err(error),
            Err(error) => match self.read_back(txn).await? {
                Some(version) => Ok(TxnResult::Written(version)),
                None => Err(error),
            },
        }
    }

    /// Repeats [`Platform::attempt`] with the same id until the result is known or `limit` is over.
    ///
    /// Every operation must carry a condition that its own effect makes false, so that a repetition
    /// cannot take effect twice.
    ///
    /// # Errors
    /// The last [`PlatformError`]; the write may still take effect.
    pub async fn write(&self, txn: &Txn, limit: Duration) -> Result<TxnResult, PlatformError> {
        let end = Instant::now() + limit;
        loop {
            match self.attempt(txn).await {
                Ok(result) => return Ok(result),
                Err(error) if Instant::now() >= end || error.is_refusal() => return Err(error),
                Err(_) => {
                    Timer::after(RETRY).await;
                }
            }
        }
    }

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

/// Conflicts with rows that the same transaction put mean that an earlier copy of it took effect.
fn own_write(txn: &Txn, conflicts: Vec<Conflict>) -> TxnResult {
    let own = conflicts.iter().filter_map(|c| c.row.as_ref()).find(|row| row.write == txn.id);
    match own {
        Some(row) => TxnResult::Written(row.version),
        None => TxnResult::Conflicts(conflicts),
    }
}
