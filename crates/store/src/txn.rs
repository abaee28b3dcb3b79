//! Rows and transactions.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Expect;

/// A conditional write to one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Op {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Condition on the current row for the write to take effect.
    pub expect: Expect,
    /// New value, or `None` to delete the row.
    pub put: Option<Value>,
}

impl Op {
    /// Creates a write that deletes the row; [`Op::put`] makes it set a value instead.
    #[must_use]
    pub fn new(table: impl Into<String>, key: impl Into<String>, expect: Expect) -> Self {
        Self { table: table.into(), key: key.into(), expect, put: None }
    }

    /// Sets the new value of the row.
    #[must_use]
    pub fn put(mut self, value: Value) -> Self {
        self.put = Some(value);
        self
    }
}

/// A transaction: writes that take effect all together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Id of the transaction, stored with each row that it puts. A retry uses the same id.
    pub id: String,
    /// The writes of the transaction.
    pub ops: Vec<Op>,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row, from a counter that grows with each write to any row.
    pub version: u64,
    /// Id of the transaction that put the row.
    pub write: String,
    /// Value of the row.
    pub value: Value,
}

/// A write whose condition did not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Index of the write in the transaction.
    pub index: usize,
    /// The current row, if it exists.
    pub row: Option<Row>,
}

/// Result of a transaction that the platform processed.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnResult {
    /// The transaction took effect; all rows that it put have this version.
    Written(u64),
    /// The transaction did not take effect; these conditions did not hold.
    Conflicts(Vec<Conflict>),
}

/// Table and key of a row.
pub type RowName = (String, String);

/// A request for the rows of a table in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Name of the table.
    pub table: String,
    /// Prefix of the keys to return.
    pub prefix: String,
    /// Key after which the scan starts, exclusive.
    pub after: String,
    /// Maximum number of rows in the response.
    pub limit: usize,
}

/// A row found by a scan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScannedRow {
    /// Key of the row.
    pub key: String,
    /// The row.
    pub row: Row,
}
