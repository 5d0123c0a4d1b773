//! Times between calls to a store that does not answer.

use std::time::{Duration, Instant};

use firspindle_core::process::StoreBackoff;

/// Longest pause of one of 295 hosts.
const LONGEST: Duration = Duration::from_millis(32_400);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_lost_answer_is_no_outage() {
    let now = Instant::now();
    let mut backoff = StoreBackoff::default();
    assert_eq!(backoff.pause(LONGEST), Duration::ZERO);
    backoff.note_answer(false, now);
    assert!(backoff.is_failing());
    assert_eq!(backoff.pause(LONGEST), millis(250));
    backoff.note_answer(true, now + millis(300));
    assert!(!backoff.is_failing());
    assert_eq!(backoff.pause(LONGEST), Duration::ZERO);
}

#[test]
fn pauses_of_an_outage_grow_with_it_up_to_the_longest() {
    let started = Instant::now();
    let (mut backoff, mut now) = (StoreBackoff::default(), started);
    let mut calls = Vec::new();
    while now < started + Duration::from_secs(120) {
        backoff.note_answer(false, now);
        calls.push((now - started).as_millis());
        now += backoff.pause(LONGEST) + millis(800);
    }
    insta::assert_snapshot!(format!("{calls:?}"));
}
