//! Settings of a mesh node: a valid file, and the error for each kind of invalid value.

use std::fmt::Write;

use firspindle_mesh::process::MeshSettings;

const SETTINGS: &str = r#"host = "h"
data_centre = "d"
service = "s"
upstream = "10.0.0.1:1"
store = "10.0.0.2:2"

[listen]
traffic = "10.0.0.1:3"
forward = "10.0.0.1:4"
readiness = "10.0.0.1:5"
heartbeats = "10.0.0.1:6"
gossip = "10.0.0.1:7"
admin = "10.0.0.1:8"

[bounds]
drain_s = 2
grace_s = 6
hold_limit_s = 10
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 64
"#;

#[test]
fn durations_may_be_whole_numbers() {
    let settings = MeshSettings::parse(SETTINGS).expect("valid");
    assert_eq!(settings.bounds.drain.as_secs(), 2);
}

#[test]
fn each_refusal_has_a_line_and_a_reason() {
    let mut text = String::new();
    for (from, to) in [
        ("host = \"h\"", "host = \"\""),
        ("\"10.0.0.1:1\"", "\"upstream\""),
        ("\"10.0.0.1:8\"", "\"10.0.0.1:0\""),
        ("drain_s = 2", "drain_s = 0"),
        ("retry_ratio = 0.2", "retry_ratio = -1"),
        ("grace_s = 6", "grace = 6"),
        ("store = \"10.0.0.2:2\"\n", ""),
        ("allowance = 64\n", "allowance = 64\nlink_mbps = 0\n"),
        ("allowance = 64\n", "allowance = 64\napply_s = 0\n"),
    ] {
        let settings = SETTINGS.replacen(from, to, 1);
        assert_ne!(settings, SETTINGS, "{from}");
        let error = MeshSettings::parse(&settings).expect_err(to);
        writeln!(text, "{to}: {error}").expect("writing to a string cannot fail");
    }
    insta::assert_snapshot!(text);
}
