//! Tests callers that send malformed, oversized or slow requests, or do not read the answer.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use expect_test::expect_file;
use system::TestCluster;

/// The most that the resident memory of a box may grow while it forwards large bodies, in KiB.
const MAX_GROWTH_KB: u64 = 24 * 1_024;

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream
}

/// Sends bytes and returns everything received until the connection closes.
fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the lines of an answer that are the same in every run.
fn stable_lines(answer: &str) -> String {
    let varying_headers = ["date:", "x-request-id:", "connection:"];
    let lines = answer.lines().map(str::trim_end);
    let lines = lines.filter(|line| !varying_headers.iter().any(|prefix| line.starts_with(prefix)));
    lines.map(|line| format!("    {line}\n")).collect()
}

fn resident_kb(cluster: &TestCluster, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", cluster.process_id(name))).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn malformed_requests_get_the_recorded_answers() {
    let mut cluster = TestCluster::new(61, 1, 1);
    cluster.extra_settings =
        "[requests]\nheader_timeout_ms = 1000\nmax_body_bytes = 1000\n".to_owned();
    cluster.start();
    cluster.create_service("validate", 1);
    let address = cluster.callers_address(1);
    let oversized_headers =
        format!("GET /services/validate HTTP/1.1\r\nx-a: {}\r\n\r\n", "a".repeat(40_000));
    let cases: [(&str, &[u8]); 8] = [
        ("not HTTP", b"hello\r\n\r\n"),
        ("no service in the path", b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("an invalid service name", b"GET /services/UPPER HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("an unknown service", b"GET /services/nosuch HTTP/1.1\r\nconnection: close\r\n\r\n"),
        ("an invalid time limit", b"GET /services/validate HTTP/1.1\r\nx-timeout-ms: soon\r\nconnection: close\r\n\r\n"),
        ("an invalid key", b"POST /services/validate HTTP/1.1\r\nidempotency-key: a/b\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"),
        ("a body above the limit", b"POST /services/validate HTTP/1.1\r\nconnection: close\r\ncontent-length: 1001\r\n\r\n"),
        ("headers above the limit", oversized_headers.as_bytes()),
    ];
    let mut answers = String::new();
    for (case, bytes) in cases {
        answers += &format!("{case}\n{}", stable_lines(&send(address, bytes)));
    }
    let incomplete_request = "POST /services/validate HTTP/1.1\r\nx-timeout-ms: 700\r\ncontent-length: 10\r\nconnection: close\r\n\r\nhalf";
    answers += &format!(
        "an incomplete body\n{}",
        stable_lines(&send(address, incomplete_request.as_bytes()))
    );
    answers += &format!(
        "incomplete headers\n{}",
        stable_lines(&send(address, b"GET /services/validate HT"))
    );
    expect_file!["golden/bad_requests.txt"].assert_eq(&answers);
    assert_eq!(cluster.http_status(cluster.operators_address(1), "/healthz"), Some(200));
}

#[test]
fn connections_beyond_the_limit_are_refused_until_others_close() {
    let mut cluster = TestCluster::new(62, 1, 1);
    cluster.extra_settings =
        "[requests]\nmax_connections = 20\nheader_timeout_ms = 60000\n".to_owned();
    cluster.start();
    let open_connections: Vec<TcpStream> =
        (0..20).map(|_| connect(cluster.callers_address(1))).collect();
    cluster.wait_until("the box refuses connections", || {
        send(cluster.callers_address(1), b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n")
            .contains("too many connections")
    });
    drop(open_connections);
    cluster.wait_until("the box accepts connections again", || {
        send(cluster.callers_address(1), b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n")
            .contains("200")
    });
}

#[test]
fn large_bodies_pass_through_in_bounded_memory() {
    let mut cluster = TestCluster::new(63, 1, 1);
    cluster.start();
    cluster.create_service("upload", 1);
    let before_kb = resident_kb(&cluster, "entry-1");
    let size = 64 * 1_024 * 1_024;
    let head = format!(
        "POST /services/upload/x HTTP/1.1\r\nconnection: close\r\nx-answer-bytes: {size}\r\ncontent-length: {size}\r\n\r\n"
    );
    let mut stream = connect(cluster.callers_address(1));
    stream.write_all(head.as_bytes()).unwrap();
    let block = vec![b'x'; 1 << 20];
    for _ in 0..64 {
        stream.write_all(&block).unwrap();
    }
    // The caller reads nothing for a while, and the box must not buffer the answer meanwhile.
    std::thread::sleep(Duration::from_secs(2));
    let during_kb = resident_kb(&cluster, "entry-1");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let body_at = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(answer.len() - body_at, size, "the answer must arrive whole");
    assert!(answer[body_at..].windows(9).any(|w| w == b"received="));
    let growth_kb = during_kb.saturating_sub(before_kb);
    assert!(
        growth_kb < MAX_GROWTH_KB,
        "memory grew by {growth_kb} KiB while {size} bytes were forwarded"
    );
}
