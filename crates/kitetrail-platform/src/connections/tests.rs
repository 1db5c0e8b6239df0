use super::*;

const TIMEOUT: Duration = Duration::from_millis(100);
/// More hosts than the largest site has workers.
const MANY_HOSTS: usize = 12_000;

fn host(number: usize) -> Authority {
    format!("worker-{number}:80").parse().unwrap()
}

#[test]
fn silent_connections_are_replaced_once() {
    let connections = Connections::new(TIMEOUT);
    let first = connections.generation_for(&host(1));
    let of_other_host = connections.generation_for(&host(2));
    assert!(connections.replace(&host(1), first));
    assert!(
        !connections.replace(&host(1), first),
        "concurrent calls replace connections only once"
    );
    let second = connections.generation_for(&host(1));
    assert_ne!(first, second);
    assert_eq!(
        connections.generation_for(&host(2)),
        of_other_host,
        "other hosts keep their connections"
    );
    assert!(connections.replace(&host(1), second));
}

#[test]
fn silent_connections_of_many_hosts_are_replaced() {
    let connections = Connections::new(TIMEOUT);
    for number in 0..MANY_HOSTS {
        let suspect = connections.generation_for(&host(number));
        assert!(connections.replace(&host(number), suspect));
        assert_ne!(connections.generation_for(&host(number)), suspect);
        assert!(lock(&connections.hosts).by_authority.len() <= MANY_HOSTS);
    }
}

#[test]
fn hosts_that_are_not_called_are_forgotten() {
    let connections = Connections::new(TIMEOUT);
    let before = connections.generation_for(&host(1));
    let mut hosts = lock(&connections.hosts);
    let long_ago = Instant::now().checked_sub(2 * IDLE_TIMEOUT);
    let long_ago = long_ago.expect("the machine has been up for a minute");
    hosts.by_authority.values_mut().for_each(|known| known.used_at = long_ago);
    hosts.swept_at = long_ago;
    hosts.sweep_if_due();
    assert!(hosts.by_authority.is_empty());
    assert_ne!(hosts.host(&host(1)).generation, before, "a call in progress keeps no connection");
}
