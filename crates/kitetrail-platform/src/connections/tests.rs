use super::*;

const TIMEOUT: Duration = Duration::from_millis(100);

fn host(no: usize) -> Authority {
    format!("worker-{no}:80").parse().unwrap()
}

#[test]
fn a_host_gets_one_new_pool_for_each_that_went_silent() {
    let connections = Connections::new(TIMEOUT);
    let first = connections.to(&host(1));
    assert!(connections.distrust(&host(1), &first));
    assert!(!connections.distrust(&host(1), &first), "calls that waited together replace it once");
    let second = connections.to(&host(1));
    assert_ne!(first.generation, second.generation);
    assert_eq!(connections.to(&host(2)).generation, first.generation, "others keep theirs");
    assert!(connections.distrust(&host(1), &second));
}

#[test]
fn pools_are_bounded_and_a_suspect_one_is_gone_all_the_same() {
    let connections = Connections::new(TIMEOUT);
    for no in 0..MOST_POOLS + 3 {
        let suspect = connections.to(&host(no));
        assert!(connections.distrust(&host(no), &suspect));
        assert_ne!(connections.to(&host(no)).generation, suspect.generation);
        assert!(lock(&connections.pools).renewed.len() <= MOST_POOLS);
    }
}
