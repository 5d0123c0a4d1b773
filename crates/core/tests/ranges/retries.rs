//! Compares the retry window with a plain list of send times.

use std::time::{Duration, Instant};

use firspindle_core::request::RetryWindow;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

/// Number of times within a span before `now`.
fn count_since(times: &[Instant], span: Duration, now: Instant) -> f64 {
    times.iter().filter(|at| now.duration_since(**at) < span).count() as f64
}

/// Most retries allowed in the window before `now`. First sends up to a tenth of a window earlier
/// count too, because the retry window counts whole slices, as an observer would whose window
/// begins a little earlier.
fn retry_limit(first: &[Instant], ratio: f64, allowance: f64, now: Instant) -> f64 {
    ratio * count_since(first, WINDOW + WINDOW / 10, now) + allowance
}

proptest! {
    #[test]
    fn retries_stay_within_the_budget_in_each_sliding_window(
        steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
    ) {
        let (ratio, allowance) = (0.2, 6.0);
        let mut window = RetryWindow::new(WINDOW);
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        let mut now = Instant::now();
        for (gap, retry) in steps {
            now += Duration::from_millis(gap);
            if !retry {
                window.count_first_send(now);
                first.push(now);
            } else if window.take_retry(ratio, allowance, now) {
                retries.push(now);
                let bound = retry_limit(&first, ratio, allowance, now);
                prop_assert!(count_since(&retries, WINDOW, now) <= bound);
            }
        }
    }

    /// Each node limits its retries by its own requests and its part of the allowance. Together the
    /// nodes stay within the budget of the service, however uneven the load is.
    #[test]
    fn nodes_together_stay_within_the_budget(
        nodes in 1_usize..8,
        steps in prop::collection::vec((0_u64..120, 0_usize..64, prop::bool::weighted(0.6)), 1..600),
    ) {
        let (ratio, allowance) = (0.2, 64.0);
        let part = allowance / nodes as f64;
        let mut windows = vec![RetryWindow::new(WINDOW); nodes];
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        let mut now = Instant::now();
        for (gap, draw, retry) in steps {
            now += Duration::from_millis(gap);
            // The smaller of two draws gives the first nodes most of the load.
            let node = (draw % 8).min(draw / 8) % nodes;
            if !retry {
                windows[node].count_first_send(now);
                first.push(now);
            } else if windows[node].take_retry(ratio, part, now) {
                retries.push(now);
                let bound = retry_limit(&first, ratio, allowance, now);
                prop_assert!(count_since(&retries, WINDOW, now) <= bound);
            }
        }
    }
}
