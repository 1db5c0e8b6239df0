//! Tests of crowds of callers that stop before the end of their request: a box stays within the memory that it is meant to
//! use, and ordinary callers are answered.
//!
//! The crowds and bounds don't depend on the speed of the machine. The tests run one at a time.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod system;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use system::TestCluster;

/// The memory that a box may use, by the goal for control at full size, in megabytes.
const MEMORY_MB: u64 = 128;
/// The length of the bodies, the longest that is received before it is sent on.
const BODY_BYTES: usize = 64 * 1_024;
/// The time after which a write or a response times out.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

fn exclusive() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Raises the limit on descriptors of the test and of the processes that it starts to what the system allows.
fn raise_descriptor_limit() {
    let (_, most) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, most, most).unwrap();
}

/// Starts a box with a service that echoes requests.
fn start(test_id: u8) -> TestCluster {
    raise_descriptor_limit();
    let mut cluster = TestCluster::new(test_id, 1, 1);
    cluster.start();
    cluster.create_service("validate", 1);
    cluster
}

/// Sends a request that lacks the last byte of its body on each of some connections, in pieces for which the clients take
/// turns. Returns the connections, which stay open.
fn send_crowd(to: SocketAddr, clients: usize, piece_bytes: usize) -> Vec<TcpStream> {
    let head = format!(
        "POST /services/validate HTTP/1.1\r\nx-timeout-ms: 60000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_BYTES - 1, b' ');
    let connect = |_| {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        stream
    };
    let mut crowd = (0..clients).map(connect).collect::<Vec<_>>();
    for piece in request.chunks(piece_bytes) {
        for stream in &mut crowd {
            // The box may have refused the request and closed the connection.
            let _ = stream.write_all(piece);
        }
    }
    crowd
}

/// Returns whether an ordinary caller's request is answered.
fn is_answered(to: SocketAddr) -> bool {
    let request =
        b"POST /services/validate HTTP/1.1\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi";
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    let received = stream.write_all(request).and_then(|()| stream.read_to_end(&mut response));
    received.is_ok() && response.starts_with(b"HTTP/1.1 200")
}

fn check(cluster: &TestCluster, crowd: Vec<TcpStream>) {
    let address = cluster.callers_address(1);
    cluster.wait_until("an ordinary request is answered beside the crowd", || is_answered(address));
    drop(crowd);
    cluster.wait_until("an ordinary request is answered afterwards", || is_answered(address));
    let status =
        fs::read_to_string(format!("/proc/{}/status", cluster.process_id("entry-1"))).unwrap();
    let peak = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    let peak_kb = peak.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap();
    eprintln!("peak memory: {peak_kb} KiB");
    assert!(peak_kb * 1_024 <= MEMORY_MB * 1_000_000, "peak memory of {peak_kb} KiB");
}

#[test]
fn whole_buffered_bodies_that_lack_one_byte() {
    let _exclusive = exclusive();
    let cluster = start(64);
    let crowd = send_crowd(cluster.callers_address(1), 2_500, BODY_BYTES);
    check(&cluster, crowd);
}

#[test]
fn buffered_bodies_in_small_segments_that_lack_one_byte() {
    let _exclusive = exclusive();
    let cluster = start(65);
    let crowd = send_crowd(cluster.callers_address(1), 1_000, 256);
    check(&cluster, crowd);
}
