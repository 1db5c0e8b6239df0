//! One connection to a host, which carries one exchange at a time.

use std::{
    future::{Future, poll_fn},
    io,
    pin::{Pin, pin},
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    http::uri::Authority,
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time};

/// The maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// The port of hosts without one.
const DEFAULT_PORT: u16 = 80;

/// The reason why a connection can't be established.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("client error (Connect): tcp connect error")]
    Io(#[from] io::Error),
    #[error("client error (Connect)")]
    Http(#[from] hyper::Error),
    #[error("client error (Connect): no connection within {0:?}")]
    TimedOut(Duration),
}

/// The reason why an exchange has no complete response.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    #[error("client error (SendRequest)")]
    Request(#[from] hyper::Error),
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A connection to a host, which carries one exchange at a time. It closes when dropped.
///
/// The task of an exchange drives its connection itself. With a task for each connection, a response
/// would wait for the turns of both tasks, and for those of the channels between them.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    is_over: bool,
    pub(super) idle_since: Instant,
}

impl Connection {
    pub(super) async fn open(host: &Authority, timeout: Duration) -> Result<Self, ConnectError> {
        let port = host.port_u16().unwrap_or(DEFAULT_PORT);
        let stream = time::timeout(timeout, TcpStream::connect((host.host(), port))).await;
        let stream = stream.map_err(|_| ConnectError::TimedOut(timeout))??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, driver, is_over: false, idle_since: Instant::now() })
    }

    /// Returns whether the connection can carry another exchange: the host has not closed it.
    pub(super) async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            self.is_over = self.is_over || Pin::new(&mut self.driver).poll(context).is_ready();
            Poll::Ready(())
        })
        .await;
        !self.is_over && self.sender.is_ready()
    }

    /// Sends a request and returns the complete response.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response, ExchangeError> {
        let Self { sender, driver, is_over, .. } = self;
        let exchange = async {
            let (parts, body) = sender.send_request(request).await?.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(ExchangeError::Body)?.to_bytes();
            Ok(Response { status: parts.status, headers: parts.headers, body })
        };
        let mut exchange = pin!(exchange);
        poll_fn(|context| {
            // The exchange gives the driver the request, and the driver gives the exchange the
            // response.
            if let Poll::Ready(response) = exchange.as_mut().poll(context) {
                return Poll::Ready(response);
            }
            *is_over = *is_over || Pin::new(&mut *driver).poll(context).is_ready();
            exchange.as_mut().poll(context)
        })
        .await
    }
}
