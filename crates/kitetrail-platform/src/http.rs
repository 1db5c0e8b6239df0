//! The adapters over HTTP with JSON bodies.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use kitetrail_core::{
    Version,
    fleet::{Fleet, WorkerInfo},
    table::{CommitAnswer, Key, Prefix, Row, Transaction},
    worker::{SyncReply, SyncRequest},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{BoxList, ObjectStore, PlatformError, TableService, Worker, within};

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// How much of the body of a refusal an error shows, in bytes.
const SHOWN_OF_BODY: usize = 200;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A client that sends and receives JSON, with one timeout for the whole exchange.
#[derive(Debug, Clone)]
pub struct JsonClient {
    service: &'static str,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// A client that names `service` in its errors.
    pub fn new(service: &'static str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { service, timeout, client }
    }

    /// Sends a request and returns the status and the whole body.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let Answer { status, body, .. } = self.send_for_head(request).await?;
        Ok((status, body))
    }

    /// Sends a request and returns the status and the whole body, with a timeout of its own.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        match within(timeout, self.exchange(request)).await {
            Some(answer) => answer.map(|answer| (answer.status, answer.body)),
            None => Err(self.lost(format!("nothing came within {timeout:?}"))),
        }
    }

    /// Sends a request and returns the status, the headers and the whole body.
    async fn send_for_head(&self, request: Request<Full<Bytes>>) -> Result<Answer, PlatformError> {
        match within(self.timeout, self.exchange(request)).await {
            Some(answer) => answer,
            None => Err(self.lost(format!("nothing came within {:?}", self.timeout))),
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

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
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

/// The table service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTable {
    address: SocketAddr,
    client: JsonClient,
}

impl HttpTable {
    /// The table at an address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, client: JsonClient::new("table service", timeout) }
    }
}

#[derive(Deserialize)]
struct Committed {
    version: Version,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

impl TableService for HttpTable {
    async fn read(&self, key: &Key) -> Result<Option<Row>, PlatformError> {
        self.client.get(uri(self.address, "/v1/row?key=", key.as_str())).await
    }

    async fn scan(&self, prefix: &Prefix) -> Result<Vec<Row>, PlatformError> {
        let uri = uri(self.address, "/v1/rows?prefix=", prefix.as_str());
        Ok(self.client.get::<Rows>(uri).await?.map(|rows| rows.rows).unwrap_or_default())
    }

    async fn commit(&self, transaction: &Transaction) -> CommitAnswer {
        let uri = uri(self.address, "/v1/transactions", "");
        match self.client.post::<Committed>(uri, transaction).await {
            Ok(committed) => CommitAnswer::Committed(committed.version),
            Err(PlatformError::Refused { status: 409, .. }) => CommitAnswer::Conflict,
            Err(_) => CommitAnswer::Unknown,
        }
    }
}

/// The object store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    address: SocketAddr,
    client: JsonClient,
}

impl HttpObjectStore {
    /// The object store at an address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, client: JsonClient::new("object store", timeout) }
    }
}

impl ObjectStore for HttpObjectStore {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = get_request(uri(self.address, "/v1/objects/", name));
        let (status, body) = self.client.send(request).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.client.refused(status, &body)),
        }
    }

    async fn put(&self, name: &str, contents: Bytes) -> Result<(), PlatformError> {
        let mut request = Request::new(Full::new(contents));
        *request.method_mut() = Method::PUT;
        *request.uri_mut() = uri(self.address, "/v1/objects/", name);
        let (status, body) = self.client.send(request).await?;
        if status.is_success() { Ok(()) } else { Err(self.client.refused(status, &body)) }
    }
}

/// The box list over HTTP. A list that has not changed is not sent again.
#[derive(Debug)]
pub struct HttpBoxList {
    address: SocketAddr,
    client: JsonClient,
    etag: RefCell<Option<HeaderValue>>,
}

impl HttpBoxList {
    /// The box list at an address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = JsonClient::new("box list", timeout);
        Self { address, client, etag: RefCell::new(None) }
    }
}

impl BoxList for HttpBoxList {
    async fn changes(&self) -> Result<Option<Fleet>, PlatformError> {
        let mut request = get_request(uri(self.address, "/v1/boxes", ""));
        if let Some(etag) = self.etag.borrow().clone() {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        let Answer { status, headers, body } = self.client.send_for_head(request).await?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let fleet = self.client.parse(&body)?;
                *self.etag.borrow_mut() = headers.get(ETAG).cloned();
                Ok(Some(fleet))
            }
            _ => Err(self.client.refused(status, &body)),
        }
    }
}

/// The control interface of workers over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    client: JsonClient,
}

impl HttpWorkers {
    /// A client to all workers.
    pub fn new(timeout: Duration) -> Self {
        Self { client: JsonClient::new("worker", timeout) }
    }
}

impl Worker for HttpWorkers {
    async fn sync(
        &self,
        worker: &WorkerInfo,
        request: &SyncRequest,
    ) -> Result<SyncReply, PlatformError> {
        self.client.post(uri(worker.control, "/v1/sync", ""), request).await
    }
}

fn get_request(uri: Uri) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    request
}

/// The address of a resource. Names hold no character that a URI must escape, apart
/// from those that an operator chose for a change, which are checked on entry.
fn uri(address: SocketAddr, path: &str, name: &str) -> Uri {
    let text = format!("http://{address}{path}{name}");
    text.parse().unwrap_or_else(|_| Uri::from_static("http://0.0.0.0/invalid-name"))
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
