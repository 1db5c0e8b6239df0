//! A pool of connections to endpoints. Each connection carries one exchange at a time.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle};

use super::body::RequestBody;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept. Shorter than the idle timeout of most endpoints, so that
/// they don't close it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason why a connection can't be established.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The endpoint or the network refused the connection.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// The endpoint does not speak HTTP.
    #[error("no HTTP connection: {0}")]
    Http(#[from] hyper::Error),
    /// The connection was not established in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    TimedOut,
}

/// A connection to an endpoint. It closes when dropped, unless it is handed to
/// [`Pool::return_connection`] after a complete exchange.
#[derive(Debug)]
pub struct Connection {
    /// The sender of requests.
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection has carried an exchange before.
    pub reused: bool,
    address: SocketAddr,
    driver: AbortOnDrop,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Returns a handle that aborts the connection.
    pub fn abort_handle(&self) -> AbortHandle {
        self.driver.0.clone()
    }
}

/// The time since which a connection is idle, and the connection.
type IdleConnection = (Instant, Connection);

/// The idle connections to endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection, or a new one if none is idle.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    /// Keeps a connection whose exchange is complete, up to `max_idle` connections to its endpoint.
    pub fn return_connection(&self, mut connection: Connection, max_idle: u32) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.entry(connection.address).or_default();
        if idle_connections.len() < max_idle as usize {
            idle_connections.push((Instant::now(), connection));
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, idle_connections| {
            idle_connections.retain(|(idle_since, connection)| {
                idle_since.elapsed() < IDLE_TIMEOUT && !connection.sender.is_closed()
            });
            !idle_connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&address)?;
        while let Some((idle_since, connection)) = idle_connections.pop() {
            if idle_since.elapsed() < IDLE_TIMEOUT && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::TimedOut)??;
    stream.set_nodelay(true)?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(driver);
    let driver = AbortOnDrop(driver.abort_handle());
    Ok(Connection { sender, reused: false, address, driver })
}
