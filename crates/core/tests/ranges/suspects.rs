//! Suspected requests, with hints that arrive repeatedly and in any order.

use std::time::{Duration, Instant};

use firspindle_core::request::{SuspectHint, SuspectTracker};
use proptest::prelude::*;

const MINUTE: Duration = Duration::from_secs(60);

fn hint(fingerprint: u128, instance: u64, cleared: bool) -> SuspectHint {
    SuspectHint { fingerprint, crashes: vec![instance], left_ms: 60_000, cleared }
}

proptest! {
    #[test]
    fn trackers_with_the_same_hints_refuse_the_same_requests(
        reported in prop::collection::vec((0_u128..3, 0_u64..4, prop::bool::weighted(0.1)), 0..12),
        order in any::<u64>(),
    ) {
        let now = Instant::now();
        let (mut one, mut other) = (SuspectTracker::default(), SuspectTracker::default());
        for (fingerprint, instance, cleared) in &reported {
            one.merge(&hint(*fingerprint, *instance, *cleared), now);
        }
        let count = reported.len().max(1) as u64;
        for step in 0..count * 2 {
            // Starts at any hint and delivers each one twice.
            if let Some((fingerprint, instance, cleared)) = reported.get(((order % count + step) % count) as usize) {
                other.merge(&hint(*fingerprint, *instance, *cleared), now);
            }
        }
        for fingerprint in 0..3 {
            let rows = || reported.iter().filter(|row| row.0 == fingerprint);
            let cleared = |instance| rows().any(|row| row.1 == instance && row.2);
            let mut instances: Vec<_> = rows().map(|row| row.1).collect();
            instances.sort_unstable();
            instances.dedup();
            instances.retain(|instance| !cleared(*instance));
            let refused = instances.len() >= 2;
            prop_assert_eq!(one.refusal(fingerprint, now).is_some(), refused);
            prop_assert_eq!(other.refusal(fingerprint, now).is_some(), refused);
        }
    }
}

#[test]
fn a_request_is_refused_longer_with_each_further_crash() {
    let mut tracker = SuspectTracker::default();
    let mut now = Instant::now();
    tracker.note_crash(1, 1, now);
    assert_eq!(tracker.refusal(1, now), None);
    for (instance, minutes) in [(2, 1), (3, 2), (4, 4)] {
        tracker.note_crash(1, instance, now);
        assert_eq!(tracker.refusal(1, now), Some(minutes * MINUTE));
        now += minutes * MINUTE;
        tracker.expire(now);
        assert_eq!(tracker.refusal(1, now), None, "the request may be sent once more");
    }
}

/// A request may be in flight during two crashes by chance. Once an upstream that it was sent to
/// earlier answers it, it must not be refused any more.
#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut tracker = SuspectTracker::default();
    tracker.note_crash(1, 1, now);
    tracker.note_crash(1, 2, now);
    assert!(tracker.clear(1, now) && !tracker.clear(1, now));
    assert_eq!(tracker.refusal(1, now), None);
    let mut other = SuspectTracker::default();
    other.note_crash(1, 1, now);
    other.note_crash(1, 2, now);
    for row in tracker.hints(&[], now) {
        assert!(other.merge(&row, now));
    }
    assert_eq!(other.refusal(1, now), None);
}

/// An answer of before says nothing of crashes since.
#[test]
fn crashes_after_an_answer_count() {
    let now = Instant::now();
    let (mut tracker, mut other) = (SuspectTracker::default(), SuspectTracker::default());
    tracker.note_crash(1, 1, now);
    assert!(tracker.clear(1, now));
    tracker.note_crash(1, 2, now);
    assert_eq!(tracker.refusal(1, now), None, "the first is cleared");
    let newest = tracker.note_crash(1, 3, now);
    assert_eq!(tracker.refusal(1, now), Some(MINUTE));
    for row in tracker.hints(&[], now) {
        other.merge(&row, now);
    }
    assert_eq!(other.refusal(1, now), Some(MINUTE));
    assert!(other.hints(&[], now).iter().any(|row| newest.is_known_by(row)));
}

#[test]
fn datagrams_carry_the_newest_and_stay_small() {
    let start = Instant::now();
    let mut tracker = SuspectTracker::default();
    for fingerprint in 0..100 {
        tracker.note_crash(fingerprint, 1, start + Duration::from_millis(fingerprint as u64));
    }
    let hints = tracker.hints(&[], start + Duration::from_millis(100));
    assert_eq!(hints.len(), 16);
    assert!(hints.iter().all(|row| row.fingerprint >= 84));
    assert!(
        tracker.hints(&[], start + MINUTE).is_empty(),
        "a single crash is sent to other nodes only for a short time"
    );
}

/// Guards against a harmless request that is refused because it ended before the same crashes as the one that caused
/// them, and against two that always come together and are never refused.
#[test]
fn requests_that_ended_before_the_same_crashes_wait_for_further_ones() {
    let now = Instant::now();
    let mut tracker = SuspectTracker::of_answered();
    let refused = |tracker: &SuspectTracker| [7, 8].map(|it| tracker.refusal(it, now).is_some());
    for crash in 0..3 {
        tracker.note_crash(7, crash, now);
        tracker.note_crash(8, crash, now);
    }
    assert_eq!(refused(&tracker), [false, false], "three crashes, both beside each");
    let mut apart = tracker.clone();
    apart.note_crash(7, 3, now);
    assert_eq!(refused(&apart), [true, false], "a fourth tells them apart");
    tracker.clear(8, now);
    assert_eq!(refused(&tracker), [true, false], "an upstream outlived the other");
    for crash in 0..6 {
        tracker.note_crash(7, 10 + crash, now);
        tracker.note_crash(9, 10 + crash, now);
    }
    assert!(tracker.refusal(9, now).is_some(), "six crashes, the other beside each");
}
