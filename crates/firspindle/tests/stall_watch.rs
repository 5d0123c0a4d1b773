//! A node that stalled must not count that time as silence of its upstream: the upstream would be
//! treated as unresponsive and lose its partitions.

use std::time::{Duration, Instant};

use firspindle::process::wake_up_stalled;

#[test]
fn a_late_wake_up_is_a_stall() {
    let due = Instant::now();
    for (late_ms, stalled) in [(0, false), (90, false), (300, true), (800, true)] {
        let now = due + Duration::from_millis(late_ms);
        assert_eq!(wake_up_stalled(due, now), stalled, "{late_ms} ms late");
    }
    assert!(!wake_up_stalled(due + Duration::from_millis(1), due));
}
