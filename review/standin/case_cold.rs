//! Case `cold`: a target becomes cold again and says so; one of its earlier liveness reports arrives late, while
//! many users come at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HostSpec, Record, Terms, cold_state, has_trouble};
use crate::http::{call, now_ms};
use crate::store::Store;

/// coldPerS x coldOver + coldSlack.
const BOUND: usize = 29;
const COLD_MS: u64 = 3_000;
/// Time by which the held-up report is late.
const LATE_MS: u64 = 2_000;
const CLIENTS: usize = 24;

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    record.line(&format!("disruption: {trouble}"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", cold_state().as_bytes());
    let terms = Terms { cold: true, ..Terms::usual() };
    let mut fleet = Fleet::new(record.clone(), address, terms);
    let hosts = [HostSpec::new("a", "atelier", false), HostSpec::new("b", "registre", true)];
    let _nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let _targets: Vec<_> = hosts.iter().map(|host| fleet.start_target(host)).collect();
    fleet.wait_ready(&[&hosts[0], &hosts[1]], Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(6));

    // Some requests, so that the target is known to be warm and sound.
    for index in 0..40 {
        let status = ask(&hosts[index % 2], &format!("w{index:03}"));
        record.line(&format!("request w{index:03}: {status}"));
        std::thread::sleep(Duration::from_millis(100));
    }
    let tell = |words: &str| {
        let headers = [("Host", "target")];
        let path = format!("/stand-in?{words}");
        let told = call(hosts[0].listen, "POST", &path, &headers, b"", Duration::from_secs(1));
        assert!(told.is_ok(), "the target does not answer");
    };
    if trouble {
        // The next report of the target, which is warm, is held up.
        tell(&format!("late_ms={LATE_MS}"));
        while fleet.events_of("report-held-up").is_empty() {
            std::thread::sleep(Duration::from_millis(5));
        }
        record.line("a report is held up");
    }
    std::thread::sleep(Duration::from_millis(300));
    tell(&format!("cold_ms={COLD_MS}"));
    let cold_ms = now_ms();
    record.line("the target becomes cold, and says so in its next report");
    std::thread::sleep(Duration::from_millis(1_000));
    record.line("many users come at once");
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (host, ended) = (hosts[client % 2].clone(), ended.clone());
            std::thread::spawn(move || {
                let (mut number, mut rows) = (0, Vec::new());
                while !ended.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("b{client:02}-{number:04}");
                    let sent_ms = now_ms();
                    let status = ask(&host, &id);
                    rows.push((sent_ms, id, status));
                    std::thread::sleep(Duration::from_millis(if status == 200 { 5 } else { 60 }));
                }
                rows
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(2_200);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        for (sent_ms, id, status) in client.join().unwrap_or_default() {
            record.line_at(sent_ms, &format!("request {id}: {status}"));
        }
    }
    fleet.record_events();

    let warm_ms = cold_ms + COLD_MS as f64;
    let begun = fleet.events_of("begin");
    let times: Vec<f64> = begun
        .iter()
        .filter(|event| event.target.starts_with("i-a-"))
        .map(|event| event.at_ms)
        .filter(|at| *at >= cold_ms && *at < warm_ms)
        .collect();
    let in_second = |from: f64| times.iter().filter(|at| (from..from + 1_000.0).contains(*at)).count();
    let most = times.iter().map(|at| (in_second(*at), *at)).max_by_key(|row| row.0).unwrap_or((0, 0.0));
    record.line(&format!(
        "{} requests reached the cold target, at most {} in one second, from {:.3} s on (allowed: {BOUND})",
        times.len(), most.0, record.seconds(most.1)
    ));
    if times.is_empty() {
        return 2;
    }
    i32::from(most.0 > BOUND)
}

fn ask(host: &HostSpec, id: &str) -> u16 {
    let headers = [
        ("Host", "shop.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "4000"),
        ("Connection", "close"),
    ];
    let answer = call(host.traffic, "GET", "/pack/w20/check", &headers, b"", Duration::from_secs(5));
    answer.map_or(0, |answer| answer.status)
}
