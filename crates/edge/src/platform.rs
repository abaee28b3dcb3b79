//! Interface to the platform: the lists that it stores and the requests to its workers.

use std::future::Future;

use bytes::Bytes;
use cranberryhatch_fleet::{Incarnation, Lease, ListedWorker, PollResponse, RunKey, StartResponse};
use cranberryhatch_types::Span;
use strum::Display;

use crate::Catalog;

/// List that the platform stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum List {
    /// The operator's settings and drained zones.
    Settings,
    /// Entries of the workers.
    Workers,
    /// Registered instances.
    Instances,
}

/// Row of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value, or `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Store version at which the row was last written or removed; 0 if unknown.
    pub version: u64,
}

/// Result of a read: all rows of a list, or the rows that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows that were read.
    pub rows: Vec<Row>,
    /// Store version up to which the rows are complete.
    pub version: u64,
    /// Number of rows that were left out because not even their key could be decoded.
    pub unreadable: usize,
}

/// Error of a call to the platform's store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store did not respond, or the connection broke.
    #[error("no response from the store: {0}")]
    NoResponse(String),
    /// The store rejected the call with this HTTP status.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The store no longer keeps the changes since the requested version.
    #[error("the store no longer keeps the requested changes")]
    HistoryGone,
    /// The response could not be decoded, or the request not be encoded.
    #[error("malformed store request or response: {0}")]
    Malformed(String),
}

/// Error for a stored value that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed value: {0}")]
pub struct DecodeError(pub String);

/// Common part of every request to a worker.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// The worker to which the request is sent.
    pub worker: Box<ListedWorker>,
    /// Fencing token of the worker's owner.
    pub token: u64,
    /// Response timeout, not counting the time for which the worker may hold the request.
    pub timeout: Span,
}

/// Options of a poll for the state of a worker.
#[derive(Clone, Copy, Debug)]
pub struct PollOptions {
    /// Acknowledges ended runs up to this number.
    pub acked: u64,
    /// If set, extends the lease of all active runs.
    pub lease: Option<Lease>,
    /// Time for which the worker may hold the request until a run ends (long polling).
    pub wait: Span,
    /// Whether to open a new connection, since a pooled one may have gone silent.
    pub new_connection: bool,
}

/// Result of a request to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartResult {
    /// Response of the worker.
    pub response: StartResponse,
    /// Clock in milliseconds and incarnation of the worker, if it responded.
    pub responder: Option<(u64, Incarnation)>,
}

/// The platform; every method makes one call and contains no logic of its own.
pub trait Platform: Send + Sync + 'static {
    /// Reads a whole list.
    fn read(&self, list: List) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Reads the changes to a list after a version; waits up to `wait` for the first one.
    fn changes(
        &self,
        list: List,
        after: u64,
        wait: Span,
    ) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Writes the row of this instance to the list of registered instances.
    fn register(
        &self,
        name: &str,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Decodes the entry of a worker.
    ///
    /// # Errors
    /// Returns an error if the entry is malformed; the worker is then treated as not listed.
    fn decode_worker(&self, key: &str, value: &[u8]) -> Result<ListedWorker, DecodeError>;

    /// Returns the zone that is drained while a row of the settings list exists, or `None` if the
    /// row holds the settings themselves.
    fn drained_zone(&self, key: &str) -> Option<String>;

    /// Decodes the operator's settings.
    ///
    /// # Errors
    /// Returns an error if they are malformed.
    fn decode_settings(&self, value: &[u8]) -> Result<Catalog, DecodeError>;

    /// Asks a worker for its active and ended runs.
    fn poll(
        &self,
        request: WorkerRequest,
        options: PollOptions,
    ) -> impl Future<Output = PollResponse> + Send;

    /// Starts a run on a worker.
    fn start(
        &self,
        request: WorkerRequest,
        run: &RunKey,
        payload: &str,
        lease: Lease,
    ) -> impl Future<Output = StartResult> + Send;

    /// Stops a run and returns whether the worker accepted.
    fn stop(&self, request: WorkerRequest, run: &RunKey) -> impl Future<Output = bool> + Send;
}
