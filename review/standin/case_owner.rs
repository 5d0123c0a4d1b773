//! Case `owner`: one node gets a few liveness reports of another writer about its target, without the fields that a
//! report has. They name no target to use, and the target that is there holds its keys.

use std::time::{Duration, Instant};

use crate::case_extra::{get, wait_served};
use crate::fleet::{Event, Fleet, HostSpec, Record, Terms, desired_state, has_trouble};
use crate::http::{call, now_ms};
use crate::store::Store;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Foreign reports, and the time between two.
const REPORTS: u64 = 4;
const SPACING: Duration = Duration::from_millis(150);
/// Longest time for which two targets may hold the same keys.
const BOTH_MS: f64 = 500.0;
const KEYS: usize = 65_536;

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    record.line(&format!("disruption: {trouble}"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", desired_state().as_bytes());
    let mut fleet = Fleet::new(record.clone(), address, Terms::usual());
    let hosts: Vec<_> = NAMES.iter().map(|name| HostSpec::new(name, "registre", true)).collect();
    let _nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let mut targets = Vec::new();
    for host in &hosts {
        targets.push(fleet.start_target(host));
        // Reports of different targets are not sent at the same moments.
        std::thread::sleep(Duration::from_millis(210));
    }
    fleet.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10));
    wait_served(&hosts[0]);
    record.line("all keys are served");
    ask(&hosts, &record, "before", Duration::from_secs(9));

    let since_ms = now_ms();
    let id = targets[0].1.clone();
    let ups = fleet.events_of("up");
    let Some(up) = ups.iter().find(|event| event.target == id) else { return 2 };
    let born = up.word("born");
    if trouble {
        for number in 1..=REPORTS {
            let path = format!("/instances/{id}");
            let body = format!(
                "{{\"born\":{born},\"service\":\"registre\",\"slots\":9,\"state\":\"draining\",\"sequence\":{}}}",
                1_000_000 + number
            );
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let reply = call(hosts[0].control, "PUT", &path, &headers, body.as_bytes(), limit);
            let said = reply.map_or(0, |reply| reply.status);
            record.line(&format!("foreign report {path} {body} at node a: {said}"));
            std::thread::sleep(SPACING);
        }
    }
    ask(&hosts, &record, "after", Duration::from_secs(6));
    fleet.record_events();
    let broken = check(&fleet, &record, since_ms);
    i32::from(broken > 0)
}

/// Sends requests on all keys to all nodes for a time.
fn ask(hosts: &[HostSpec], record: &Record, word: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        let (host, key) = (&hosts[number % hosts.len()], (number * 7_919) % KEYS);
        let id = format!("{word}-{number:04}");
        let sent_ms = now_ms();
        let status = get(host, "/verif/w5/check", &id, key).map_or(0, |answer| answer.status);
        record.line_at(sent_ms, &format!("request {id} key {key} to node {}: {status}", host.name));
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn numbers(event: &Event) -> (usize, usize) {
    let number = |index: usize| event.words.get(index).and_then(|text| text.parse().ok()).unwrap_or(0);
    (number(0), number(1))
}

/// From when until when a target held each key last, by its own words: from the grant to the release or the expiry.
fn holds(events: &[Event], target: &str) -> Vec<Vec<(f64, f64)>> {
    let mut found: Vec<Vec<(f64, f64)>> = vec![Vec::new(); KEYS];
    let mut open: Vec<Option<f64>> = vec![None; KEYS];
    let mut until_ms = f64::MAX;
    let mut end = |open: &mut Vec<Option<f64>>, first: usize, last: usize, at_ms: f64| {
        for key in first..=last {
            if let Some(from_ms) = open[key].take() {
                found[key].push((from_ms, at_ms));
            }
        }
    };
    for event in events.iter().filter(|event| event.target == target) {
        if event.at_ms > until_ms {
            end(&mut open, 0, KEYS - 1, until_ms);
        }
        let (first, last) = numbers(event);
        match event.kind.as_str() {
            "renewed" => until_ms = event.word("until").parse().unwrap_or(f64::MAX),
            "gained" => open[first..=last].fill(Some(event.at_ms)),
            "released" => end(&mut open, first, last, event.at_ms),
            _ => {}
        }
    }
    end(&mut open, 0, KEYS - 1, until_ms);
    found
}

/// Counts the keys that two targets held at the same time for longer than the rule allows. All targets are up all the
/// while.
fn check(fleet: &Fleet, record: &Record, since_ms: f64) -> usize {
    let mut events = fleet.events.lock().expect("no panic").clone();
    events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let mut targets: Vec<String> = events.iter().map(|event| event.target.clone()).collect();
    targets.sort();
    targets.dedup();
    let all: Vec<_> = targets.iter().map(|target| holds(&events, target)).collect();
    let (mut keys, mut longest, mut shown) = (0, 0.0_f64, 0);
    for key in 0..KEYS {
        let mut most = (0.0, String::new());
        for (one, earlier) in all.iter().enumerate() {
            for (other, later) in all.iter().enumerate().filter(|row| row.0 != one) {
                for (from_ms, to_ms) in &earlier[key] {
                    for (later_ms, end_ms) in &later[key] {
                        let span = to_ms.min(*end_ms) - later_ms;
                        if later_ms >= from_ms && *later_ms > since_ms && span > most.0 {
                            let text = format!(
                                "key {key}: {} held it until {:.3} s, {} from {:.3} s on: {span:.0} ms",
                                targets[one], record.seconds(*to_ms), targets[other], record.seconds(*later_ms)
                            );
                            most = (span, text);
                        }
                    }
                }
            }
        }
        longest = longest.max(most.0);
        if most.0 > BOTH_MS {
            keys += 1;
            if shown < 8 && key % 500 == 0 {
                shown += 1;
                record.line(&format!("{}  <- OWNER", most.1));
            }
        }
    }
    record.line(&format!(
        "{keys} keys were held by two targets that are up for over {BOTH_MS:.0} ms at the same time, at most {longest:.0} ms"
    ));
    keys
}
