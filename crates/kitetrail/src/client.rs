//! Asks a daemon.

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

/// How long a daemon may take to answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Asks one daemon.
#[derive(Debug)]
pub struct Client {
    daemon: SocketAddr,
    token: Option<String>,
    http: JsonClient,
}

#[derive(Deserialize)]
struct Refusal {
    error: String,
    message: String,
}

impl Client {
    /// A client of the daemon at an address.
    pub fn new(daemon: SocketAddr, token: Option<String>) -> Self {
        Self { daemon, token, http: JsonClient::new("daemon", TIMEOUT) }
    }

    /// What a resource holds.
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
        let uri: Uri = uri.parse().map_err(|_| CliError::Usage(format!("bad name in {path}")))?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        if let Some(token) = &self.token {
            let bearer = HeaderValue::from_str(&format!("Bearer {token}"));
            let bearer =
                bearer.map_err(|_| CliError::Usage("the token is malformed".to_owned()))?;
            request.headers_mut().insert(AUTHORIZATION, bearer);
        }
        let (status, body) = self.http.send(request).await.map_err(|error| self.failed(error))?;
        if status == StatusCode::OK {
            let parsed = self.http.parse(&body);
            return parsed.map_err(|error| CliError::Failed(error.to_string()));
        }
        match serde_json::from_slice::<Refusal>(&body) {
            Ok(Refusal { error, message }) => Err(CliError::refused(&error, message)),
            Err(_) => Err(CliError::Failed(format!("the daemon answered {status}"))),
        }
    }

    fn failed(&self, error: PlatformError) -> CliError {
        match error {
            PlatformError::Unreachable { cause, .. } => CliError::Unavailable(format!(
                "no daemon answers on {}: {cause}; give another one with --daemon",
                self.daemon
            )),
            _ => CliError::Unknown(format!(
                "the daemon's answer was lost: {error}; run the command again with the same --change"
            )),
        }
    }
}
