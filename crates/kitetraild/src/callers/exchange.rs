//! A single exchange with an endpoint over one connection.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
    http::{request::Parts, response},
};
use kitetrail_platform::headers;

use super::{
    body::RequestBody,
    pool::{Connection, Pool},
};

/// The size up to which bodies are read completely before they are forwarded, in bytes.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// The hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The result of an exchange.
pub enum ExchangeResult {
    /// The complete response. Its connection may be reused.
    Complete(response::Parts, Bytes, Connection),
    /// The head of a response whose body is still being received.
    Streaming(response::Parts, Incoming, Connection),
    /// The endpoint refused the request before running it.
    Refused,
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The request may have run, but no valid response arrived.
    Lost(String),
}

/// A request to an endpoint.
pub struct OutgoingRequest<'a> {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The head of the caller's request.
    pub head: &'a Parts,
    /// The request id.
    pub id: &'a str,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The request body.
    pub body: RequestBody,
    /// The maximum number of idle connections to keep to the endpoint.
    pub max_idle: u32,
}

/// Sends a request and reads the response, completely if it is short.
///
/// Sets `sent` when the first byte of the request may leave the process.
pub async fn exchange(
    pool: &Pool,
    outgoing: OutgoingRequest<'_>,
    sent: &Cell<bool>,
) -> ExchangeResult {
    let OutgoingRequest { address, id, max_idle, .. } = outgoing;
    let Some(mut request) = build_request(outgoing) else { return ExchangeResult::NotSent };
    let (response, connection) = loop {
        let Ok(mut connection) = pool.get(address).await else { return ExchangeResult::NotSent };
        sent.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => break (response, connection),
            Err(mut error) => match error.take_message() {
                // The endpoint may have closed an idle connection; nothing of the request was
                // written to it.
                Some(unsent) if connection.reused => {
                    sent.set(false);
                    request = unsent;
                }
                Some(_) => return ExchangeResult::NotSent,
                None => return ExchangeResult::Lost(error.into_error().to_string()),
            },
        }
    };
    read_response(pool, response, connection, id, max_idle).await
}

async fn read_response(
    pool: &Pool,
    response: Response<Incoming>,
    connection: Connection,
    id: &str,
    max_idle: u32,
) -> ExchangeResult {
    let (mut parts, incoming) = response.into_parts();
    let echoed_id = parts.headers.get(headers::REQUEST_ID).map(HeaderValue::as_bytes);
    if echoed_id != Some(id.as_bytes()) {
        return ExchangeResult::Lost("the answer does not carry the request's id".to_owned());
    }
    let refused = parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.get(headers::NOT_RUN).is_some_and(|value| value == "true");
    remove_hop_by_hop(&mut parts.headers);
    let body_length = incoming.size_hint().exact();
    if body_length.is_none_or(|length| length > MAX_BUFFERED_BYTES) && !refused {
        return ExchangeResult::Streaming(parts, incoming, connection);
    }
    match Limited::new(incoming, MAX_BUFFERED_BYTES as usize).collect().await {
        Ok(_) if refused => {
            pool.return_connection(connection, max_idle);
            ExchangeResult::Refused
        }
        Ok(body) => ExchangeResult::Complete(parts, body.to_bytes(), connection),
        Err(_) if refused => ExchangeResult::Refused,
        Err(error) => ExchangeResult::Lost(error.to_string()),
    }
}

fn build_request(outgoing: OutgoingRequest<'_>) -> Option<Request<RequestBody>> {
    let OutgoingRequest { address, head, id, time_left, body, .. } = outgoing;
    let length = match &body {
        RequestBody::Buffered(body) => body.size_hint().exact(),
        RequestBody::Streamed(body) => body.size_hint().exact(),
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    remove_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    headers.insert(headers::REQUEST_ID, HeaderValue::from_str(id).ok()?);
    let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(headers::TIMEOUT_MS, HeaderValue::from(time_left_ms));
    Some(request)
}

/// Removes the hop-by-hop headers, including those listed in `connection`.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_specific: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_specific.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
