//! Invalid requests, settings and manifests are refused with a clear reason, and other requests are
//! not affected.

use std::fmt::Write as _;
use std::path::Path;
use std::process::Output;
use std::time::Duration;

use harness::{Fleet, FleetSpec, HttpResponse, new_request_id, unix_ms, wait_until};

const MANIFEST: &str = r#"
replaces = 0
[[service]]
name = "registre"
partitions = 8
body_limit_bytes = 1000
[[service.operation]]
prefix = "/stock"
internal = true
"#;

const START_TIMEOUT: Duration = Duration::from_secs(20);

fn write_response(text: &mut String, case: &str, response: &HttpResponse) {
    let retry = response.header("retry-after");
    writeln!(
        text,
        "{case}: {} {} retry-after={retry:?}: {}",
        response.status,
        response.verdict(),
        response.body.trim()
    )
    .expect("writing to a string cannot fail");
}

#[test]
fn requests_are_refused_with_a_verdict() {
    let fleet = Fleet::start(FleetSpec::one_service("registre", 2, 2));
    assert!(fleet.publish(MANIFEST).status.success());
    fleet.wait_until_served(8);
    let key = ("firspindle-key", "garage-1");
    let past = (unix_ms() - 1000).to_string();
    let future_id = "ffffffff-ffff-7000-8000-000000000000";
    let long = "x".repeat(20_000);
    let large = "y".repeat(2000);
    let bad_requests = [
        ("unknown service", "GET", "/nope/x", vec![key], ""),
        ("no service", "GET", "/", vec![key], ""),
        ("missing key", "GET", "/registre/checks", vec![], ""),
        ("body over the limit", "POST", "/registre/orders", vec![key], large.as_str()),
        ("oversized header", "GET", "/registre/checks", vec![key, ("x-long", long.as_str())], ""),
        (
            "expired deadline",
            "GET",
            "/registre/checks",
            vec![key, ("firspindle-deadline", past.as_str())],
            "",
        ),
        (
            "deadline not a number",
            "GET",
            "/registre/checks",
            vec![key, ("firspindle-deadline", "soon")],
            "",
        ),
        (
            "id not a UUID",
            "POST",
            "/registre/orders",
            vec![key, ("idempotency-key", "order-1")],
            "",
        ),
        (
            "id of the future",
            "POST",
            "/registre/orders",
            vec![key, ("idempotency-key", future_id)],
            "",
        ),
    ];
    let mut text = String::new();
    for entry_host in 0..2 {
        for (case, method, path, headers, body) in &bad_requests {
            let response =
                fleet.call(entry_host, method, path, headers, body).expect("a complete response");
            write_response(&mut text, case, &response);
            // A valid request right after it must run and get a complete response.
            let id = new_request_id();
            let response = fleet.call(
                entry_host,
                "POST",
                "/registre/orders",
                &[key, ("idempotency-key", &id)],
                "ok",
            );
            let response = response.expect("a complete response");
            assert_eq!((response.status, response.verdict()), (200, "ran"));
            assert!(response.body.contains(&id));
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_second_node_on_the_same_address_ends_with_the_reason() {
    let fleet = Fleet::start(FleetSpec::one_service("registre", 1, 1));
    wait_until("the first node listens", START_TIMEOUT, || fleet.status(0));
    let settings = fleet.write_settings(0).display().to_string();
    let output = Fleet::command(&["node", "--settings", &settings]);
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("cannot listen on") && stderr.contains("in use"), "{stderr}");
}

fn check_file(folder: &Path, flag: &str, text: &str) -> Output {
    let path = folder.join("file.toml");
    std::fs::write(&path, text).expect("the file can be written");
    Fleet::command(&["check", flag, &path.display().to_string()])
}

fn snapshot_of(flag: &str, cases: &[(&str, String)]) -> String {
    let folder = std::env::temp_dir().join(format!("firspindle-check-{}", new_request_id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let mut text = String::new();
    for (case, file) in cases {
        let output = check_file(&folder, flag, file);
        let stderr = String::from_utf8_lossy(&output.stderr);
        let stderr = stderr.replace(&folder.display().to_string(), "");
        writeln!(text, "{case}: exit {:?}: {}", output.status.code(), stderr.trim())
            .expect("writing to a string cannot fail");
    }
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    text
}

#[test]
fn bad_settings_are_refused_with_line_and_reason() {
    let good = include_str!("../../../examples/node-rennes-1.toml");
    let cases = [
        ("good", good.to_owned()),
        ("unknown field", good.replace("region =", "regoin =")),
        ("bad address", good.replace("10.1.0.1:7000", "10.1.0.1")),
        ("port 0", good.replace("10.1.0.1:7000", "10.1.0.1:0")),
        ("unspecified address", good.replace("10.1.0.1:7000", "0.0.0.0:7000")),
        ("address twice", good.replace(":7001", ":7000")),
        ("log not a URL", good.replace("http://", "ftp://")),
        ("impossible limit", good.replace("workers = 4", "workers = 0")),
        ("not TOML", "host = ".to_owned()),
    ];
    insta::assert_snapshot!(snapshot_of("--settings", &cases));
}

#[test]
fn bad_manifests_are_refused_with_line_and_reason() {
    let good = include_str!("../../../examples/manifest-plate-makers.toml");
    let cases = [
        ("good", good.to_owned()),
        ("unknown field", good.replace("policy =", "polcy =")),
        ("service twice", good.replace("\"atelier\"", "\"registre\"")),
        ("no partitions", good.replace("partitions = 64", "partitions = 0")),
        ("impossible limit", good.replace("queue_limit = 40", "queue_limit = 9000000")),
        ("bad name", good.replace("\"atelier\"", "\"ate/lier\"")),
        ("bad prefix", good.replace("\"/orders\"", "\"orders\"")),
        ("bad method", good.replace("\"POST\"", "\"post\"")),
        ("no version", good.replace("replaces = 0", "")),
    ];
    insta::assert_snapshot!(snapshot_of("--manifest", &cases));
}

#[test]
fn internal_operations_refuse_callers_from_outside() {
    let fleet = Fleet::start(FleetSpec::one_service("registre", 1, 1));
    assert!(fleet.publish(MANIFEST).status.success());
    fleet.wait_until_served(8);
    let key = ("firspindle-key", "garage-1");
    let response =
        fleet.call(0, "GET", "/registre/stock", &[key], "").expect("a complete response");
    assert_eq!((response.status, response.verdict()), (403, "not-run"));
}
