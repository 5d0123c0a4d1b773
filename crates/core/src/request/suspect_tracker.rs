//! What a node knows of requests that crash upstreams, on its own clock.
//!
//! A request is known by its content, a crash by the upstream's life, so that a crash counts once
//! however often it is told. From the second crash on the request is refused for a time that
//! doubles with each further one. An upstream that answers it clears it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Crashes from which on a request is refused.
const CRASH_LIMIT: usize = 2;

/// Time for which a crash counts, and for which the second one has a request refused.
const BASE_SUSPICION: Duration = Duration::from_secs(60);

/// Doublings of that time at most: about an hour.
const MAX_DOUBLINGS: u32 = 6;

/// Time after the end of a refusal for which the crashes are remembered: a request that crashes
/// one more upstream is refused again at once.
const RETENTION: Duration = Duration::from_secs(600);

/// Time after a change for which others are told of it again, in case a datagram was lost.
const RESEND_TIME: Duration = Duration::from_secs(5);

/// Rows in one datagram; under 1,000 bytes.
const MAX_HINTS: usize = 16;

/// Lives that are named for one request.
const MAX_CRASHES: usize = 8;

/// A suspicion as nodes tell one another of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectHint {
    /// Hash of the request's content.
    pub content: u128,
    /// Hashes of the lives that crashed while they ran it, sorted.
    pub crashes: Vec<u64>,
    /// Milliseconds until the suspicion ends.
    pub left_ms: u64,
    /// Whether an upstream has answered the request, so that it is no cause of crashes.
    pub cleared: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct TrackedRow {
    content: u128,
    crashes: Vec<u64>,
    until: Instant,
    resend_until: Instant,
    cleared: bool,
}

/// Suspects, sorted by content.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectTracker {
    rows: Vec<TrackedRow>,
}

fn suspicion_time(crashes: usize) -> Duration {
    let further = crashes.saturating_sub(CRASH_LIMIT);
    let doublings = u32::try_from(further).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS);
    BASE_SUSPICION * 2_u32.pow(doublings)
}

impl SuspectTracker {
    /// Whether nothing is suspected, so that no request need be hashed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn row(&self, content: u128) -> Option<&TrackedRow> {
        let index = self.rows.binary_search_by_key(&content, |row| row.content).ok()?;
        Some(&self.rows[index])
    }

    /// Notes a crash in which a request was in flight.
    pub fn note_crash(&mut self, content: u128, instance: u64, now: Instant) -> SuspectHint {
        let crashes = self.row(content).map_or(0, |row| row.crashes.len()) + 1;
        let left = suspicion_time(crashes);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let hint = SuspectHint { content, crashes: vec![instance], left_ms, cleared: false };
        self.merge(&hint, now);
        hint
    }

    /// Clears a suspect that an upstream answered; gives whether it was one.
    pub fn clear(&mut self, content: u128, now: Instant) -> bool {
        let Ok(index) = self.rows.binary_search_by_key(&content, |row| row.content) else {
            return false;
        };
        let row = &mut self.rows[index];
        if row.cleared {
            return false;
        }
        row.cleared = true;
        row.resend_until = now + RESEND_TIME;
        true
    }

    /// Takes what another node told; gives whether it was new.
    pub fn merge(&mut self, hint: &SuspectHint, now: Instant) -> bool {
        let until = now + Duration::from_millis(hint.left_ms);
        let index = match self.rows.binary_search_by_key(&hint.content, |row| row.content) {
            Ok(index) => index,
            Err(index) => {
                let row = TrackedRow {
                    content: hint.content,
                    crashes: Vec::new(),
                    until,
                    resend_until: now,
                    cleared: false,
                };
                self.rows.insert(index, row);
                index
            }
        };
        let row = &mut self.rows[index];
        let known = row.crashes.len();
        row.crashes.extend(&hint.crashes);
        row.crashes.sort_unstable();
        row.crashes.dedup();
        row.crashes.truncate(MAX_CRASHES);
        row.until = row.until.max(until);
        let changed = row.crashes.len() > known || (hint.cleared && !row.cleared);
        row.cleared |= hint.cleared;
        if changed {
            row.resend_until = now + RESEND_TIME;
        }
        changed
    }

    /// Whether a request is suspected, though it may not be refused yet.
    pub fn suspects(&self, content: u128) -> bool {
        self.row(content).is_some_and(|row| !row.cleared)
    }

    /// Time for which a request is refused, if it is.
    pub fn refusal(&self, content: u128, now: Instant) -> Option<Duration> {
        let row = self.row(content)?;
        let refused = !row.cleared && row.crashes.len() >= CRASH_LIMIT && now < row.until;
        refused.then(|| row.until - now)
    }

    /// What others are to be told: what is new, and what is refused, the newest first.
    pub fn hints(&self, now: Instant) -> Vec<SuspectHint> {
        let due =
            |row: &&TrackedRow| now < row.resend_until || self.refusal(row.content, now).is_some();
        let mut rows: Vec<_> = self.rows.iter().filter(due).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.resend_until));
        rows.truncate(MAX_HINTS);
        let hint = |row: &TrackedRow| SuspectHint {
            content: row.content,
            crashes: row.crashes.clone(),
            left_ms: u64::try_from((row.until.saturating_duration_since(now)).as_millis())
                .unwrap_or(u64::MAX),
            cleared: row.cleared,
        };
        rows.into_iter().map(hint).collect()
    }

    /// Drops suspicions that ended long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.until + RETENTION);
    }
}

impl SuspectHint {
    /// Whether one who tells `other` knows all that this hint tells.
    pub fn is_known_by(&self, other: &Self) -> bool {
        let named = |instance: &u64| other.crashes.binary_search(instance).is_ok();
        self.content == other.content && (other.cleared || self.crashes.iter().all(named))
    }
}
