//! At which time a read shows the store.

use std::time::{Duration, Instant};

use firspindle_mesh::process::shown_at;

const WAIT: Duration = Duration::from_millis(900);

/// Guards against freshness that nobody has: an answer that the store gave at once, and that was long on
/// its way, counted as if the store had waited until it arrived.
#[test]
fn an_answer_before_the_end_of_the_wait_shows_the_beginning_of_the_call() {
    let began = Instant::now();
    let late = |ms| shown_at(began, WAIT, began + Duration::from_millis(ms)) - began;
    assert_eq!(late(4), Duration::ZERO);
    assert_eq!(late(880), Duration::ZERO);
    assert_eq!(late(900), WAIT);
    assert_eq!(late(5_000), WAIT);
}
