//! Calls to another box that don't wait for the late main loop of this one.

use std::{net::SocketAddr, thread, time::Duration};

use kitetrail_proto::jobs::jobs_client::JobsClient;
use tokio::{runtime, sync::oneshot, time};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

/// Makes one call to a box, on a thread and a connection of its own.
///
/// On a box that is short of processor time, a call on the main loop passes several tasks, each of which waits behind
/// all others. That takes a second and more, while the box called answers within milliseconds.
pub(in crate::fleet) async fn call_directly<T: Send + 'static>(
    peer: SocketAddr,
    timeout: Duration,
    call: impl AsyncFnOnce(JobsClient<Channel>) -> Result<T, Status> + Send + 'static,
) -> Result<T, Status> {
    let (reply, answer) = oneshot::channel();
    let started = thread::Builder::new().name("direct-call".to_owned()).spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let _ = reply.send(match runtime {
            Ok(runtime) => runtime.block_on(connect_and_call(peer, timeout, call)),
            Err(error) => Err(Status::internal(error.to_string())),
        });
    });
    started.map_err(|error| Status::internal(error.to_string()))?;
    answer.await.map_err(|_| Status::internal("the thread of a call ended"))?
}

async fn connect_and_call<T>(
    peer: SocketAddr,
    timeout: Duration,
    call: impl AsyncFnOnce(JobsClient<Channel>) -> Result<T, Status>,
) -> Result<T, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let channel = endpoint.connect_timeout(timeout).tcp_nodelay(true).connect_lazy();
    let answer = time::timeout(timeout, call(JobsClient::new(channel))).await;
    answer.unwrap_or_else(|_| Err(Status::deadline_exceeded("no response in time")))
}
