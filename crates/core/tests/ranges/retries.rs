//! The retry window against a plain list of times.

use std::time::{Duration, Instant};

use firspindle_core::request::RetryWindow;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

proptest! {
    #[test]
    fn retries_stay_within_the_budget_in_each_sliding_window(
        steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
    ) {
        let start = Instant::now();
        let (ratio, allowance) = (0.2, 6.0);
        let mut window = RetryWindow::new(WINDOW);
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        let mut now = start;
        for (gap, retry) in steps {
            now += Duration::from_millis(gap);
            if !retry {
                window.count_first(now);
                first.push(now);
            } else if window.take_retry(ratio, allowance, now) {
                retries.push(now);
                // The first ones of the slice before the window count for it, as they do for
                // whoever looks at windows that begin a little earlier.
                let slice = WINDOW / 20;
                let since = |times: &[Instant], span: Duration| {
                    times.iter().filter(|at| now.duration_since(**at) < span).count()
                };
                let allowed = ratio * since(&first, WINDOW + slice * 2) as f64 + allowance;
                prop_assert!(since(&retries, WINDOW) as f64 <= allowed);
            }
        }
    }
}
