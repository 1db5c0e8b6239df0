//! Callers that send nonsense, too much, too slowly, or do not read.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use expect_test::expect_file;
use system::System;

/// What a box may use beyond what it used before, in KiB, while large bodies pass through.
const MAX_GROWTH_KB: u64 = 24 * 1_024;

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream
}

/// Sends some bytes and returns all that comes back until the connection closes.
fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// The parts of an answer that are the same in each run.
fn essence(answer: &str) -> String {
    let varies = ["date:", "x-request-id:", "connection:"];
    let lines = answer.lines().map(str::trim_end);
    let lines = lines.filter(|line| !varies.iter().any(|start| line.starts_with(start)));
    lines.map(|line| format!("    {line}\n")).collect()
}

fn resident_kb(system: &System, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", system.process_id(name))).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn bad_requests_get_clear_answers() {
    let mut system = System::new(61, 1, 1);
    system.settings = "[requests]\nheader_timeout_ms = 1000\nmax_body_bytes = 1000\n".to_owned();
    system.start();
    system.create_service("validate", 1);
    let address = system.callers(1);
    let huge = format!("GET /services/validate HTTP/1.1\r\nx-a: {}\r\n\r\n", "a".repeat(40_000));
    let cases: [(&str, &[u8]); 8] = [
        ("no HTTP", b"hello\r\n\r\n"),
        ("no service in the path", b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("a bad name", b"GET /services/UPPER HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("an unknown service", b"GET /services/nosuch HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("a bad time limit", b"GET /services/validate HTTP/1.1\r\nx-timeout-ms: soon\r\nconnection: close\r\n\r\n"),
        ("a bad key", b"POST /services/validate HTTP/1.1\r\nidempotency-key: a/b\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"),
        ("too large a body", b"POST /services/validate HTTP/1.1\r\nconnection: close\r\ncontent-length: 1001\r\n\r\n"),
        ("headers without end", huge.as_bytes()),
    ];
    let mut told = String::new();
    for (what, bytes) in cases {
        told += &format!("{what}\n{}", essence(&send(address, bytes)));
    }
    let half = "POST /services/validate HTTP/1.1\r\nx-timeout-ms: 700\r\ncontent-length: 10\r\nconnection: close\r\n\r\nhalf";
    told += &format!("a body that does not come\n{}", essence(&send(address, half.as_bytes())));
    told += &format!("slow headers\n{}", essence(&send(address, b"GET /services/validate HT")));
    expect_file!["golden/bad_requests.txt"].assert_eq(&told);
    assert_eq!(system.http_status(system.operators(1), "/healthz"), Some(200));
}

#[test]
fn a_flood_of_connections_is_turned_away() {
    let mut system = System::new(62, 1, 1);
    system.settings = "[requests]\nmax_connections = 20\nheader_timeout_ms = 60000\n".to_owned();
    system.start();
    let held: Vec<TcpStream> = (0..20).map(|_| connect(system.callers(1))).collect();
    system.until("the box is full", || {
        send(system.callers(1), b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n")
            .contains("too many connections")
    });
    drop(held);
    system.until("the box takes connections again", || {
        send(system.callers(1), b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n")
            .contains("200")
    });
}

#[test]
fn large_bodies_pass_through_in_bounded_memory() {
    let mut system = System::new(63, 1, 1);
    system.start();
    system.create_service("upload", 1);
    let before_kb = resident_kb(&system, "entry-1");
    let size = 64 * 1_024 * 1_024;
    let head = format!(
        "POST /services/upload/x HTTP/1.1\r\nconnection: close\r\nx-answer-bytes: {size}\r\ncontent-length: {size}\r\n\r\n"
    );
    let mut stream = connect(system.callers(1));
    stream.write_all(head.as_bytes()).unwrap();
    let block = vec![b'x'; 1 << 20];
    for _ in 0..64 {
        stream.write_all(&block).unwrap();
    }
    // A slow reader: nothing is read for a while, and the answer must not pile up.
    std::thread::sleep(Duration::from_secs(2));
    let during_kb = resident_kb(&system, "entry-1");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let body_at = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(answer.len() - body_at, size, "the whole answer came");
    assert!(answer[body_at..].windows(9).any(|w| w == b"received="));
    let growth_kb = during_kb.saturating_sub(before_kb);
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} KiB more while {size} bytes passed");
}
