//! Case `extra`: a target fails a part of its idempotent requests with its own 500, and an additional response
//! follows a few of its answers late, at the point where the next response is expected. The node sends the failed
//! request again, with the same id, on the same connection, and takes the additional response for its answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Event, Fleet, HostSpec, Record, Terms, desired_state, has_trouble};
use crate::http::{Response, call, header, now_ms};
use crate::store::Store;
use crate::target::body_of;

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const CLIENTS: usize = 10;
/// Pause of a client between two requests.
const THINK: Duration = Duration::from_millis(4);
/// Windows of the disruption, and their length.
const WINDOWS: usize = 2;
const WINDOW: Duration = Duration::from_millis(5_000);
/// Runs of one target in eight that it fails by itself, per mille.
const GREY: usize = 300;
/// Answers of that target that an additional response follows, per mille.
const EXTRA: usize = 30;

/// What a client got.
struct Got {
    at_ms: f64,
    id: String,
    node: String,
    status: u16,
    signature: String,
    body: Vec<u8>,
}

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    record.line(&format!("disruption: {trouble}"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", desired_state().as_bytes());
    let terms = Terms::usual();
    let mut fleet = Fleet::new(record.clone(), address, terms);
    let hosts: Vec<_> = NAMES.iter().map(|name| HostSpec::new(name, "registre", true)).collect();
    let _nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let _targets: Vec<_> = hosts.iter().map(|host| fleet.start_target(host)).collect();
    fleet.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10));
    wait_served(&hosts[0]);
    record.line("all keys are served");

    let mut got = Vec::new();
    let number = Arc::new(AtomicUsize::new(0));
    for _ in 0..WINDOWS {
        let extra = if trouble { EXTRA } else { 0 };
        let window_ms = WINDOW.as_millis();
        let words = format!("/stand-in?grey={GREY}&extra={extra}&for_ms={window_ms}");
        let headers = [("Host", "target")];
        let limit = Duration::from_secs(1);
        let told = call(hosts[3].listen, "POST", &words, &headers, b"", limit);
        assert!(told.is_ok(), "the target of host d does not answer");
        record.line(&format!("target of host d: {GREY} per mille fail, {extra} per mille are followed"));
        let until = Instant::now() + WINDOW;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (hosts, number) = (hosts.clone(), number.clone());
                std::thread::spawn(move || ask(&hosts, client, until, &number))
            })
            .collect();
        got.extend(clients.into_iter().flat_map(|thread| thread.join().unwrap_or_default()));
        std::thread::sleep(Duration::from_millis(1_500));
    }
    std::thread::sleep(Duration::from_millis(300));
    let answers = fleet.events_of("end");
    let followed = answers.iter().filter(|event| event.word("additional") == "true").count();
    let both = |event: &&Event| event.word("additional") == "true" && event.word("status") == "500";
    let followed_failures = answers.iter().filter(both).count();
    let failed = answers.iter().filter(|event| event.word("status") == "500").count();
    let mut by_request: HashMap<&str, Vec<&Event>> = HashMap::new();
    for event in &answers {
        by_request.entry(event.word("request")).or_default().push(event);
    }
    let mut mixed = 0;
    for row in &got {
        let success = (200..300).contains(&row.status);
        let runs = by_request.get(&*row.id).cloned().unwrap_or_default();
        let ran: Vec<_> = runs.iter().map(|run| run.word("status")).collect();
        record.line_at(
            row.at_ms,
            &format!("{} to node {}: {}, signature {}, runs {ran:?}", row.id, row.node, row.status, row.signature),
        );
        let good_run = runs.iter().any(|event| event.word("status") == "200");
        let wrong = success && (row.body != body_of(&row.id, 32) || !good_run);
        if wrong {
            mixed += 1;
            let said: Vec<_> = runs
                .iter()
                .map(|run| format!("{} at {:.3} s", run.word("status"), record.seconds(run.at_ms)))
                .collect();
            record.line_at(
                row.at_ms,
                &format!(
                    "request {} to node {}: its runs ended {said:?}; the client got {} with signature {} and body \
                     {:?}  <- MIXED",
                    row.id, row.node, row.status, row.signature, String::from_utf8_lossy(&row.body)
                ),
            );
        }
    }
    let statuses = |status: u16| got.iter().filter(|row| row.status == status).count();
    record.line(&format!(
        "{} requests, answered 200: {}, 500: {}, 502: {}, 503: {}; {} runs, {failed} failed, {followed} answers \
         followed by an additional response, {followed_failures} of them 500s; {mixed} clients got a success that is no answer of a run",
        got.len(), statuses(200), statuses(500), statuses(502), statuses(503), answers.len()
    ));
    if statuses(200) == 0 || failed == 0 {
        return 2;
    }
    i32::from(mixed > 0)
}

/// Sends requests on all keys, one after the other.
fn ask(hosts: &[HostSpec], client: usize, until: Instant, number: &AtomicUsize) -> Vec<Got> {
    let mut got = Vec::new();
    while Instant::now() < until {
        let index = number.fetch_add(1, Ordering::SeqCst);
        let (host, key) = (&hosts[(index + client) % hosts.len()], (index * 7_919) % 65_536);
        let id = format!("r{index:06}");
        let Ok(answer) = get(host, "/verif/w4/check", &id, key) else { continue };
        got.push(Got {
            at_ms: now_ms(),
            id,
            node: host.name.clone(),
            status: answer.status,
            signature: header(&answer.headers, "x-response-signature").unwrap_or("none").into(),
            body: answer.body,
        });
        std::thread::sleep(THINK);
    }
    got
}

/// Sends an idempotent request on a key to a node.
pub fn get(host: &HostSpec, path: &str, id: &str, key: usize) -> std::io::Result<Response> {
    let key = key.to_string();
    let headers = [
        ("Host", "shop.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "4000"),
        ("X-Shard-Key", &*key),
        ("Connection", "close"),
    ];
    call(host.traffic, "GET", path, &headers, b"", Duration::from_secs(6))
}

/// Waits until a node answers requests on keys from all parts of the key space.
pub fn wait_served(host: &HostSpec) {
    let until = Instant::now() + Duration::from_secs(25);
    let mut key = 0;
    while key < 65_536 {
        let answer = get(host, "/verif/w1/warm", &format!("warm-{key}"), key);
        if answer.is_ok_and(|answer| answer.status == 200) {
            key += 2_048;
        } else {
            assert!(Instant::now() < until, "key {key} is not served");
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}
