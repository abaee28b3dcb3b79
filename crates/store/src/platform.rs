//! HTTP client for the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberryhatch_http::Client;
use http::{Method, Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    ListedInstance, PlatformError, Row, RowName, Scan, ScannedRow, Txn, TxnResult, txn::Conflict,
};

/// Client for the platform's tables, object store and instance list.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

#[derive(serde::Deserialize)]
struct WrittenBody {
    version: u64,
}

#[derive(serde::Deserialize)]
struct ConflictsBody {
    conflicts: Vec<Conflict>,
}

#[derive(Serialize)]
struct ReadBody<'a> {
    rows: &'a [RowName],
}

impl Platform {
    /// Creates a client for the platform at `addr`, with a timeout of 2 s per call.
    #[must_use]
    pub const fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr, timeout: Duration::from_secs(2) }
    }

    /// Sets the timeout per call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a transaction once and returns its result.
    ///
    /// # Errors
    /// Returns a [`PlatformError`]; unless [`PlatformError::is_unsent`] holds, the transaction may
    /// have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResult, PlatformError> {
        let (status, body) = self.call(Method::POST, "/v1/txn", to_json(txn)?).await?;
        match status {
            StatusCode::OK => {
                let written: WrittenBody = serde_json::from_slice(&body)?;
                Ok(TxnResult::Written(written.version))
            }
            StatusCode::CONFLICT => {
                let conflicts: ConflictsBody = serde_json::from_slice(&body)?;
                Ok(TxnResult::Conflicts(conflicts.conflicts))
            }
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    /// Reads rows and returns them in the same order, with `None` for a row that does not exist.
    ///
    /// # Errors
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn read(&self, rows: &[RowName]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.call_json(Method::POST, "/v1/read", to_json(&ReadBody { rows })?).await
    }

    /// Reads rows of a table in key order.
    ///
    /// # Errors
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn scan(&self, scan: &Scan) -> Result<Vec<ScannedRow>, PlatformError> {
        self.call_json(Method::POST, "/v1/scan", to_json(scan)?).await
    }

    /// Stores an object under a name and replaces any earlier one.
    ///
    /// # Errors
    /// Returns a [`PlatformError`]; unless [`PlatformError::is_unsent`] holds, the object may have
    /// been stored.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, _) = self.call(Method::PUT, &path, body).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PlatformError::Refused { status: status.as_u16() })
        }
    }

    /// Reads an object and returns its bytes, or `None` if there is no such object.
    ///
    /// # Errors
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    /// Reads the instance list, which may lag behind the actual instances.
    ///
    /// # Errors
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.call_json(Method::GET, "/v1/instances", Bytes::new()).await
    }

    /// Sends a request and decodes the JSON body of a 200 response.
    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, PlatformError> {
        let (status, body) = self.call(method, path, body).await?;
        if status != StatusCode::OK {
            return Err(PlatformError::Refused { status: status.as_u16() });
        }
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a request and returns the status and body of the response.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder().method(method).uri(path).body(body)?;
        let response = self.client.send_within(self.addr, request, self.timeout).await?;
        let status = response.status();
        Ok((status, response.into_body()))
    }
}

fn to_json<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    Ok(Bytes::from(serde_json::to_vec(value)?))
}
