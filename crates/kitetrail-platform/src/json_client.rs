//! An HTTP client for services that send and receive JSON.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST, HeaderValue},
    http::uri::Authority,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    PlatformError,
    connections::{Connections, Generation, Response, SilenceCounts},
    within,
};

/// The maximum length of a response body in an error message, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 200;

/// The time limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The time without a response after which the connections to the host are considered broken, so
    /// that later calls use new ones.
    pub suspect_after: Duration,
    /// The time after which the call fails.
    pub timeout: Duration,
}

impl CallLimits {
    /// Returns limits that use the same time for both.
    pub fn both(timeout: Duration) -> Self {
        Self { suspect_after: timeout, timeout }
    }
}

/// An HTTP client for one service, with one timeout for the whole exchange.
///
/// An open connection may go silent without a reset. When a call gets no response in time, later calls
/// to its host therefore use none of the connections that existed by then.
#[derive(Debug, Clone)]
pub struct JsonClient {
    service: &'static str,
    limits: CallLimits,
    connections: Connections,
    silence_counts: SilenceCounts,
}

impl JsonClient {
    /// Creates a client. Errors and counters name the service as `service`.
    pub fn new(service: &'static str, timeout: Duration) -> Self {
        Self {
            service,
            limits: CallLimits::both(timeout),
            connections: Connections::new(timeout),
            silence_counts: SilenceCounts::default(),
        }
    }

    /// Sets the time without a response after which connections are replaced.
    pub fn suspecting_after(mut self, suspect_after: Duration) -> Self {
        self.limits.suspect_after = suspect_after;
        self
    }

    /// Sets the counters of replaced connections, which several clients can share.
    pub fn counting(mut self, silence_counts: SilenceCounts) -> Self {
        self.silence_counts = silence_counts;
        self
    }

    /// Sends a request and returns the status and the complete body.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.send_within(request, self.limits).await
    }

    /// Sends a request with the given limits and returns the status and the complete body.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let Response { status, body, .. } = self.exchange_with_limits(request, limits).await?;
        Ok((status, body))
    }

    /// Sends a request and returns the status, the headers and the complete body.
    pub(crate) async fn send_with_headers(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response, PlatformError> {
        self.exchange_with_limits(request, self.limits).await
    }

    async fn exchange_with_limits(
        &self,
        mut request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<Response, PlatformError> {
        let host = request.uri().authority().cloned();
        let host = host.ok_or_else(|| self.answer_lost_error("the URI has no host".to_owned()))?;
        self.set_target(&mut request, &host)?;
        let generation = self.connections.generation_for(&host);
        let mut exchange = pin!(self.exchange(&host, generation, request));
        let suspect_after = limits.suspect_after.min(limits.timeout);
        if let Some(response) = within(suspect_after, exchange.as_mut()).await {
            return response;
        }
        if self.connections.replace(&host, generation) {
            self.silence_counts.note(self.service);
            log::info!(
                service = self.service, host = host.as_str(),
                after_ms = suspect_after.as_millis() as u64;
                "connections: silent, replaced for later calls"
            );
        }
        match within(limits.timeout.saturating_sub(suspect_after), exchange).await {
            Some(response) => response,
            None => Err(self.answer_lost_error(format!("no response within {:?}", limits.timeout))),
        }
    }

    /// Names the host in a header unless the request names one, and leaves the path and the query in
    /// the URI.
    fn set_target(
        &self,
        request: &mut Request<Full<Bytes>>,
        host: &Authority,
    ) -> Result<(), PlatformError> {
        let value = HeaderValue::from_str(host.as_str());
        let value = value.map_err(|error| self.answer_lost_error(error.to_string()))?;
        request.headers_mut().entry(HOST).or_insert(value);
        let path = request.uri().path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        Ok(())
    }

    /// Sends a GET request and parses the JSON response. Returns `None` for the status "not found".
    pub async fn get<T: DeserializeOwned>(&self, uri: Uri) -> Result<Option<T>, PlatformError> {
        let (status, body) = self.send(get_request(uri)).await?;
        match status {
            StatusCode::OK => self.parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.refused(status, &body)),
        }
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
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

    /// Returns a POST request with a JSON body.
    pub fn json_request(
        &self,
        uri: Uri,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| self.malformed_error(error))?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        Ok(request)
    }

    /// Parses JSON.
    pub fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, PlatformError> {
        serde_json::from_slice(body).map_err(|error| self.malformed_error(error))
    }

    async fn exchange(
        &self,
        host: &Authority,
        generation: Generation,
        request: Request<Full<Bytes>>,
    ) -> Result<Response, PlatformError> {
        let exchange = self.connections.exchange(host, generation, request).await;
        let response = exchange.map_err(|error| PlatformError::Unreachable {
            service: self.service,
            cause: format_error_chain(&error),
        })?;
        response.map_err(|error| self.answer_lost_error(format_error_chain(&error)))
    }

    fn answer_lost_error(&self, cause: String) -> PlatformError {
        PlatformError::AnswerLost { service: self.service, cause }
    }

    /// Returns the error for a response with an unexpected status.
    pub fn refused(&self, status: StatusCode, body: &[u8]) -> PlatformError {
        let body =
            String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BODY_BYTES)]).into_owned();
        PlatformError::Refused { service: self.service, status: status.as_u16(), body }
    }

    fn malformed_error(&self, error: serde_json::Error) -> PlatformError {
        PlatformError::Malformed { service: self.service, cause: error.to_string() }
    }
}

/// Returns a GET request.
pub(crate) fn get_request(uri: Uri) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    request
}

/// Formats an error and its causes on one line.
fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
