//! The client of the operator interface of a daemon.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode, Uri,
    header::{AUTHORIZATION, HeaderValue},
};
use kitetrail_platform::{JsonClient, PlatformError};
use serde::Deserialize;
use serde_json::Value;

use crate::error::CliError;

/// The timeout of a request to a daemon.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A client of one daemon.
#[derive(Debug)]
pub struct Client {
    daemon: SocketAddr,
    token: Option<String>,
    http: JsonClient,
}

#[derive(Deserialize)]
struct ErrorResponse {
    error: String,
    message: String,
}

impl Client {
    /// Creates a client of the daemon at an address.
    pub fn new(daemon: SocketAddr, token: Option<String>) -> Self {
        Self { daemon, token, http: JsonClient::new("daemon", TIMEOUT) }
    }

    /// Returns the contents of a resource.
    pub async fn get(&self, path: &str) -> Result<Value, CliError> {
        self.send(Method::GET, path, Full::default()).await
    }

    /// Sends a change to a resource.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, CliError> {
        let body = serde_json::to_vec(body).map_err(|error| CliError::Failed(error.to_string()))?;
        self.send(Method::POST, path, Full::new(Bytes::from(body))).await
    }

    /// Removes a resource.
    pub async fn delete(&self, path: &str) -> Result<Value, CliError> {
        self.send(Method::DELETE, path, Full::default()).await
    }

    async fn send(&self, method: Method, path: &str, body: Full<Bytes>) -> Result<Value, CliError> {
        let uri = format!("http://{}{path}", self.daemon);
        let uri: Uri =
            uri.parse().map_err(|_| CliError::Usage(format!("invalid name in {path}")))?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        if let Some(token) = &self.token {
            let bearer = HeaderValue::from_str(&format!("Bearer {token}"));
            let bearer =
                bearer.map_err(|_| CliError::Usage("the token is malformed".to_owned()))?;
            request.headers_mut().insert(AUTHORIZATION, bearer);
        }
        let (status, body) =
            self.http.send(request).await.map_err(|error| self.call_error(error))?;
        if status == StatusCode::OK {
            let parsed = self.http.parse(&body);
            return parsed.map_err(|error| CliError::Failed(error.to_string()));
        }
        match serde_json::from_slice::<ErrorResponse>(&body) {
            Ok(ErrorResponse { error, message }) => {
                Err(CliError::from_error_response(&error, message))
            }
            Err(_) => Err(CliError::Failed(format!("the daemon responded with status {status}"))),
        }
    }

    fn call_error(&self, error: PlatformError) -> CliError {
        match error {
            PlatformError::Unreachable { cause, .. } => CliError::Unavailable(format!(
                "can't reach a daemon at {}: {cause}; give another address with --daemon",
                self.daemon
            )),
            _ => CliError::Unknown(format!(
                "the response of the daemon was lost: {error}; repeat the command with the same --change"
            )),
        }
    }
}
