//! Tests that settings are parsed, and that mistakes in them are reported with their line or
//! setting.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use expect_test::expect_file;
use kitetraild::settings::Settings;

const VALID_SETTINGS: &str = r#"box_id = "entry-1"
zone = "zone-a"

[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
peers = "127.0.0.1:7003"

[platform]
table = "127.0.0.1:7100"
box_list = "127.0.0.1:7101"
"#;

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.box_id.as_str(), "entry-1");
}

#[test]
fn each_mistake_is_reported_with_its_line_or_setting() {
    let replace = |from: &str, to: &str| VALID_SETTINGS.replace(from, to);
    let append = |suffix: &str| format!("{VALID_SETTINGS}{suffix}");
    let cases = [
        ("an unknown key", append("\n[requests]\nmax_queue_wait = 200\n")),
        ("a malformed address", replace("127.0.0.1:7001", "localhost:7001")),
        ("a bad name", replace("entry-1", "Entry 1")),
        ("a missing section", VALID_SETTINGS.split("[platform]").next().unwrap().to_owned()),
        ("a time of zero", append("table_timeout_ms = 0\n")),
        ("an absurd time", append("table_timeout_ms = 99999999999\n")),
        ("a negative number", append("\n[requests]\nmax_connections = -1\n")),
        ("leases too short", append("\n[shards]\ntask_lease_ms = 2000\n")),
        ("no racks", append("\n[shards]\nracks_per_shard = 0\n")),
        ("an unknown balancer", append("\n[requests]\nbalancer = \"random\"\n")),
        (
            "a token in place of its digest",
            append(
                "\n[[operators.tokens]]\nname = \"ann\"\nrole = \"operator\"\nsha256 = \"secret\"\n",
            ),
        ),
    ];
    let messages: String = cases
        .iter()
        .map(|(title, text)| {
            format!("{title}\n{}\n\n", Settings::parse(text).unwrap_err().trim_end())
        })
        .collect();
    expect_file!["golden/settings_mistakes.txt"].assert_eq(&messages);
}
