//! Transactional table in memory.

use cranberryhatch_store::{Conflict, Expect, Op, Row, RowName, Scan, ScannedRow, Txn, TxnResult};

/// Rows sorted by table and key.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<(RowName, Row)>,
    version: u64,
}

impl Table {
    /// Applies a transaction, all or nothing.
    pub fn apply(&mut self, txn: &Txn) -> TxnResult {
        let conflicts: Vec<Conflict> =
            txn.ops.iter().enumerate().filter_map(|(index, op)| self.conflict(index, op)).collect();
        if !conflicts.is_empty() {
            return TxnResult::Conflicts(conflicts);
        }
        self.version += 1;
        for op in &txn.ops {
            self.write(op, &txn.id);
        }
        TxnResult::Written(self.version)
    }

    fn conflict(&self, index: usize, op: &Op) -> Option<Conflict> {
        let row = self.read(&(op.table.clone(), op.key.clone()));
        let holds = match op.expect {
            Expect::Any => true,
            Expect::Absent => row.is_none(),
            Expect::Version(version) => row.is_some_and(|row| row.version == version),
        };
        (!holds).then(|| Conflict { index, row: row.cloned() })
    }

    fn write(&mut self, op: &Op, id: &str) {
        let name = (op.table.clone(), op.key.clone());
        let place = self.rows.binary_search_by(|(n, _)| n.cmp(&name));
        match (&op.put, place) {
            (Some(value), place) => {
                let row = Row { version: self.version, write: id.to_owned(), value: value.clone() };
                match place {
                    Ok(place) => self.rows[place].1 = row,
                    Err(place) => self.rows.insert(place, (name, row)),
                }
            }
            (None, Ok(place)) => {
                self.rows.remove(place);
            }
            (None, Err(_)) => {}
        }
    }

    /// Reads a row.
    #[must_use]
    pub fn read(&self, name: &RowName) -> Option<&Row> {
        let place = self.rows.binary_search_by(|(n, _)| n.cmp(name)).ok()?;
        Some(&self.rows[place].1)
    }

    /// Reads rows in the order of their keys.
    #[must_use]
    pub fn scan(&self, scan: &Scan) -> Vec<ScannedRow> {
        let start = self.rows.partition_point(|((table, key), _)| {
            (table.as_str(), key.as_str()) <= (scan.table.as_str(), scan.after.as_str())
        });
        self.rows[start..]
            .iter()
            .filter(|((table, key), _)| *table == scan.table && key.starts_with(&scan.prefix))
            .take(scan.limit)
            .map(|((_, key), row)| ScannedRow { key: key.clone(), row: row.clone() })
            .collect()
    }
}
