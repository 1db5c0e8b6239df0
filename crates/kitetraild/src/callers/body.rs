//! The bodies of requests and answers as they pass through.

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

use super::{in_flight::InFlight, pool::Connection};

/// How long an answer may make no progress before it is cut off.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// How often progress is looked at.
const STALL_CHECK: Duration = Duration::from_secs(1);

/// A body that broke off.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The other side broke off.
    #[error("the body broke off: {0}")]
    BrokeOff(#[from] hyper::Error),
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
}

/// The body of a request on its way to an endpoint.
#[derive(Debug)]
pub enum RequestBody {
    /// Read already, so that it can be sent again.
    Whole(Full<Bytes>),
    /// Passed on as it comes in.
    Stream(Limited<Incoming>),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Stream(body) => {
                Pin::new(body).poll_frame(context).map_err(|_| BodyError::TooLarge)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

/// The body of an answer on its way to a caller.
pub enum AnswerBody {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Passed on as it comes in.
    Stream(Box<AnswerStream>),
}

/// An answer that is passed on as it comes in.
///
/// The endpoint's connection is used again only after the last byte came. If the answer
/// breaks off, so does the caller's: it is never a short success.
pub struct AnswerStream {
    incoming: Incoming,
    connection: Option<Connection>,
    in_flight: Option<InFlight>,
    failed: bool,
    progress: Rc<Cell<Instant>>,
    watch: AbortHandle,
}

impl AnswerStream {
    /// Passes on an answer of `in_flight` that comes in on `connection`.
    pub fn new(
        incoming: Incoming,
        connection: Connection,
        in_flight: InFlight,
        failed: bool,
    ) -> Self {
        let progress = Rc::new(Cell::new(Instant::now()));
        let watch = watch_progress(Rc::clone(&progress), connection.abort_handle());
        Self {
            incoming,
            connection: Some(connection),
            in_flight: Some(in_flight),
            failed,
            progress,
            watch,
        }
    }

    fn end(&mut self, whole: bool) {
        self.watch.abort();
        let (Some(connection), Some(in_flight)) = (self.connection.take(), self.in_flight.take())
        else {
            return;
        };
        match whole {
            true => in_flight.complete(connection, self.failed),
            false => in_flight.broke_off(),
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Cuts a connection off when no byte of its answer was passed on for too long.
fn watch_progress(progress: Rc<Cell<Instant>>, connection: AbortHandle) -> AbortHandle {
    let watch = tokio::task::spawn_local(async move {
        while progress.get().elapsed() < STALL_LIMIT {
            tokio::time::sleep(STALL_CHECK).await;
        }
        connection.abort();
    });
    watch.abort_handle()
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let stream = match self.get_mut() {
            Self::Whole(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            Self::Stream(stream) => stream,
        };
        let polled = Pin::new(&mut stream.incoming).poll_frame(context);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => {
                stream.progress.set(Instant::now());
                if stream.incoming.is_end_stream() {
                    stream.end(true);
                }
            }
            Poll::Ready(None) => stream.end(true),
            Poll::Ready(Some(Err(_))) => stream.end(false),
        }
        polled.map_err(BodyError::BrokeOff)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(stream) => stream.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(stream) => stream.incoming.size_hint(),
        }
    }
}
