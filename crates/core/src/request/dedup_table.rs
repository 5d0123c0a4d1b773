//! Deduplication of non-idempotent requests by id.
//!
//! Ids are version 7 UUIDs, so they sort by age: new ones are appended, old ones are dropped from
//! the front. A request whose id is older than the period that the table covers is refused as
//! "may have run" and never run a second time. After a takeover with incomplete state, as when
//! the table of the previous owner is lost, the period begins anew. A previous owner that still runs may
//! hand its table over late; for a short time, requests that only it can decide wait for that.

use uuid::Uuid;

use crate::RequestId;
use crate::connection::{DedupState, RunState, SeenRequest};

/// Age from which an id is dropped, and refused if it arrives, in milliseconds.
pub(super) const ID_WINDOW_MS: u64 = 120_000;

/// Largest difference between the clocks of two hosts that is tolerated, in milliseconds.
pub(super) const CLOCK_SKEW_MS: u64 = 250;

/// Time after a takeover with incomplete state for which requests wait for the rest of it, in
/// milliseconds: several round trips, and the processing of a node that was paused.
pub const DEDUP_WAIT_MS: u64 = 1_000;

/// Non-idempotent requests that an owner saw, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct DedupTable {
    rows: Vec<SeenRequest>,
    /// Requests with older ids may have run without being listed.
    unknown_before_ms: u64,
    /// The same, as long as the state of an earlier owner is missing.
    missing_before_ms: u64,
    /// Until when that state may still arrive.
    awaited_until_ms: u64,
}

/// Decision on a request that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum DedupDecision {
    /// Run it; the table lists it as running.
    Run,
    /// It ran with this response.
    Replay(RunState),
    /// It is running.
    StillRunning,
    /// Whether it ran is unknown.
    Unknown,
    /// Whether it ran is not known yet: an earlier owner may still hand over its state.
    NotKnownYet,
}

/// Unix time in milliseconds at which an id was created; `None` unless it is a version 7 UUID.
pub fn id_unix_ms(id: RequestId) -> Option<u64> {
    let uuid = Uuid::from_u128(id);
    (uuid.get_version_num() == 7).then(|| u64::try_from(id >> 80).unwrap_or(u64::MAX))
}

impl DedupTable {
    /// Creates the table of a new owner from the state that earlier owners handed over.
    ///
    /// `complete` says that the state covers all earlier owners. Otherwise ids created before the
    /// takeover at `now_ms` may have run without being listed.
    pub fn take_over(states: &[DedupState], complete: bool, now_ms: u64) -> Self {
        let mut table = Self::default();
        if !complete {
            table.missing_before_ms = now_ms + CLOCK_SKEW_MS;
            table.awaited_until_ms = now_ms + DEDUP_WAIT_MS;
        }
        for other in states {
            table.merge(other);
        }
        table
    }

    /// Adds state that arrived after the takeover; with it, the state covers all earlier owners.
    pub fn complete(&mut self, states: &[DedupState]) {
        for other in states {
            self.merge(other);
        }
        self.missing_before_ms = 0;
        self.awaited_until_ms = 0;
    }

    fn merge(&mut self, other: &DedupState) {
        self.unknown_before_ms = self.unknown_before_ms.max(other.unknown_before_ms);
        for row in &other.requests {
            match self.find(row.id) {
                Ok(index) if matches!(row.state, RunState::Ran { .. }) => {
                    self.rows[index] = row.clone();
                }
                Ok(_) => {}
                Err(index) => self.rows.insert(index, row.clone()),
            }
        }
    }

    /// Decides on a request; `first_send` says that it certainly was not sent before.
    pub fn begin(&mut self, id: RequestId, first_send: bool, now_ms: u64) -> DedupDecision {
        match self.find(id) {
            Ok(index) => match &self.rows[index].state {
                RunState::Running => DedupDecision::StillRunning,
                RunState::Unknown => DedupDecision::Unknown,
                state @ RunState::Ran { .. } => DedupDecision::Replay(state.clone()),
            },
            Err(_) if !first_send && self.is_not_covered(id, now_ms) => DedupDecision::Unknown,
            Err(_) if !first_send && self.is_missing(id) => match now_ms < self.awaited_until_ms {
                true => DedupDecision::NotKnownYet,
                false => DedupDecision::Unknown,
            },
            Err(index) => {
                self.rows.insert(index, SeenRequest { id, state: RunState::Running });
                DedupDecision::Run
            }
        }
    }

    /// Whether a request with an id that is not listed may have run before.
    fn is_not_covered(&self, id: RequestId, now_ms: u64) -> bool {
        let Some(created_ms) = id_unix_ms(id) else { return true };
        created_ms < self.unknown_before_ms || created_ms + ID_WINDOW_MS < now_ms
    }

    /// Whether an earlier owner whose state is missing may have run a request with this id.
    fn is_missing(&self, id: RequestId) -> bool {
        id_unix_ms(id).is_none_or(|created_ms| created_ms < self.missing_before_ms)
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, id: RequestId, state: RunState) {
        if let Ok(index) = self.find(id) {
            self.rows[index].state = state;
        }
    }

    /// Removes a request that certainly did not run.
    pub fn forget(&mut self, id: RequestId) {
        if let Ok(index) = self.find(id) {
            self.rows.remove(index);
        }
    }

    /// Drops ids older than the window, except of requests that still run.
    pub fn expire(&mut self, now_ms: u64) {
        let oldest = u128::from(now_ms.saturating_sub(ID_WINDOW_MS)) << 80;
        let end = self.rows.partition_point(|row| row.id < oldest);
        if end == 0 {
            return;
        }
        let mut index = 0;
        self.rows.retain(|row| {
            index += 1;
            index > end || row.state == RunState::Running
        });
    }

    /// State to hand over to the next owner, to which the outcome of running requests is unknown.
    pub fn export(&self) -> DedupState {
        let mut requests = self.rows.clone();
        for row in &mut requests {
            if row.state == RunState::Running {
                row.state = RunState::Unknown;
            }
        }
        let unknown_before_ms = self.unknown_before_ms.max(self.missing_before_ms);
        DedupState { requests, unknown_before_ms }
    }

    /// Number of ids listed.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no id is listed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, id: RequestId) -> Result<usize, usize> {
        // Most ids that arrive are newer than all listed ones.
        if self.rows.last().is_none_or(|row| row.id < id) {
            return Err(self.rows.len());
        }
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}
