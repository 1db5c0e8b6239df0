//! One exchange with an endpoint on one connection.

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

/// The longest answer that is read whole before it is passed on, in bytes.
pub const MAX_WHOLE_BYTES: u64 = 64 * 1024;
/// The headers that belong to one connection, not to the request or answer.
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

/// What came of an exchange.
pub enum Exchanged {
    /// A whole answer. Its connection may be used again.
    Whole(response::Parts, Bytes, Connection),
    /// The head of an answer whose body is still coming in.
    Head(response::Parts, Incoming, Connection),
    /// The endpoint says that it refused before running.
    Refused,
    /// No byte reached the endpoint.
    NotSent,
    /// The request may have run; no answer of its own came.
    Lost(String),
}

/// A request on its way to one endpoint.
pub struct Outgoing<'a> {
    /// The endpoint.
    pub address: SocketAddr,
    /// The head as the caller sent it.
    pub head: &'a Parts,
    /// The request's id.
    pub id: &'a str,
    /// How much time is left.
    pub left: Duration,
    /// The body.
    pub body: RequestBody,
    /// How many connections to an endpoint may be kept.
    pub share: u32,
}

/// Sends a request and reads the answer, whole if it is short.
///
/// `sent` turns true at the moment a byte may leave.
pub async fn exchange(pool: &Pool, outgoing: Outgoing<'_>, sent: &Cell<bool>) -> Exchanged {
    let Outgoing { address, id, share, .. } = outgoing;
    let Some(mut request) = build(outgoing) else { return Exchanged::NotSent };
    let (response, connection) = loop {
        let Ok(mut connection) = pool.get(address).await else { return Exchanged::NotSent };
        sent.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => break (response, connection),
            Err(mut error) => match error.take_message() {
                // A connection that waited may have been closed by the endpoint; nothing
                // of the request was written to it.
                Some(unsent) if connection.used => {
                    sent.set(false);
                    request = unsent;
                }
                Some(_) => return Exchanged::NotSent,
                None => return Exchanged::Lost(error.into_error().to_string()),
            },
        }
    };
    read(pool, response, connection, id, share).await
}

async fn read(
    pool: &Pool,
    response: Response<Incoming>,
    connection: Connection,
    id: &str,
    share: u32,
) -> Exchanged {
    let (mut parts, incoming) = response.into_parts();
    let echoed = parts.headers.get(headers::REQUEST_ID).map(HeaderValue::as_bytes);
    if echoed != Some(id.as_bytes()) {
        return Exchanged::Lost("the answer does not carry the request's id".to_owned());
    }
    let refused = parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.get(headers::NOT_RUN).is_some_and(|value| value == "true");
    strip(&mut parts.headers);
    let announced = incoming.size_hint().exact();
    if announced.is_none_or(|length| length > MAX_WHOLE_BYTES) && !refused {
        return Exchanged::Head(parts, incoming, connection);
    }
    match Limited::new(incoming, MAX_WHOLE_BYTES as usize).collect().await {
        Ok(_) if refused => {
            pool.put_back(connection, share);
            Exchanged::Refused
        }
        Ok(body) => Exchanged::Whole(parts, body.to_bytes(), connection),
        Err(_) if refused => Exchanged::Refused,
        Err(error) => Exchanged::Lost(error.to_string()),
    }
}

fn build(outgoing: Outgoing<'_>) -> Option<Request<RequestBody>> {
    let Outgoing { address, head, id, left, body, .. } = outgoing;
    let length = match &body {
        RequestBody::Whole(body) => body.size_hint().exact(),
        RequestBody::Stream(body) => body.size_hint().exact(),
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    strip(headers);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    headers.insert(headers::REQUEST_ID, HeaderValue::from_str(id).ok()?);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(headers::TIMEOUT_MS, HeaderValue::from(left_ms));
    Some(request)
}

/// Removes the headers that belong to one connection.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
