//! Whether this process stood still itself.

use std::time::{Duration, Instant};

/// Lateness of a wake-up from which on it counts as a stall; schedulers of busy machines are late
/// by tens of milliseconds.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Whether a task that was to wake at `due` woke so late that the silence of others until now
/// proves nothing.
pub fn wake_up_stalled(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) >= STALL_THRESHOLD
}
