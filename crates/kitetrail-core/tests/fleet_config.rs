//! The operators' configuration as boxes exchange it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use kitetrail_core::fleet_config::FleetConfig;

#[test]
fn terms_of_a_configuration_from_an_earlier_release_have_its_version() {
    let json = r#"{
        "version": 7,
        "routes": [{
            "host": "a.example", "path_prefix": "/checks/", "timeout_ms": 0,
            "queue": {
                "name": "checks", "service": "desk", "priority": 0, "max_attempts": 3,
                "stretch": 2.0, "target_latency_ms": 500
            }
        }],
        "limits": {}
    }"#;
    let config = serde_json::from_str::<FleetConfig>(json).unwrap();
    assert_eq!(config.queues()[0].config_version, 0, "it is absent");
    assert_eq!(config.with_versioned_terms().queues()[0].config_version, 7);
}
