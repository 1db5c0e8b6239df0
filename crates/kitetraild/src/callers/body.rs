//! The bodies of requests and responses that are proxied.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::task::AbortHandle;

use super::{in_flight::InFlightRequest, pool::Connection};

/// How long a response may make no progress before its connection is aborted.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which progress is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An error while a body is read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender ended the body early.
    #[error("the body was interrupted: {0}")]
    Interrupted(#[from] hyper::Error),
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
}

/// The body of a request to an endpoint.
#[derive(Debug)]
pub enum RequestBody {
    /// The body was read completely, so it can be sent again.
    Buffered(Full<Bytes>),
    /// The body is forwarded while it is received.
    Streamed(Limited<Incoming>),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Streamed(body) => {
                Pin::new(body).poll_frame(context).map_err(|_| BodyError::TooLarge)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The body is completely available.
    Buffered(Full<Bytes>),
    /// The body is forwarded while it is received.
    Streamed(Box<ResponseStream>),
}

/// A response body that is forwarded while it is received.
///
/// The endpoint's connection is reused only after the last byte arrived. If the endpoint's response
/// is interrupted, the caller's response is too, so a truncated response never looks like a
/// success.
pub struct ResponseStream {
    incoming: Incoming,
    connection: Option<Connection>,
    in_flight: Option<InFlightRequest>,
    failed: bool,
    last_progress: Rc<Cell<Instant>>,
    watchdog: AbortHandle,
}

impl ResponseStream {
    /// Forwards the response to `in_flight`, which arrives on `connection`.
    pub fn new(
        incoming: Incoming,
        connection: Connection,
        in_flight: InFlightRequest,
        failed: bool,
    ) -> Self {
        let last_progress = Rc::new(Cell::new(Instant::now()));
        let watchdog = abort_when_stalled(Rc::clone(&last_progress), connection.abort_handle());
        Self {
            incoming,
            connection: Some(connection),
            in_flight: Some(in_flight),
            failed,
            last_progress,
            watchdog,
        }
    }

    fn finish(&mut self, complete: bool) {
        self.watchdog.abort();
        let (Some(connection), Some(in_flight)) = (self.connection.take(), self.in_flight.take())
        else {
            return;
        };
        match complete {
            true => in_flight.complete(connection, self.failed),
            false => in_flight.fail(),
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.watchdog.abort();
    }
}

/// Aborts a connection when no byte of its response was forwarded for `STALL_TIMEOUT`.
fn abort_when_stalled(last_progress: Rc<Cell<Instant>>, connection: AbortHandle) -> AbortHandle {
    let watchdog = tokio::task::spawn_local(async move {
        while last_progress.get().elapsed() < STALL_TIMEOUT {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        }
        connection.abort();
    });
    watchdog.abort_handle()
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let stream = match self.get_mut() {
            Self::Buffered(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            Self::Streamed(stream) => stream,
        };
        let polled = Pin::new(&mut stream.incoming).poll_frame(context);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => {
                stream.last_progress.set(Instant::now());
                if stream.incoming.is_end_stream() {
                    stream.finish(true);
                }
            }
            Poll::Ready(None) => stream.finish(true),
            Poll::Ready(Some(Err(_))) => stream.finish(false),
        }
        polled.map_err(BodyError::Interrupted)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(stream) => stream.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(stream) => stream.incoming.size_hint(),
        }
    }
}
