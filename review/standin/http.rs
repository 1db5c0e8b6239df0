//! A small HTTP/1.1 server and client over loopback.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// Answers a request with a status and a body; `None` closes the channel without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync;

/// Serves on a free port of an address, one thread a channel.
pub fn serve(ip: &str, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_channel(stream, &*handler));
        }
    });
    address
}

fn serve_channel(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(65_536, stream);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&read| read > 0)?;
        let mut words = line.split_whitespace();
        let target = words.nth(1)?.to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let headers = read_headers(&mut reader)?;
        let length = headers.iter().find(|(key, _)| key == "content-length");
        let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = (path.to_owned(), query.to_owned());
        let body = String::from_utf8_lossy(&body).into_owned();
        let (status, body) = handler(&Request { path, query, headers, body })?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&read| read > 0)?;
        let Some((key, value)) = line.trim_end().split_once(':') else { return Some(headers) };
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Sends one request on a new channel. `Err` says why there is no whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Kitetrail-Time-Remaining-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(text)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or("the channel was closed")?;
    let headers = read_headers(&mut reader).ok_or("the head is cut off")?;
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let mut body = String::new();
    match length.and_then(|(_, value)| value.parse::<u64>().ok()) {
        Some(length) => {
            let read = reader.take(length).read_to_string(&mut body).map_err(text)?;
            if (read as u64) < length {
                return Err("the body is cut off".into());
            }
        }
        None => drop(reader.read_to_string(&mut body).map_err(text)?),
    }
    Ok((status, body))
}
