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

/// What stops a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A file or socket failed.
    #[error("{what}: {cause}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        cause: io::Error,
    },
    /// An argument or file can't be read.
    #[error("{0}")]
    Invalid(String),
    /// A promise was broken.
    #[error("{0}")]
    Broken(String),
}

/// The answer to a request, or `None` to close the connection without one.
pub type Answer = Option<Response<AnswerBody>>;

/// The connection was closed on purpose.
#[derive(Debug, Error)]
#[error("closed on purpose")]
pub struct Closed;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// Some bytes, and then the connection closes.
    Broken {
        /// The bytes, until they were sent.
        bytes: Option<Bytes>,
        /// Whether the connection was left the time to send them.
        flushed: bool,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Broken { bytes, flushed } => match bytes.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None if *flushed => Poll::Ready(Some(Err(Closed))),
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
            Self::Whole(body) => body.size_hint(),
            Self::Broken { .. } => SizeHint::default(),
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

/// Answers requests until the process ends.
pub async fn serve<H, F>(listen: SocketAddr, handler: H) -> Result<(), StandinError>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let what = format!("can't listen on {listen}");
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(|cause| StandinError::Io { what, cause })?;
    let handler = Rc::new(handler);
    let local = LocalSet::new();
    local.run_until(accept(listener, handler)).await;
    Ok(())
}

async fn accept<H, F>(listener: TcpListener, handler: Rc<H>)
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
                async move { answer.await.ok_or(Closed) }
            });
            let mut builder = http1::Builder::new();
            let connection = builder.timer(TokioTimer::new());
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// An answer with a JSON body.
pub fn json(body: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let response = Response::builder().header(CONTENT_TYPE, "application/json");
    response.body(Bytes::from(body).into()).ok()
}

/// An answer with a status and a line of text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    Response::builder().status(status).body(body.into().into()).ok()
}

/// The JSON a request carries.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let bad = |cause: String| text(StatusCode::BAD_REQUEST, cause);
    let body = request.into_body().collect().await.map_err(|error| bad(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| bad(error.to_string()))
}

/// The value of one parameter of a request's query.
pub fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}
