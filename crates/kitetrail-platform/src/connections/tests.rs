use super::*;

const TIMEOUT: Duration = Duration::from_millis(100);

fn host(number: usize) -> Authority {
    format!("worker-{number}:80").parse().unwrap()
}

#[test]
fn a_silent_pool_is_replaced_once() {
    let connections = Connections::new(TIMEOUT);
    let first = connections.pool_for(&host(1));
    assert!(connections.replace_pool(&host(1), &first));
    assert!(
        !connections.replace_pool(&host(1), &first),
        "concurrent calls replace a pool only once"
    );
    let second = connections.pool_for(&host(1));
    assert_ne!(first.generation, second.generation);
    assert_eq!(
        connections.pool_for(&host(2)).generation,
        first.generation,
        "other hosts keep their pool"
    );
    assert!(connections.replace_pool(&host(1), &second));
}

#[test]
fn a_suspect_pool_is_replaced_when_the_number_of_pools_is_at_its_limit() {
    let connections = Connections::new(TIMEOUT);
    for number in 0..MAX_HOST_POOLS + 3 {
        let suspect = connections.pool_for(&host(number));
        assert!(connections.replace_pool(&host(number), &suspect));
        assert_ne!(connections.pool_for(&host(number)).generation, suspect.generation);
        assert!(lock(&connections.pools).per_host.len() <= MAX_HOST_POOLS);
    }
}
