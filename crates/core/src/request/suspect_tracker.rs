//! Requests that a node suspects of crashing upstreams, with times on the node's own clock.
//!
//! A request is identified by its fingerprint and a crash by the upstream's instance, so that a
//! crash counts once however often it is reported. From the second crash on, or from the third on if the
//! requests had been answered or abandoned before, the request is refused for a time that doubles with each
//! further crash. Of requests that ended before the same crashes none is refused while further crashes may tell
//! them apart. A whole response that the upstream outlived clears the request of the crashes until then;
//! later ones count anew.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of crashes from which on a request is refused that was in flight.
const RUNNING_LIMIT: usize = 2;

/// Number of crashes from which on a request is refused that was answered or abandoned shortly before. Others often
/// are too, so one crash tells less.
const ANSWERED_LIMIT: usize = 3;

/// The same while another such request stands beside all of these crashes.
const RIVALLED_LIMIT: usize = 6;

/// Time for which a first crash counts, and for which a request is refused after the second.
const BASE_SUSPICION: Duration = Duration::from_secs(60);

/// Most doublings of [`BASE_SUSPICION`], which limits a refusal to about an hour.
const MAX_DOUBLINGS: u32 = 6;

/// Time after the end of a refusal for which the crashes are kept, so that a request that crashes
/// another upstream is refused again at once.
const RETENTION: Duration = Duration::from_secs(600);

/// Time after a change for which it is sent to other nodes repeatedly, in case a datagram is lost.
const RESEND_TIME: Duration = Duration::from_secs(5);

/// Most hints in one datagram beside those that are named, which keeps them under 1,000 bytes.
pub const MAX_HINTS: usize = 16;

/// Most crashes that are recorded for one request.
const MAX_CRASHES: usize = 8;

/// Suspicion of one request, as nodes report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectHint {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Hashes of the upstream instances that crashed, sorted.
    pub crashes: Vec<u64>,
    /// Milliseconds until the suspicion ends.
    pub left_ms: u64,
    /// Whether an upstream has outlived an answer to the request since, which shows that it did not cause these
    /// crashes.
    pub cleared: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct TrackedRow {
    fingerprint: u128,
    /// Crashes that count, sorted.
    crashes: Vec<u64>,
    /// Crashes of which an answer has cleared the request, sorted.
    cleared: Vec<u64>,
    until: Instant,
    resend_until: Instant,
}

/// Suspected requests of one node, sorted by fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTracker {
    /// Number of crashes from which on a request is refused.
    limit: usize,
    /// The same while another request is suspected of all of them.
    rivalled_limit: usize,
    rows: Vec<TrackedRow>,
}

impl Default for SuspectTracker {
    fn default() -> Self {
        Self { limit: RUNNING_LIMIT, rivalled_limit: RUNNING_LIMIT, rows: Vec::new() }
    }
}

fn suspicion_time(crashes: usize, limit: usize) -> Duration {
    let further = crashes.saturating_sub(limit);
    let doublings = u32::try_from(further).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS);
    BASE_SUSPICION * 2_u32.pow(doublings)
}

/// Adds crashes to sorted ones, [`MAX_CRASHES`] at most; returns whether there are more.
fn add_crashes(known: &mut Vec<u64>, crashes: &[u64]) -> bool {
    let before = known.len();
    known.extend(crashes);
    known.sort_unstable();
    known.dedup();
    known.truncate(MAX_CRASHES);
    known.len() > before
}

impl SuspectTracker {
    /// Creates a tracker of requests that had ended shortly before their upstreams crashed.
    pub const fn of_answered() -> Self {
        Self { limit: ANSWERED_LIMIT, rivalled_limit: RIVALLED_LIMIT, rows: Vec::new() }
    }

