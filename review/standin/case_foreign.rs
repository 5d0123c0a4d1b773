//! Case `foreign`: after a final fault each node gets one liveness report of another writer, without the fields
//! that a report has. It names no target to use; the targets that are there hold.

use std::time::{Duration, Instant};

use crate::case_extra::{get, wait_served};
use crate::fleet::{Fleet, HostSpec, Record, Terms, desired_state, has_trouble};
use crate::http::{call, now_ms};
use crate::store::Store;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Bodies of the foreign reports: fields are missing or of another type.
const BODIES: [&str; 4] = [
    r#"{"service":"registre","slots":9,"state":"ready","sequence":1}"#,
    r#"{"service":"registre","address":17,"zone":"z-a","version":"v1","slots":9,"state":"ready","coldRemainingS":0,"sequence":1}"#,
    r#"{"service":"registre","zone":"z-a","slots":9,"state":"ready","coldRemainingS":0,"sequence":1}"#,
    r#"{"service":"registre","address":null,"zone":4,"version":[],"slots":9,"state":"ready","sequence":1}"#,
];
const DOWN: Duration = Duration::from_millis(500);
const RECOVER: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(20);

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    record.line(&format!("disruption: {trouble}"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", desired_state().as_bytes());
    let mut fleet = Fleet::new(record.clone(), address, Terms::usual());
    let hosts: Vec<_> = NAMES.iter().map(|name| HostSpec::new(name, "registre", true)).collect();
    let mut nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let _targets: Vec<_> = hosts.iter().map(|host| fleet.start_target(host)).collect();
    fleet.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10));
    wait_served(&hosts[0]);
    let (asked, served) = ask(&hosts, &record, "before", Duration::from_secs(5));
    record.line(&format!("before the final fault {served} of {asked} requests were served"));
    if served * 4 < asked {
        return 2;
    }

    record.line("final fault: all processes of the system are killed");
    nodes.iter_mut().for_each(|node| node.kill());
    std::thread::sleep(DOWN);
    nodes = hosts.iter().map(|host| fleet.start_node(host, false)).collect();
    let back = Instant::now();
    record.line("all processes of the system are back");
    std::thread::sleep(Duration::from_secs(4));
    if trouble {
        for (host, body) in hosts.iter().zip(BODIES) {
            let path = format!("/instances/i-foreign-{}", host.name);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let reply = call(host.control, "PUT", &path, &headers, body.as_bytes(), limit);
            let said = reply.map_or("no answer".into(), |reply| {
                format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body))
            });
            record.line(&format!("foreign report {path} {body} at node {}: {said}", host.name));
        }
    }
    let (asked, served) = ask(&hosts, &record, "early", RECOVER.saturating_sub(back.elapsed()));
    record.line(&format!("until 15 s after the machines were back {served} of {asked} were served"));
    let (asked, served) = ask(&hosts, &record, "late", MEASURED);
    let ends = nodes.iter_mut().filter_map(|node| node.has_ended().then_some(())).count();
    fleet.record_events();
    record.line(&format!(
        "of the requests sent later than 15 s after the machines were back, {served} of {asked} were served; {ends} \
         nodes have ended"
    ));
    i32::from(served * 4 < asked)
}

/// Sends requests on all keys to all nodes for a time; returns how many were sent and served.
fn ask(hosts: &[HostSpec], record: &Record, word: &str, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < until {
        let (host, key) = (&hosts[asked % hosts.len()], (asked * 7_919) % 65_536);
        let id = format!("{word}-{asked:04}");
        let sent_ms = now_ms();
        let answer = get(host, "/verif/w5/check", &id, key);
        let status = answer.map_or(0, |answer| answer.status);
        record.line_at(sent_ms, &format!("request {id} key {key} to node {}: {status}", host.name));
        asked += 1;
        served += usize::from(status == 200);
        std::thread::sleep(Duration::from_millis(40));
    }
    (asked, served)
}
