use std::thread;

use tokio::runtime;

use super::*;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
const ONE_HOUR: Duration = Duration::from_secs(3_600);

/// Runs a test in a Tokio runtime, which connections need.
fn with_runtime(test: impl FnOnce()) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { test() });
}

#[test]
fn a_connection_is_reused_until_it_is_discarded_and_counted_once_as_silent() {
    with_runtime(|| {
        let silences = SilenceCounts::default();
        let channels = PeerChannels::new(ONE_HOUR, silences.clone());
        let first = channels.get_or_open(PEER).unwrap();
        assert!(Rc::ptr_eq(&first, &channels.get_or_open(PEER).unwrap()));
        channels.discard(&first, ONE_HOUR);
        let second = channels.get_or_open(PEER).unwrap();
        assert!(!Rc::ptr_eq(&first, &second));
        channels.discard(&first, ONE_HOUR);
        assert!(
            Rc::ptr_eq(&second, &channels.get_or_open(PEER).unwrap()),
            "discarding a replaced connection has no effect"
        );
        assert_eq!(silences.counts().get(SERVICE), Some(&1));
    });
}

#[test]
fn an_idle_connection_is_replaced_and_not_counted_as_silent() {
    with_runtime(|| {
        let silences = SilenceCounts::default();
        let channels = PeerChannels::new(Duration::from_millis(1), silences.clone());
        let first = channels.get_or_open(PEER).unwrap();
        thread::sleep(Duration::from_millis(5));
        assert!(!Rc::ptr_eq(&first, &channels.get_or_open(PEER).unwrap()));
        assert!(silences.counts().is_empty());
    });
}
