//! Calls to the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberryhatch_http::Client;
use http::{Method, Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    ListedInstance, PlatformError, Row, RowName, Scan, ScannedRow, Txn, TxnResult, txn::Conflict,
};

/// Client of the platform.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

#[derive(serde::Deserialize)]
struct Written {
    version: u64,
}

#[derive(serde::Deserialize)]
struct Conflicts {
    conflicts: Vec<Conflict>,
}

#[derive(Serialize)]
struct Read<'a> {
    rows: &'a [RowName],
}

impl Platform {
    /// A client with a timeout of 2 s a call.
    #[must_use]
    pub const fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr, timeout: Duration::from_secs(2) }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    /// [`PlatformError`]; unless it is unsent, the transaction may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResult, PlatformError> {
        let (status, body) = self.call(Method::POST, "/v1/txn", json(txn)?).await?;
        match status {
            StatusCode::OK => {
                let written: Written = serde_json::from_slice(&body)?;
                Ok(TxnResult::Written(written.version))
            }
            StatusCode::CONFLICT => {
                let conflicts: Conflicts = serde_json::from_slice(&body)?;
                Ok(TxnResult::Conflicts(conflicts.conflicts))
            }
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    /// Reads rows; a row that does not exist is none.
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn read(&self, rows: &[RowName]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.get(Method::POST, "/v1/read", json(&Read { rows })?).await
    }

    /// Reads the rows of a table in the order of their keys.
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn scan(&self, scan: &Scan) -> Result<Vec<ScannedRow>, PlatformError> {
        self.get(Method::POST, "/v1/scan", json(scan)?).await
    }

    /// Stores an object under a name, in place of any earlier one.
    ///
    /// # Errors
    /// [`PlatformError`]; unless it is unsent, the object may have been stored.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, _) = self.call(Method::PUT, &path, body).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PlatformError::Refused { status: status.as_u16() })
        }
    }

    /// Reads an object, none when there is no such object.
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    /// Reads the lagging list of instances.
    ///
    /// # Errors
    /// [`PlatformError`].
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.get(Method::GET, "/v1/instances", Bytes::new()).await
    }

    async fn get<T: DeserializeOwned>(
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

fn json<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    Ok(Bytes::from(serde_json::to_vec(value)?))
}
