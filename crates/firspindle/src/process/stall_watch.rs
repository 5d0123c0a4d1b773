//! Detects that this process itself stalled, for example because it was stopped or got no CPU time.

use std::time::{Duration, Instant};

/// Lateness from which on a wake-up counts as a stall. Schedulers of busy machines are late by tens
/// of milliseconds.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// Whether a task that was to wake at `due` woke so late that the silence of others until now
/// proves nothing: what they sent may not have been read yet.
pub fn wake_up_stalled(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) >= STALL_THRESHOLD
}
