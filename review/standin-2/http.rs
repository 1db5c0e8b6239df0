//! A small HTTP/1.1 server, with one thread per connection, and a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::json::Json;

/// A request that a stand-in received.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Answers requests; `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, Json)> + Send + Sync;

/// A server at a fixed address, which can be taken down and up again.
pub struct Server {
    pub address: SocketAddr,
    handler: Arc<Handler>,
    down: Mutex<Arc<AtomicBool>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server on a free port of the loopback address.
    pub fn start(handler: Arc<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Self {
            address,
            handler,
            down: Mutex::new(Arc::default()),
            streams: Arc::default(),
        });
        server.serve(listener);
        server
    }

    /// Closes the port and all connections, like a process that died.
    pub fn take_down(&self) {
        self.down.lock().expect("lock").store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Opens the port again.
    pub fn bring_up(&self) {
        *self.down.lock().expect("lock") = Arc::default();
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.serve(listener);
    }

    fn serve(&self, listener: TcpListener) {
        let down = Arc::clone(&self.down.lock().expect("lock"));
        let (handler, streams) = (Arc::clone(&self.handler), Arc::clone(&self.streams));
        listener.set_nonblocking(true).expect("non-blocking");
        thread::spawn(move || {
            while !down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            streams.lock().expect("lock").push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || serve_connection(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { break };
        let body = if body == Json::Null { String::new() } else { body.write() };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let target = first.split(' ').nth(1)?.to_owned();
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let decode = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (unescape(name), unescape(value))
    };
    let query = query.split('&').filter(|part| !part.is_empty()).map(decode).collect();
    Some(Request { path: path.to_owned(), query, headers, body: Json::read(&body) })
}

fn unescape(text: &str) -> String {
    let (mut out, bytes, mut at) = (Vec::new(), text.as_bytes(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own. Returns the status, 0 without an answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> (u16, Json) {
    let exchange = || -> Option<(u16, Json)> {
        let started = Instant::now();
        let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
        let left = wait.checked_sub(started.elapsed())?;
        stream.set_read_timeout(Some(left)).ok()?;
        stream.set_nodelay(true).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Kitetrail-Time-Remaining-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, Json::read(&read_body(&mut reader, &headers)?)))
    };
    exchange().unwrap_or((0, Json::Null))
}
