//! Case `length`: two nodes of four get liveness reports of another writer that can't be read: the stated length is
//! one that no body reaches.

use std::io::{BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

use crate::case_extra::{get, wait_served};
use crate::fleet::{Fleet, HostSpec, Record, Terms, desired_state, has_trouble};
use crate::http::{connect, now_ms, read_response};
use crate::store::Store;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Machines that get the reports; a tenth of those in use, two at least.
const HIT: usize = 2;
/// Reports to each of them; the rule allows fewer ends than these.
const REPORTS: usize = 3;
/// Delay until the platform starts a process that has ended again.
const RESTART: Duration = Duration::from_millis(500);
const STATED_LENGTH: &str = "1000000000000000";
const SOUND_LENGTH: &str = "12";
/// Memory of a process by the users' sheet.
const MEMORY_MB: u64 = 260;

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
    record.line("all keys are served");
    ask(&hosts, &record, "before", Duration::from_secs(3));

    if std::env::var_os("ENDLESS").is_some() {
        let held = report_without_end(&hosts[0], nodes[0].id());
        record.line(&format!("after a report without end node a holds {held} MB, of {MEMORY_MB} MB allowed"));
        return i32::from(held > MEMORY_MB);
    }
    let mut ends = [0; HIT];
    for _ in 0..REPORTS {
        for index in 0..HIT {
            let host = &hosts[index];
            let length = if trouble { STATED_LENGTH } else { SOUND_LENGTH };
            let said = report(host, length);
            record.line(&format!("report of another writer with length {length} at node {}: {said}", host.name));
            let until = Instant::now() + Duration::from_millis(700);
            while Instant::now() < until && !nodes[index].has_ended() {
                std::thread::sleep(Duration::from_millis(10));
            }
            if let Some(status) = nodes[index].status() {
                ends[index] += 1;
                record.line(&format!(
                    "node {} has ended by itself: code {:?}, signal {:?}",
                    host.name, status.code(), status.signal()
                ));
                std::thread::sleep(RESTART);
                nodes[index] = fleet.start_node(host, false);
            }
        }
        ask(&hosts, &record, "between", Duration::from_secs(6));
    }
    fleet.record_events();
    let machines = ends.iter().filter(|count| **count >= REPORTS).count();
    record.line(&format!(
        "processes that ended by themselves: {} of node a, {} of node b; machines on which three did: {machines} of {}",
        ends[0], ends[1], NAMES.len()
    ));
    i32::from(machines >= 2)
}

/// Sends bytes without end as a report until the node holds more than its memory; returns what it holds, in MB.
/// Played with ENDLESS=1 only, to show that the length alone is not the fault.
fn report_without_end(host: &HostSpec, process: u32) -> u64 {
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("").to_owned();
        line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) / 1_000
    };
    let Ok(mut stream) = connect(host.control, Duration::from_secs(5)) else { return 0 };
    let head = "PUT /instances/i-other HTTP/1.1\r\nHost: control\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut part = b"10000\r\n".to_vec();
    part.extend(vec![b'x'; 65_536]);
    part.extend(b"\r\n");
    let mut sent = stream.write_all(head.as_bytes());
    for _ in 0..6_000 {
        if sent.is_err() || resident() > MEMORY_MB {
            break;
        }
        sent = stream.write_all(&part);
    }
    resident()
}

/// Sends a report that can't be read, and returns what the node says.
fn report(host: &HostSpec, length: &str) -> String {
    let sent = connect(host.control, Duration::from_secs(1)).and_then(|mut stream| {
        let text = format!(
            "PUT /instances/i-other HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{{\"service\":\"\n"
        );
        stream.write_all(text.as_bytes())?;
        read_response(&mut BufReader::new(stream))
    });
    sent.map_or_else(|error| error.to_string(), |answer| answer.status.to_string())
}

/// Sends requests on all keys to all nodes for a time.
fn ask(hosts: &[HostSpec], record: &Record, word: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        let (host, key) = (&hosts[number % hosts.len()], (number * 7_919) % 65_536);
        let id = format!("{word}-{number:04}");
        let sent_ms = now_ms();
        let answer = get(host, "/verif/w5/check", &id, key);
        let said = answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
        record.line_at(sent_ms, &format!("request {id} key {key} to node {}: {said}", host.name));
        number += 1;
        std::thread::sleep(Duration::from_millis(40));
    }
}
