use std::thread;

use tokio::runtime;

use super::*;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
const LONG: Duration = Duration::from_secs(3_600);

/// Runs a test in a runtime, which connections need.
fn with_runtime(test: impl FnOnce()) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { test() });
}

#[test]
fn a_connection_is_used_until_it_is_found_silent_which_counts_once() {
    with_runtime(|| {
        let silences = SilenceCounts::default();
        let channels = PeerChannels::new(LONG, silences.clone());
        let first = channels.to(PEER).unwrap();
        assert!(Rc::ptr_eq(&first, &channels.to(PEER).unwrap()));
        channels.distrust(&first, LONG);
        let second = channels.to(PEER).unwrap();
        assert!(!Rc::ptr_eq(&first, &second));
        channels.distrust(&first, LONG);
        assert!(Rc::ptr_eq(&second, &channels.to(PEER).unwrap()), "a late doubt changes nothing");
        assert_eq!(silences.counts().get(SERVICE), Some(&1));
    });
}

#[test]
fn a_connection_that_brought_nothing_for_long_is_made_anew_and_not_counted() {
    with_runtime(|| {
        let silences = SilenceCounts::default();
        let channels = PeerChannels::new(Duration::from_millis(1), silences.clone());
        let first = channels.to(PEER).unwrap();
        thread::sleep(Duration::from_millis(5));
        assert!(!Rc::ptr_eq(&first, &channels.to(PEER).unwrap()));
        assert!(silences.counts().is_empty());
    });
}
