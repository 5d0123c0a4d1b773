//! Suspicions, however often and in whatever order they are told.

use std::time::{Duration, Instant};

use firspindle_core::request::{SuspectHint, SuspectTracker};
use proptest::prelude::*;

const MINUTE: Duration = Duration::from_secs(60);

fn hint(content: u128, instance: u64, cleared: bool) -> SuspectHint {
    SuspectHint { content, crashes: vec![instance], left_ms: 60_000, cleared }
}

proptest! {
    #[test]
    fn books_that_heard_the_same_refuse_the_same(
        told in prop::collection::vec((0_u128..3, 0_u64..4, prop::bool::weighted(0.1)), 0..12),
        order in any::<u64>(),
    ) {
        let now = Instant::now();
        let (mut one, mut other) = (SuspectTracker::default(), SuspectTracker::default());
        for (content, instance, cleared) in &told {
            one.merge(&hint(*content, *instance, *cleared), now);
        }
        let count = told.len().max(1) as u64;
        for step in 0..count * 2 {
            // Any order; each is told twice.
            if let Some((content, instance, cleared)) = told.get(((order % count + step) % count) as usize) {
                other.merge(&hint(*content, *instance, *cleared), now);
            }
        }
        for content in 0..3 {
            let rows = || told.iter().filter(|row| row.0 == content);
            let mut lives: Vec<_> = rows().map(|row| row.1).collect();
            lives.sort_unstable();
            lives.dedup();
            let refused = lives.len() >= 2 && !rows().any(|row| row.2);
            prop_assert_eq!(one.refusal(content, now).is_some(), refused);
            prop_assert_eq!(other.refusal(content, now).is_some(), refused);
        }
    }
}

#[test]
fn a_request_is_refused_longer_with_each_further_crash() {
    let mut book = SuspectTracker::default();
    let mut now = Instant::now();
    book.note_crash(1, 1, now);
    assert_eq!(book.refusal(1, now), None);
    for (instance, minutes) in [(2, 1), (3, 2), (4, 4)] {
        book.note_crash(1, instance, now);
        assert_eq!(book.refusal(1, now), Some(minutes * MINUTE));
        now += minutes * MINUTE;
        book.remove_expired(now);
        assert_eq!(book.refusal(1, now), None, "it may be tried once more");
    }
}

/// A request that was in flight in two crashes by chance runs at last somewhere where it was sent
/// before; then it is refused no more.
#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut book = SuspectTracker::default();
    book.note_crash(1, 1, now);
    book.note_crash(1, 2, now);
    assert!(book.clear(1, now) && !book.clear(1, now));
    assert_eq!(book.refusal(1, now), None);
    let mut other = SuspectTracker::default();
    other.note_crash(1, 1, now);
    other.note_crash(1, 2, now);
    for row in book.hints(now) {
        assert!(other.merge(&row, now));
    }
    assert_eq!(other.refusal(1, now), None);
}

#[test]
fn datagrams_carry_the_newest_and_stay_small() {
    let start = Instant::now();
    let mut book = SuspectTracker::default();
    for content in 0..100 {
        book.note_crash(content, 1, start + Duration::from_millis(content as u64));
    }
    let hints = book.hints(start + Duration::from_millis(100));
    assert_eq!(hints.len(), 16);
    assert!(hints.iter().all(|row| row.content >= 84));
    assert!(book.hints(start + MINUTE).is_empty(), "one crash is news for a moment");
}