    /// Whether no request is suspected, so that requests need not be hashed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn row(&self, fingerprint: u128) -> Option<&TrackedRow> {
        let index = self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint).ok()?;
        Some(&self.rows[index])
    }

    /// Records that an upstream instance crashed while the request was in flight, or shortly after it answered
    /// it. Returns the hint for other nodes.
    pub fn note_crash(&mut self, fingerprint: u128, instance: u64, now: Instant) -> SuspectHint {
        let crashes = self.row(fingerprint).map_or(0, |row| row.crashes.len()) + 1;
        let left = suspicion_time(crashes, self.limit);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let hint = SuspectHint { fingerprint, crashes: vec![instance], left_ms, cleared: false };
        self.merge(&hint, now);
        hint
    }

    /// Clears a request whose answer an upstream outlived; returns whether it was suspected.
    pub fn clear(&mut self, fingerprint: u128, now: Instant) -> bool {
        let Ok(index) = self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint) else {
            return false;
        };
        let row = &mut self.rows[index];
        let crashes = std::mem::take(&mut row.crashes);
        if crashes.is_empty() {
            return false;
        }
        add_crashes(&mut row.cleared, &crashes);
        row.resend_until = now + RESEND_TIME;
        true
    }

    /// Merges a hint from another node; returns whether it changed anything. Hints may arrive
    /// repeatedly and in any order.
    pub fn merge(&mut self, hint: &SuspectHint, now: Instant) -> bool {
        let until = now + Duration::from_millis(hint.left_ms);
        let index = match self.rows.binary_search_by_key(&hint.fingerprint, |row| row.fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let row = TrackedRow {
                    fingerprint: hint.fingerprint,
                    crashes: Vec::new(),
                    cleared: Vec::new(),
                    until,
                    resend_until: now,
                };
                self.rows.insert(index, row);
                index
            }
        };
        let row = &mut self.rows[index];
        row.until = row.until.max(until);
        let changed = if hint.cleared {
            row.crashes.retain(|crash| !hint.crashes.contains(crash));
            add_crashes(&mut row.cleared, &hint.crashes)
        } else {
            let counts = |crash: &&u64| row.cleared.binary_search(crash).is_err();
            let counting: Vec<u64> = hint.crashes.iter().filter(counts).copied().collect();
            add_crashes(&mut row.crashes, &counting)
        };
        if changed {
            row.resend_until = now + RESEND_TIME;
        }
        changed
    }

    /// Whether a request is suspected, even if it is not refused yet.
    pub fn suspects(&self, fingerprint: u128) -> bool {
        self.row(fingerprint).is_some_and(|row| !row.crashes.is_empty())
    }

    /// Returns the time for which the request is still refused, or `None` if it is not refused.
    pub fn refusal(&self, fingerprint: u128, now: Instant) -> Option<Duration> {
        let row = self.row(fingerprint)?;
        let crashes = row.crashes.len();
        let refused = crashes >= self.limit
            && now < row.until
            && (crashes >= self.rivalled_limit || !self.has_rival(row));
        refused.then(|| row.until - now)
    }

    /// Whether another request is suspected of all crashes that this one is suspected of.
    fn has_rival(&self, row: &TrackedRow) -> bool {
        let shares = |other: &TrackedRow| {
            let is_shared = |crash| other.crashes.binary_search(crash).is_ok();
            other.fingerprint != row.fingerprint && row.crashes.iter().all(is_shared)
        };
        self.rows.iter().any(shares)
    }

    /// Returns the hints to send to another node: recent changes and refused requests, first those on
    /// the requests that are `named`, by fingerprint, then the newest.
    pub fn hints(&self, named: &[u128], now: Instant) -> Vec<SuspectHint> {
        let due = |row: &&TrackedRow| {
            now < row.resend_until || self.refusal(row.fingerprint, now).is_some()
        };
        let mut rows: Vec<_> = self.rows.iter().filter(due).collect();
        rows.sort_by_key(|row| {
            (!named.contains(&row.fingerprint), std::cmp::Reverse(row.resend_until))
        });
        let hints = rows.into_iter().flat_map(|row| {
            let left = row.until.saturating_duration_since(now).as_millis();
            let left_ms = u64::try_from(left).unwrap_or(u64::MAX);
            [(&row.crashes, false), (&row.cleared, true)].map(|(crashes, cleared)| SuspectHint {
                fingerprint: row.fingerprint,
                crashes: crashes.clone(),
                left_ms,
                cleared,
            })
        });
        hints.filter(|hint| !hint.crashes.is_empty()).take(named.len() + MAX_HINTS).collect()
    }

    /// Removes suspicions that ended so long ago that their crashes need not be kept.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.until + RETENTION);
    }
}

impl SuspectHint {
    /// Whether a node that sent `other` already knows everything in this hint.
    pub fn is_known_by(&self, other: &Self) -> bool {
        let named = |instance: &u64| other.crashes.binary_search(instance).is_ok();
        self.fingerprint == other.fingerprint && self.crashes.iter().all(named)
    }
}
