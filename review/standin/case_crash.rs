//! Case `crash`: a request crashes each target that begins to run it, after the first part of its answer. It
//! comes again with the same path, caller and body, at any machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HostSpec, Record, Terms, desired_state, has_trouble};
use crate::http::{call, header};
use crate::store::Store;

/// Retries that the rule allows later than `CONTACT` after the third crash.
const ALLOWED: usize = 3;
const CONTACT_MS: f64 = 3_000.0;
const DOWN: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(45);

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    let word = match (trouble, std::env::var_os("EARLY").is_some()) {
        (false, _) => "sound",
        (true, false) => "poison",
        (true, true) => "poison-early",
    };
    record.line(&format!("disruption: {trouble} ({word})"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", desired_state().as_bytes());
    let mut fleet = Fleet::new(record.clone(), address, Terms::usual());
    let names = ["a", "b", "c", "d"];
    let hosts: Vec<_> = names.iter().map(|name| HostSpec::new(name, "atelier", false)).collect();
    let _nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let mut targets: Vec<_> =
        hosts.iter().map(|host| (fleet.start_target(host).0, None::<Instant>)).collect();
    fleet.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(4));

    // Other clients order meanwhile: what a crash takes with it is lost.
    let ended = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (host, record, ended) = (host.clone(), record.clone(), ended.clone());
            std::thread::spawn(move || order(&host, &record, &ended))
        })
        .collect();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < PLAYED {
        for (index, (target, down_since)) in targets.iter_mut().enumerate() {
            if down_since.is_none() && target.has_ended() {
                *down_since = Some(Instant::now());
            }
            if down_since.is_some_and(|since| since.elapsed() >= DOWN) {
                (*target, *down_since) = (fleet.start_target(&hosts[index]).0, None);
            }
        }
        number += 1;
        let host = &hosts[number % hosts.len()];
        let id = format!("p{number:04}");
        let path = format!("/pack/w20/s90000/{word}/same");
        let headers =
            [("Host", "shop.example"), ("X-Request-Id", &*id), ("X-Deadline-Ms", "4000")];
        let answer = call(host.traffic, "GET", &path, &headers, b"", Duration::from_secs(5));
        let said = answer.map_or("no answer".into(), |answer| {
            let whole = if answer.whole { "whole" } else { "cut" };
            format!("{}, body {whole}, {} bytes", answer.status, answer.body.len())
        });
        record.line(&format!("request {id} to node {}: {said}", host.name));
        std::thread::sleep(Duration::from_millis(1_000));
    }
    ended.store(true, Ordering::SeqCst);
    let lost: usize = others.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    fleet.record_events();

    let crashes = fleet.events_of("crash");
    let third_ms = crashes.get(2).map(|event| event.at_ms);
    let begun = fleet.events_of("begin");
    let late = begun.iter().filter(|event| {
        let same = event.word("path").ends_with("/same");
        same && third_ms.is_some_and(|at| event.at_ms > at + CONTACT_MS)
    });
    let late = late.count();
    record.line(&format!(
        "{number} attempts; {} crashes of targets; {late} arrivals later than 3 s after the third crash (allowed: \
         {ALLOWED}); {lost} orders of other clients were lost in crashes",
        crashes.len()
    ));
    if begun.is_empty() {
        return 2;
    }
    i32::from(late > ALLOWED)
}

/// Orders at a node until the case has ended; returns the orders that ended without the target's answer.
fn order(host: &HostSpec, record: &Record, ended: &AtomicBool) -> usize {
    let (mut number, mut lost) = (0, 0);
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("o-{}-{number:04}", host.name);
        let headers =
            [("Host", "shop.example"), ("X-Request-Id", &*id), ("X-Deadline-Ms", "5000")];
        let limit = Duration::from_secs(6);
        let answer = call(host.traffic, "POST", "/stock/w150/order", &headers, b"x", limit);
        match answer {
            Ok(answer) if header(&answer.headers, "x-response-signature").is_some() => {}
            Ok(answer) if answer.status == 503 => {}
            Ok(answer) => {
                lost += 1;
                record.line(&format!("order {id}: {} without the target's answer", answer.status));
            }
            Err(error) => {
                lost += 1;
                record.line(&format!("order {id}: {error}"));
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    lost
}
