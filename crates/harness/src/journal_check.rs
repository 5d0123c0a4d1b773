//! Checks the journals of the upstreams for violations of the execution guarantees.

use std::fmt;

use serde::Deserialize;

/// One completed run, as the upstream stand-in writes it to its journal.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct JournalRow {
    /// Host number of the upstream; not part of the file, set when the journal is read.
    #[serde(default)]
    pub host: usize,
    /// Routing key; empty if the request had none.
    pub key: String,
    /// Request id, from `idempotency-key`.
    pub id: String,
    /// HTTP method; requests with a method other than `GET` must not run twice.
    pub method: String,
    /// Request path without the query.
    pub path: String,
    /// Fencing token as `offset.rank`.
    pub fence: String,
    /// Start of the work, in microseconds since the machine booted.
    pub start: u64,
    /// End of the work, in microseconds since the machine booted.
    pub end: u64,
}

/// A violation of an execution guarantee, with the two runs that prove it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalViolation {
    /// A request with a method other than GET ran twice.
    DuplicateRun(Box<JournalRow>, Box<JournalRow>),
    /// Two upstreams worked on the same key at the same time.
    ConcurrentRuns(Box<JournalRow>, Box<JournalRow>),
    /// A later run of a key on another upstream did not have a higher fencing token.
    FenceNotIncreased(Box<JournalRow>, Box<JournalRow>),
}

impl fmt::Display for JournalViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Returns all violations in the combined journals of the upstreams of a service.
pub fn check_journals(rows: &[JournalRow]) -> Vec<JournalViolation> {
    let mut violations = find_duplicate_runs(rows);
    let mut sorted: Vec<_> = rows.iter().filter(|row| !row.key.is_empty()).collect();
    sorted.sort_by(|a, b| a.key.cmp(&b.key).then(a.start.cmp(&b.start)));
    for (index, row) in sorted.iter().enumerate() {
        let later_rows = sorted[index + 1..].iter().take_while(|other| other.key == row.key);
        for other in later_rows.filter(|other| other.host != row.host) {
            if other.start < row.end {
                violations.push(JournalViolation::ConcurrentRuns(
                    Box::new((*row).clone()),
                    Box::new((*other).clone()),
                ));
            }
            if parse_fence(&other.fence) <= parse_fence(&row.fence) {
                violations.push(JournalViolation::FenceNotIncreased(
                    Box::new((*row).clone()),
                    Box::new((*other).clone()),
                ));
            }
        }
    }
    violations
}

fn find_duplicate_runs(rows: &[JournalRow]) -> Vec<JournalViolation> {
    let mut sorted: Vec<_> = rows.iter().filter(|row| row.method != "GET").collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let duplicates = sorted.windows(2).filter(|pair| pair[0].id == pair[1].id);
    duplicates
        .map(|pair| {
            JournalViolation::DuplicateRun(Box::new(pair[0].clone()), Box::new(pair[1].clone()))
        })
        .collect()
}

/// Parses `offset.rank`; a missing or invalid number counts as 0.
fn parse_fence(value: &str) -> (u64, u64) {
    let (offset, rank) = value.split_once('.').unwrap_or((value, "0"));
    (offset.parse().unwrap_or(0), rank.parse().unwrap_or(0))
}
