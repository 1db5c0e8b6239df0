//! HTTP adapters for the platform services, with JSON bodies.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode, Uri,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use kitetrail_core::{
    Version,
    fleet::{Fleet, WorkerInfo},
    table::{CommitOutcome, KeyPrefix, Row, RowKey, Transaction},
    worker::{SyncReply, SyncRequest},
};
use serde::Deserialize;

use crate::{
    BoxList, JsonClient, ObjectStore, PlatformError, TableService, Worker, connections::Response,
    json_client::get_request,
};

/// A [`TableService`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTable {
    address: SocketAddr,
    client: JsonClient,
}

impl HttpTable {
    /// Creates a client of the table service at `address`.
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
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.client.get(resource_uri(self.address, "/v1/row?key=", key.as_str())).await
    }

    async fn scan(&self, prefix: &KeyPrefix) -> Result<Vec<Row>, PlatformError> {
        let uri = resource_uri(self.address, "/v1/rows?prefix=", prefix.as_str());
        Ok(self.client.get::<Rows>(uri).await?.map(|rows| rows.rows).unwrap_or_default())
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let uri = resource_uri(self.address, "/v1/transactions", "");
        match self.client.post::<Committed>(uri, transaction).await {
            Ok(committed) => CommitOutcome::Committed(committed.version),
            Err(PlatformError::Refused { status: 409, .. }) => CommitOutcome::Conflict,
            Err(_) => CommitOutcome::Unknown,
        }
    }
}

/// An [`ObjectStore`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    address: SocketAddr,
    client: JsonClient,
}

impl HttpObjectStore {
    /// Creates a client of the object store at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, client: JsonClient::new("object store", timeout) }
    }
}

impl ObjectStore for HttpObjectStore {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = get_request(resource_uri(self.address, "/v1/objects/", name));
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
        *request.uri_mut() = resource_uri(self.address, "/v1/objects/", name);
        let (status, body) = self.client.send(request).await?;
        if status.is_success() { Ok(()) } else { Err(self.client.refused(status, &body)) }
    }
}

/// A [`BoxList`] over HTTP. An entity tag avoids sending an unchanged list again.
#[derive(Debug)]
pub struct HttpBoxList {
    address: SocketAddr,
    client: JsonClient,
    etag: RefCell<Option<HeaderValue>>,
}

impl HttpBoxList {
    /// Creates a client of the box list at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = JsonClient::new("box list", timeout);
        Self { address, client, etag: RefCell::new(None) }
    }
}

impl BoxList for HttpBoxList {
    async fn changes(&self) -> Result<Option<Fleet>, PlatformError> {
        let mut request = get_request(resource_uri(self.address, "/v1/boxes", ""));
        if let Some(etag) = self.etag.borrow().clone() {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        let Response { status, headers, body } = self.client.send_with_headers(request).await?;
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

/// The control interface of all [`Worker`]s over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    client: JsonClient,
}

impl HttpWorkers {
    /// Creates a client that can call every worker.
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
        self.client.post(resource_uri(worker.control, "/v1/sync", ""), request).await
    }
}

/// Returns the URI of a resource.
///
/// Names contain no characters that need escaping in a URI. The names that operators choose for
/// changes are validated when they are submitted.
fn resource_uri(address: SocketAddr, path: &str, name: &str) -> Uri {
    let text = format!("http://{address}{path}{name}");
    text.parse().unwrap_or_else(|_| Uri::from_static("http://0.0.0.0/invalid-name"))
}
