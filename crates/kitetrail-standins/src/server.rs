//! A small HTTP server for the stand-ins.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::CONTENT_TYPE,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{net::TcpListener, task::LocalSet};

/// The error with which a stand-in ends.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A file or socket failed.
    #[error("{operation}: {cause}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// An argument or the contents of a file are invalid.
    #[error("{0}")]
    Invalid(String),
    /// The journals or answers show a broken promise.
    #[error("{0}")]
    PromiseBroken(String),
}

/// The response to a request, or `None` to close the connection without a response.
pub type Answer = Option<Response<AnswerBody>>;

/// The error that makes the server close a connection deliberately.
#[derive(Debug, Error)]
#[error("the connection was closed deliberately")]
pub struct ConnectionClosed;

/// The body of a response.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A part of the body, after which the connection is closed.
    Truncated {
        /// The bytes to send; `None` after they were passed to the connection.
        bytes: Option<Bytes>,
        /// Whether the connection got the time to send the bytes.
        flushed: bool,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        match self.get_mut() {
            Self::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Truncated { bytes, flushed } => match bytes.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None if *flushed => Poll::Ready(Some(Err(ConnectionClosed))),
                None => {
                    *flushed = true;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Truncated { .. } => SizeHint::default(),
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Full::new(bytes))
    }
}

/// Serves requests until the process ends.
pub async fn serve<H, F>(listen: SocketAddr, handler: H) -> Result<(), StandinError>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let operation = format!("can't listen on {listen}");
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(|cause| StandinError::Io { operation, cause })?;
    let handler = Rc::new(handler);
    let local = LocalSet::new();
    local.run_until(accept_connections(listener, handler)).await;
    Ok(())
}

async fn accept_connections<H, F>(listener: TcpListener, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { answer.await.ok_or(ConnectionClosed) }
            });
            let mut builder = http1::Builder::new();
            let connection = builder.timer(TokioTimer::new());
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns a response with a JSON body.
pub fn json_response(body: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let response = Response::builder().header(CONTENT_TYPE, "application/json");
    response.body(Bytes::from(body).into()).ok()
}

/// Returns a response with a status and a text body.
pub fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    Response::builder().status(status).body(body.into().into()).ok()
}

/// Parses the JSON body of a request. The error is the response to send.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let bad_request = |cause: String| text_response(StatusCode::BAD_REQUEST, cause);
    let body =
        request.into_body().collect().await.map_err(|error| bad_request(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| bad_request(error.to_string()))
}

/// Returns the value of a query parameter of a request.
pub fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}
