//! Snapshot of one complete session: publish, announce, assign, request, response, drain.

use std::fmt::Write as _;
use std::time::Duration;

use harness::{Fleet, FleetSpec, HttpResponse, wait_until};

const MANIFEST: &str = include_str!("../../../examples/manifest-registre.toml");

/// Time limit of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Request ids of the caller; constant so that the transcript is the same in each run.
const IDS: [&str; 2] =
    ["01900000-0000-7000-8000-000000000001", "01900000-0000-7000-8000-000000000002"];

#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    fn line(&mut self, line: &str) {
        writeln!(self.text, "{line}").expect("writing to a string cannot fail");
    }

    fn response(&mut self, what: &str, response: &HttpResponse) {
        let fence = if response.header("firspindle-fence").is_empty() { "none" } else { "given" };
        let body = response.body.trim();
        self.line(&format!("> {what}"));
        self.line(&format!("< {} verdict={} fence={fence}", response.status, response.verdict()));
        self.line(&format!("  {body}"));
    }
}

fn call(
    fleet: &Fleet,
    host: usize,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> HttpResponse {
    fleet.call(host, method, path, headers, "2 blanks").expect("a complete response")
}

fn served_count(fleet: &Fleet, host: usize) -> usize {
    fleet.partitions(host).len()
}

#[test]
fn a_whole_session() {
    let mut spec = FleetSpec::one_service("registre", 2, 2);
    let second = spec.nodes.pop().expect("two nodes");
    let mut fleet = Fleet::start(spec);
    let mut transcript = Transcript::default();
    transcript.line("# publish");
    let early = wait_until("the node listens", STEP_TIMEOUT, || {
        fleet.call(0, "GET", "/registre/checks", &[("firspindle-key", "garage-7")], "").ok()
    });
    transcript.response("GET /registre/checks before any manifest", &early);
    let output = fleet.publish(MANIFEST);
    transcript.line(&format!("exit {:?}", output.status.code()));
    transcript.line(String::from_utf8_lossy(&output.stdout).trim());

    transcript.line("# announce and assign");
    wait_until("the first node serves", STEP_TIMEOUT, || {
        (served_count(&fleet, 0) == 64).then_some(())
    });
    transcript.line("host-0 serves 64 partitions");

    transcript.line("# request and response");
    let key = ("firspindle-key", "garage-7");
    let order = [key, ("idempotency-key", IDS[0])];
    // The id is older than the period of deduplication, so the request is refused: it is unknown
    // whether it ran before.
    transcript.response(
        "POST /registre/orders with an old id",
        &call(&fleet, 0, "POST", "/registre/orders", &order),
    );
    let check = [key, ("idempotency-key", IDS[1])];
    transcript
        .response("GET /registre/checks", &call(&fleet, 0, "GET", "/registre/checks", &check));

    transcript.line("# a second host joins");
    fleet.spec.nodes.push(second);
    fleet.nodes.push(None);
    fleet.upstreams.push(None);
    fleet.start_node(1);
    fleet.start_upstream(1);
    wait_until("both serve evenly", STEP_TIMEOUT, || {
        (served_count(&fleet, 0) == 32 && served_count(&fleet, 1) == 32).then_some(())
    });
    transcript.line("host-0 serves 32 partitions, host-1 serves 32 partitions");
    for entry_host in 0..2 {
        let response = call(&fleet, entry_host, "GET", "/registre/checks", &check);
        transcript.response(&format!("GET /registre/checks at host-{entry_host}"), &response);
    }

    transcript.line("# drain");
    fleet.nodes[0].as_ref().expect("the node is running").terminate();
    let status = fleet.nodes[0].as_mut().expect("the node is running").wait(STEP_TIMEOUT);
    transcript.line(&format!("host-0 exits {:?}", status.and_then(|status| status.code())));
    wait_until("the second serves all", STEP_TIMEOUT, || {
        (served_count(&fleet, 1) == 64).then_some(())
    });
    transcript.line("host-1 serves 64 partitions");
    let response = call(&fleet, 1, "GET", "/registre/checks", &check);
    transcript.response("GET /registre/checks at host-1", &response);
    insta::assert_snapshot!(transcript.text);
}
