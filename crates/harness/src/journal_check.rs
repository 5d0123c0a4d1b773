//! What upstreams ran, and whether it breaks a promise.

use std::fmt;

use serde::Deserialize;

/// One run whose work took effect.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct JournalRow {
    /// Upstream, by place in the fleet; set by the reader.
    #[serde(default)]
    pub host: usize,
    /// Key.
    pub key: String,
    /// Request id.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Fence.
    pub fence: String,
    /// Start, in microseconds of boot time.
    pub start: u64,
    /// End, in microseconds of boot time.
    pub end: u64,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalFault {
    /// A non-idempotent request ran twice.
    RanTwice(Box<JournalRow>, Box<JournalRow>),
    /// A key's work overlapped on two upstreams.
    Overlap(Box<JournalRow>, Box<JournalRow>),
    /// A later run of a key on another upstream had no higher fence.
    FenceFell(Box<JournalRow>, Box<JournalRow>),
}

impl fmt::Display for JournalFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Checks the journals of all upstreams of a service together.
pub fn check_journals(rows: &[JournalRow]) -> Vec<JournalFault> {
    let mut faults = find_repeats(rows);
    let mut sorted: Vec<_> = rows.iter().filter(|row| !row.key.is_empty()).collect();
    sorted.sort_by(|a, b| a.key.cmp(&b.key).then(a.start.cmp(&b.start)));
    for (index, row) in sorted.iter().enumerate() {
        let later = sorted[index + 1..].iter().take_while(|other| other.key == row.key);
        for other in later.filter(|other| other.host != row.host) {
            if other.start < row.end {
                faults.push(JournalFault::Overlap(
                    Box::new((*row).clone()),
                    Box::new((*other).clone()),
                ));
            }
            if fence(&other.fence) <= fence(&row.fence) {
                faults.push(JournalFault::FenceFell(
                    Box::new((*row).clone()),
                    Box::new((*other).clone()),
                ));
            }
        }
    }
    faults
}

fn find_repeats(rows: &[JournalRow]) -> Vec<JournalFault> {
    let mut sorted: Vec<_> = rows.iter().filter(|row| row.method != "GET").collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let twice = sorted.windows(2).filter(|pair| pair[0].id == pair[1].id);
    twice
        .map(|pair| JournalFault::RanTwice(Box::new(pair[0].clone()), Box::new(pair[1].clone())))
        .collect()
}

fn fence(text: &str) -> (u64, u64) {
    let (offset, step) = text.split_once('.').unwrap_or((text, "0"));
    (offset.parse().unwrap_or(0), step.parse().unwrap_or(0))
}
