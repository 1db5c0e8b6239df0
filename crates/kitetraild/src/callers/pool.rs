//! Connections to endpoints. Each carries one exchange at a time.

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

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept. Shorter than endpoints usually keep theirs.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The endpoint refused or the network did.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// The endpoint does not speak HTTP.
    #[error("no HTTP connection: {0}")]
    Http(#[from] hyper::Error),
    /// It took too long.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    TimedOut,
}

/// A connection to an endpoint. It closes when dropped; only [`Pool::put_back`] after a
/// whole exchange keeps it.
#[derive(Debug)]
pub struct Connection {
    /// Where requests go in.
    pub sender: SendRequest<RequestBody>,
    /// Whether it has carried an exchange before.
    pub used: bool,
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
    /// Cuts the connection off when used.
    pub fn abort_handle(&self) -> AbortHandle {
        self.driver.0.clone()
    }
}

/// A connection that waits, and since when.
type Idle = (Instant, Connection);

/// The connections that wait for a next exchange.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A connection that waits, or a new one.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    /// Keeps a connection whose exchange is over, within the share of this box.
    pub fn put_back(&self, mut connection: Connection, share: u32) {
        if connection.sender.is_closed() {
            return;
        }
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(connection.address).or_default();
        if waiting.len() < share as usize {
            waiting.push((Instant::now(), connection));
        }
    }

    /// Closes connections that waited for too long.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, waiting| {
            waiting.retain(|(since, connection)| {
                since.elapsed() < IDLE_LIMIT && !connection.sender.is_closed()
            });
            !waiting.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&address)?;
        while let Some((since, connection)) = waiting.pop() {
            if since.elapsed() < IDLE_LIMIT && connection.sender.is_ready() {
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
    Ok(Connection { sender, used: false, address, driver })
}
