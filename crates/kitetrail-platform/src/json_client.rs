//! A client that sends and receives JSON.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    PlatformError,
    connections::{Connections, Pool, SilenceCounts},
    within,
};

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// How much of the body of a refusal an error shows, in bytes.
const SHOWN_OF_BODY: usize = 200;

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// A call that has brought nothing for so long makes the connections to its host suspect: later
    /// calls go on new ones.
    pub suspect_after: Duration,
    /// After so long the call is given up.
    pub timeout: Duration,
}

impl CallLimits {
    /// The same time for both.
    pub fn both(timeout: Duration) -> Self {
        Self { suspect_after: timeout, timeout }
    }
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A client that sends and receives JSON, with one timeout for the whole exchange.
///
/// An open connection may go silent without a reset. So after a call that brought nothing in time no
/// connection to its host that was there by then is used again.
#[derive(Debug, Clone)]
pub struct JsonClient {
    service: &'static str,
    limits: CallLimits,
    connections: Connections,
    silences: SilenceCounts,
}

impl JsonClient {
    /// A client that names `service` in its errors.
    pub fn new(service: &'static str, timeout: Duration) -> Self {
        Self {
            service,
            limits: CallLimits::both(timeout),
            connections: Connections::new(timeout),
            silences: SilenceCounts::default(),
        }
    }

    /// Suspects connections sooner than calls are given up.
    pub fn suspecting_after(mut self, suspect_after: Duration) -> Self {
        self.limits.suspect_after = suspect_after;
        self
    }

    /// Counts silent connections together with other clients.
    pub fn counting(mut self, silences: SilenceCounts) -> Self {
        self.silences = silences;
        self
    }

    /// Sends a request and returns the status and the whole body.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.send_within(request, self.limits).await
    }

    /// Sends a request and returns the status and the whole body, with limits of its own.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let Answer { status, body, .. } = self.exchange_within(request, limits).await?;
        Ok((status, body))
    }

    /// Sends a request and returns the status, the headers and the whole body.
    pub(crate) async fn send_for_head(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, PlatformError> {
        self.exchange_within(request, self.limits).await
    }

    async fn exchange_within(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<Answer, PlatformError> {
        let host = request.uri().authority().cloned();
        let host = host.ok_or_else(|| self.lost("the address names no host".to_owned()))?;
        let pool = self.connections.to(&host);
        let mut exchange = pin!(self.exchange(&pool, request));
        let suspect_after = limits.suspect_after.min(limits.timeout);
        if let Some(answer) = within(suspect_after, exchange.as_mut()).await {
            return answer;
        }
        if self.connections.distrust(&host, &pool) {
            self.silences.note(self.service);
            log::info!(
                service = self.service, host = host.as_str(),
                after_ms = suspect_after.as_millis() as u64;
                "connections: silent, replaced for later calls"
            );
        }
        match within(limits.timeout.saturating_sub(suspect_after), exchange).await {
            Some(answer) => answer,
            None => Err(self.lost(format!("nothing came within {:?}", limits.timeout))),
        }
    }

    /// Asks for JSON. `None` stands for "not found".
    pub async fn get<T: DeserializeOwned>(&self, uri: Uri) -> Result<Option<T>, PlatformError> {
        let (status, body) = self.send(get_request(uri)).await?;
        match status {
            StatusCode::OK => self.parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.refused(status, &body)),
        }
    }

    /// Sends JSON and returns the JSON that comes back.
    pub async fn post<T: DeserializeOwned>(
        &self,
        uri: Uri,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let (status, body) = self.send(self.json_request(uri, body)?).await?;
        match status {
            StatusCode::OK => self.parse(&body),
            _ => Err(self.refused(status, &body)),
        }
    }

    /// A request that carries JSON.
    pub fn json_request(
        &self,
        uri: Uri,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| self.malformed(error))?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        Ok(request)
    }

    /// Reads JSON.
    pub fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, PlatformError> {
        serde_json::from_slice(body).map_err(|error| self.malformed(error))
    }

    async fn exchange(
        &self,
        pool: &Pool,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, PlatformError> {
        let response = pool.client.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            match error.is_connect() {
                true => PlatformError::Unreachable { service: self.service, cause },
                false => self.lost(cause),
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| self.lost(error.to_string()))?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    fn lost(&self, cause: String) -> PlatformError {
        PlatformError::AnswerLost { service: self.service, cause }
    }

    /// The error for an answer with a status that refuses.
    pub fn refused(&self, status: StatusCode, body: &[u8]) -> PlatformError {
        let body = String::from_utf8_lossy(&body[..body.len().min(SHOWN_OF_BODY)]).into_owned();
        PlatformError::Refused { service: self.service, status: status.as_u16(), body }
    }

    fn malformed(&self, error: serde_json::Error) -> PlatformError {
        PlatformError::Malformed { service: self.service, cause: error.to_string() }
    }
}

/// A request that reads something.
pub(crate) fn get_request(uri: Uri) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    request
}

/// An error with its causes in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
