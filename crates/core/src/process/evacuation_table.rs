//! Evacuated data centres with the times that follow from them.
//!
//! The store's acknowledgement of a record starts the time within which requests may still reach the
//! data centre. A node learns of the record later, but it knows a time at which the store did not have
//! it yet, and counts from there.

use std::time::{Duration, Instant};

use crate::version::{EvacuationEffect, EvacuationSet, LogPosition};

/// Part of the time for an evacuation that is reserved for requests already on their way to the upstream
/// and for a read that begins shortly after the record was written.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Part of the time for an evacuation in which no plan moves cells any more: two heartbeats of the old
/// and the new holder.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Most plans that move the cells of an evacuated data centre.
const PLANS: u32 = 4;

/// Longest time between the record and the start of the read that brings it, for a node that the store
/// serves: one that hears of no read for 1.6 s reads itself.
const READ_LAG: Duration = Duration::from_secs(2);

/// Time between a record and the planner's knowledge of it that shortens no step: a read that waits at the
/// store began up to that long before the record.
const READ_WAIT: Duration = Duration::from_millis(900);

/// When a node learned what the log holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LearnedAt {
    /// Start of the read, or of the fetch from a peer.
    pub read_at: Instant,
    /// A time at which the log held nothing that the node did not know.
    pub known_at: Option<Instant>,
}

impl LearnedAt {
    /// Returns a time before which records that are new to the node were not in the log.
    fn since(self) -> Instant {
        let earliest = self.read_at.checked_sub(READ_LAG).unwrap_or(self.read_at);
        // A read may wait at the store for 3 s, and peers say meanwhile that there is no record yet.
        self.known_at.map_or(earliest, |at| at.max(earliest))
    }
}

/// An evacuated data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EvacuationRow {
    data_centre: Box<str>,
    /// A time before the evacuation began; `None` if it was found at the node's start.
    since: Option<Instant>,
    /// When the moves of its cells begin; `None` if they are due at once.
    moves_from: Option<Instant>,
    /// Time after which no request is sent to its upstreams.
    closes_at: Instant,
}

/// Evacuated data centres with the times that follow from them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationTable {
    set: EvacuationSet,
    /// Time for an evacuation.
    limit: Duration,
    /// One row for each data centre of the set, sorted.
    rows: Vec<EvacuationRow>,
}

impl EvacuationTable {
    /// Creates a table that knows nothing yet, for evacuations that may take `limit`.
    pub fn new(limit: Duration) -> Self {
        Self { set: EvacuationSet::default(), limit, rows: Vec::new() }
    }

    /// Returns the evacuated data centres.
    pub const fn set(&self) -> &EvacuationSet {
        &self.set
    }

    /// Replaces the set by a later one; returns whether `set` was later.
    pub fn replace(&mut self, set: &EvacuationSet, learned: LearnedAt, now: Instant) -> bool {
        let first = self.set.position().is_none();
        let later = self.set.replace(set);
        self.update_rows(first, learned, now);
        later
    }

    /// Applies the records of a log from `from` up to `end` and returns the effect of each: its position,
    /// a data centre, and whether that is evacuated. Records of a log that were not read from its start
    /// or from the set's position on have no effect.
    pub fn apply<'a>(
        &mut self,
        from: LogPosition,
        records: impl Iterator<Item = (LogPosition, &'a str, bool)>,
        end: LogPosition,
        learned: LearnedAt,
        now: Instant,
    ) -> Vec<EvacuationEffect> {
        let first = self.set.position().is_none();
        if from.offset == 0 {
            self.set.replace(&EvacuationSet::new(from, Vec::new()));
        }
        if !self.set.continues_at(from) {
            return Vec::new();
        }
        let effects = records.map(|(at, name, evacuated)| self.set.apply(at, name, evacuated));
        let effects = effects.collect();
        self.set.advance(end);
        self.update_rows(first, learned, now);
        effects
    }

    /// Adds and removes rows until they are those of the set. What was found before anything else was
    /// known may have begun long ago.
    fn update_rows(&mut self, first: bool, learned: LearnedAt, now: Instant) {
        let set = &self.set;
        self.rows.retain(|row| set.contains(&row.data_centre));
        let since = (!first).then(|| learned.since());
        let closes_at = since.map_or(now, |at| at + self.limit.saturating_sub(CLOSE_MARGIN));
        let moves_from = since.map(|at| now.min(at + READ_WAIT));
        for name in set.centres() {
            if let Err(index) = self.rows.binary_search_by(|row| row.data_centre.cmp(name)) {
                let row = EvacuationRow { data_centre: name.clone(), since, moves_from, closes_at };
                self.rows.insert(index, row);
            }
        }
    }

    fn row(&self, data_centre: &str) -> Option<&EvacuationRow> {
        let index = self.rows.binary_search_by(|row| (*row.data_centre).cmp(data_centre)).ok()?;
        Some(&self.rows[index])
    }

    /// Returns the time after which no request is sent to the upstreams of a data centre; `None` if it is
    /// not evacuated.
    pub fn closes_at(&self, data_centre: &str) -> Option<Instant> {
        self.row(data_centre).map(|row| row.closes_at)
    }

    /// Returns a time before the evacuation of a data centre began, if that is known.
    pub fn begun_at(&self, data_centre: &str) -> Option<Instant> {
        self.row(data_centre)?.since
    }

    /// Returns how many of `count` upstreams in an evacuated data centre may keep their cells in a plan
    /// that is computed now: a part less from plan to plan, and none after the last.
    pub fn kept_upstreams(&self, data_centre: &str, count: usize, now: Instant) -> usize {
        let spacing = self.limit.saturating_sub(HANDOVER_TIME) / (PLANS + 1);
        let moves_from = self.row(data_centre).and_then(|row| row.moves_from);
        let Some(moves_from) = moves_from else { return 0 };
        let passed = now.saturating_duration_since(moves_from).as_millis();
        let Some(steps) = passed.checked_div(spacing.as_millis()) else { return 0 };
        let left = u128::from(PLANS - 1).saturating_sub(steps);
        count * usize::try_from(left).unwrap_or(0) / PLANS as usize
    }
}
