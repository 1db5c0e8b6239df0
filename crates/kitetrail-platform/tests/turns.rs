//! How many turns of a busy runtime an exchange with a service waits for.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::Duration,
};

use hyper::Uri;
use kitetrail_platform::JsonClient;
use serde_json::{Value, json};
use tokio::{runtime::Builder, task::LocalSet};

const TIMEOUT: Duration = Duration::from_secs(10);
/// The number of exchanges. Those in which the service itself has to wait for a processor take more
/// turns.
const EXCHANGES: usize = 200;
/// The processor time of a turn of the other tasks: long beside the round trip to the service.
const TURN_TIME: Duration = Duration::from_millis(2);
/// The most turns: the response arrives during the turn after the request.
const MAX_TURNS: u64 = 1;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Starts a service that answers each request at once.
fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_nodelay(true).unwrap();
            thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        request.extend_from_slice(&buffer[..length]);
        // The body of a request ends with the only object in it.
        if request.ends_with(b"{}") {
            request.clear();
            stream.write_all(RESPONSE).unwrap();
        }
    }
}

/// Guards against exchanges that wait for several turns of an owner's busy process, so that a lag of
/// milliseconds delays each answer by ten times as much.
#[test]
fn exchange_on_a_busy_runtime_waits_for_one_round_of_the_other_tasks() {
    let address = start_service();
    // The driver is polled between two turns, so that only the turns of tasks count.
    let runtime = Builder::new_current_thread().enable_all().event_interval(1).build().unwrap();
    let turns_taken = LocalSet::new().block_on(&runtime, async {
        let client = JsonClient::new("service", TIMEOUT);
        let uri: Uri = format!("http://{address}/v1/hold").parse().unwrap();
        client.post::<Value>(uri.clone(), &json!({})).await.unwrap();
        let turns = Rc::new(Cell::new(0));
        let others = Rc::clone(&turns);
        let others = tokio::task::spawn_local(async move {
            loop {
                thread::sleep(TURN_TIME);
                others.set(others.get() + 1);
                tokio::task::yield_now().await;
            }
        });
        let mut turns_taken = Vec::new();
        for _ in 0..EXCHANGES {
            let before = turns.get();
            client.post::<Value>(uri.clone(), &json!({})).await.unwrap();
            turns_taken.push(turns.get() - before);
        }
        others.abort();
        turns_taken
    });
    let mut sorted = turns_taken.clone();
    sorted.sort_unstable();
    let median = sorted[EXCHANGES / 2];
    assert!(median <= MAX_TURNS, "an exchange takes {median} turns in the median: {turns_taken:?}");
}
