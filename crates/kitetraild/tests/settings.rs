//! Each mistake in the settings is told with its line and how to mend it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use expect_test::expect_file;
use kitetraild::settings::Settings;

const GOOD: &str = r#"box_id = "entry-1"
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
fn good_settings_are_taken() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.box_id.as_str(), "entry-1");
}

#[test]
fn mistakes() {
    let swap = |from: &str, to: &str| GOOD.replace(from, to);
    let add = |more: &str| format!("{GOOD}{more}");
    let cases = [
        ("an unknown key", add("\n[requests]\nmax_queue_wait = 200\n")),
        ("a malformed address", swap("127.0.0.1:7001", "localhost:7001")),
        ("a bad name", swap("entry-1", "Entry 1")),
        ("a missing section", GOOD.split("[platform]").next().unwrap().to_owned()),
        ("a time of zero", add("table_timeout_ms = 0\n")),
        ("an absurd time", add("table_timeout_ms = 99999999999\n")),
        ("a negative number", add("\n[requests]\nmax_connections = -1\n")),
        ("leases too short", add("\n[shards]\ntask_lease_ms = 2000\n")),
        ("no racks", add("\n[shards]\nracks_per_shard = 0\n")),
        ("an unknown balancer", add("\n[requests]\nbalancer = \"random\"\n")),
        (
            "a token in place of its digest",
            add(
                "\n[[operators.tokens]]\nname = \"ann\"\nrole = \"operator\"\nsha256 = \"secret\"\n",
            ),
        ),
    ];
    let told: String = cases
        .iter()
        .map(|(what, text)| {
            format!("{what}\n{}\n\n", Settings::parse(text).unwrap_err().trim_end())
        })
        .collect();
    expect_file!["golden/settings_mistakes.txt"].assert_eq(&told);
}
