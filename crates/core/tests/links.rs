//! Tests of the order and times in which a node hands data to its host's link.

use std::time::{Duration, Instant};

use firspindle_core::connection::LinkSchedule;
use proptest::prelude::*;

/// Rate of a link of 10 Mbit/s, in bytes a second.
const RATE: u64 = 1_250_000;

/// Time that the link takes for a byte.
const NANOS_PER_BYTE: u64 = 1_000_000_000 / RATE;

/// Length of a part.
const PART: usize = 16 * 1024;

/// Longest time that a message may wait in the link: half the objective of the shortest calls.
const LINK_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// A link that sends in order of arrival, and the longest wait in it.
struct LinkModel {
    free_at: Instant,
    longest_wait: Duration,
    received: u64,
}

impl LinkModel {
    fn new(now: Instant) -> Self {
        Self { free_at: now, longest_wait: Duration::ZERO, received: 0 }
    }

    fn receive(&mut self, bytes: usize, now: Instant) {
        self.longest_wait = self.longest_wait.max(self.free_at.saturating_duration_since(now));
        let bytes = u64::try_from(bytes).expect("a length fits 64 bits");
        self.received += bytes;
        self.free_at = self.free_at.max(now) + Duration::from_nanos(bytes * NANOS_PER_BYTE);
    }
}

fn index_of(number: u64) -> usize {
    usize::try_from(number).expect("a small number")
}

#[test]
fn the_body_that_began_first_is_handed_over_first() {
    let now = Instant::now();
    let mut schedule = LinkSchedule::new(RATE, now);
    let late = schedule.add(2, PART);
    let first = schedule.add(1, PART);
    let abandoned = schedule.add(0, PART);
    schedule.cancel(abandoned);
    assert_eq!(schedule.take(now), Some(first));
    assert_eq!(schedule.take(now), Some(late));
    assert_eq!(schedule.take(now), None);
}

proptest! {
    /// Guards against messages that wait in the link behind bodies, at any load of bodies, with
    /// timers that fire up to 20 ms late.
    #[test]
    fn no_message_waits_long_in_the_link(
        bodies in prop::collection::vec((0_u64..2_000, 1_usize..40), 1..80),
        messages in prop::collection::vec(100_usize..2_000, 0..400),
        lateness in prop::collection::vec(0_u64..20, 50),
    ) {
        let start = Instant::now();
        let mut schedule = LinkSchedule::new(RATE, start);
        let mut link = LinkModel::new(start);
        let mut left: Vec<_> = bodies.iter().map(|body| body.1).collect();
        let mut waiting: Vec<(u64, usize)> = Vec::new();
        let mut wake_at = start;
        for ms in 0..20_000_u64 {
            let now = start + Duration::from_millis(ms);
            if let Some(bytes) = messages.get(index_of(ms / 10)).filter(|_| ms % 10 == 0) {
                link.receive(*bytes, now);
                schedule.charge(*bytes, now);
            }
            for (index, body) in bodies.iter().enumerate() {
                if body.0 == ms {
                    waiting.push((schedule.add(index as u64, PART), index));
                }
            }
            if now < wake_at {
                continue;
            }
            while let Some(ticket) = schedule.take(now) {
                link.receive(PART, now);
                let row = waiting.iter().position(|row| row.0 == ticket).expect("it waits");
                let (_, index) = waiting.remove(row);
                left[index] -= 1;
                if left[index] > 0 {
                    waiting.push((schedule.add(index as u64, PART), index));
                }
            }
            let late = Duration::from_millis(lateness[index_of(ms % 50)]);
            wake_at = schedule.next_at(now).map_or(now, |at| at + late);
        }
        prop_assert!(link.longest_wait <= LINK_WAIT_LIMIT, "{:?}", link.longest_wait);
        let all_handed_over = left.iter().all(|parts| *parts == 0);
        // All bodies have begun after two seconds.
        prop_assert!(all_handed_over || link.received >= RATE * 17, "the link is in use");
    }
}
