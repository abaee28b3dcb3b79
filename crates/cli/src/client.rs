//! Requests to entry instances.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberryhatch_http::{Client, Problem, Runtime};
use http::{HeaderMap, Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::{args::Connection, failure::Failure};

/// Client that uses the first instance that takes a connection.
pub struct ApiClient {
    runtime: Runtime,
    client: Client,
    servers: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
}

impl ApiClient {
    /// A client for the given addresses and token.
    ///
    /// # Errors
    /// When an address or the token is missing.
    pub fn new(connection: &Connection) -> Result<Self, Failure> {
        if connection.server.is_empty() {
            return Err(Failure::NoServer);
        }
        let token = connection.token.clone().ok_or(Failure::NoToken)?;
        let runtime = Runtime::new(1);
        let client = Client::new(runtime.executor());
        let timeout = Duration::from_secs(connection.timeout);
        Ok(Self { runtime, client, servers: connection.server.clone(), token, timeout })
    }

    /// Sends a request with headers and returns a response with success or a job's answer.
    ///
    /// # Errors
    /// When no instance answers, or the answer is a problem.
    pub fn send(
        &self,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let mut last = None;
        for addr in &self.servers {
            let mut request = Request::builder()
                .method(method)
                .uri(path)
                .header("authorization", format!("Bearer {}", self.token));
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            let request = request.body(body.clone())?;
            let timeout = self.timeout + wait;
            match self.runtime.block_on(self.client.send_within(*addr, request, timeout)) {
                Ok(response) => return refuse_problem(response),
                Err(error) if error.is_unsent() => last = Some(error),
                Err(error) => return Err(Failure::Lost(error)),
            }
        }
        Err(last.map_or(Failure::NoServer, Failure::Unreachable))
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    /// See [`ApiClient::send`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let response = self.send(&Method::GET, path, &[], &Bytes::new(), Duration::ZERO)?;
        Ok(serde_json::from_slice(response.body())?)
    }
}

fn refuse_problem(response: Response<Bytes>) -> Result<Response<Bytes>, Failure> {
    if !is_problem(response.headers()) {
        return Ok(response);
    }
    let body: serde_json::Value = serde_json::from_slice(response.body())?;
    if body["outcome"].is_string() {
        // The answer of a job that did not complete.
        return Ok(response);
    }
    Err(Failure::Problem(serde_json::from_value::<Problem>(body)?))
}

fn is_problem(headers: &HeaderMap) -> bool {
    headers.get("content-type").is_some_and(|kind| kind == "application/problem+json")
}
