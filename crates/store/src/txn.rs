//! Rows and transactions.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Expect;

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Op {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Condition.
    pub expect: Expect,
    /// New value; none deletes the row.
    pub put: Option<Value>,
}

impl Op {
    /// A write that deletes the row.
    #[must_use]
    pub fn new(table: impl Into<String>, key: impl Into<String>, expect: Expect) -> Self {
        Self { table: table.into(), key: key.into(), expect, put: None }
    }

    /// Sets the new value.
    #[must_use]
    pub fn put(mut self, value: Value) -> Self {
        self.put = Some(value);
        self
    }
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Id of the write, stored with each row it puts.
    pub id: String,
    /// The writes.
    pub ops: Vec<Op>,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Version, which grows with each write to any row.
    pub version: u64,
    /// Id of the write that put it.
    pub write: String,
    /// The value.
    pub value: Value,
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Index of the write in the transaction.
    pub index: usize,
    /// The row as it is, if it exists.
    pub row: Option<Row>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnResult {
    /// It took effect; all rows have this version.
    Written(u64),
    /// It did not take effect.
    Conflicts(Vec<Conflict>),
}

/// Table and key of a row.
pub type RowName = (String, String);

/// Question for the rows of a table in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Name of the table.
    pub table: String,
    /// Start of the keys wanted.
    pub prefix: String,
    /// Key after which to start.
    pub after: String,
    /// Most rows in one answer.
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
