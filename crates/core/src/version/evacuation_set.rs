//! Evacuated data centres, as records of the store name them.
//!
//! Each record evacuates a data centre or ends its evacuation. A snapshot of the log replaces the whole
//! set, records change it in the order of their offsets, and a node that reads neither gets the set of
//! another one. Positions decide which of two sets is newer; positions of a later epoch come after all
//! of an earlier one, whose records may be lost.

use serde::{Deserialize, Serialize};

use super::LogPosition;

/// What a record did to the set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationEffect {
    /// The data centre is evacuated from now on.
    Begun,
    /// The data centre is no longer evacuated.
    Ended,
    /// The set already was as the record says.
    Unchanged,
    /// The record is older than the set.
    Outdated,
}

/// Evacuated data centres, and the position up to which the records were read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// End of the log up to which the set is current; `None` before anything was read.
    position: Option<LogPosition>,
    /// Names of the data centres, sorted.
    centres: Vec<Box<str>>,
}

impl EvacuationSet {
    /// Creates the set that a log shows up to a position.
    pub fn new(position: LogPosition, mut centres: Vec<Box<str>>) -> Self {
        centres.sort_unstable();
        centres.dedup();
        Self { position: Some(position), centres }
    }

    /// Returns the end of the log up to which the set is current; `None` before anything was read.
    pub const fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Returns the evacuated data centres, sorted.
    pub fn centres(&self) -> &[Box<str>] {
        &self.centres
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.index_of(data_centre).is_ok()
    }

    /// Replaces the set by one that was read up to a later position; returns whether `other` was later.
    pub fn replace(&mut self, other: &Self) -> bool {
        let later = other.position > self.position;
        if let (true, Some(position)) = (later, other.position) {
            *self = Self::new(position, other.centres.clone());
        }
        later
    }

    /// Whether records from a position on continue the set without a gap.
    pub fn continues_at(&self, from: LogPosition) -> bool {
        self.position.is_some_and(|end| end.epoch == from.epoch && from <= end)
    }

    /// Applies the record at a position, which evacuates a data centre or ends that.
    pub fn apply(
        &mut self,
        position: LogPosition,
        data_centre: &str,
        evacuated: bool,
    ) -> EvacuationEffect {
        if self.position.is_none_or(|end| end.epoch != position.epoch || position < end) {
            return EvacuationEffect::Outdated;
        }
        self.advance(LogPosition::new(position.epoch, position.offset + 1));
        match (self.index_of(data_centre), evacuated) {
            (Err(index), true) => {
                self.centres.insert(index, data_centre.into());
                EvacuationEffect::Begun
            }
            (Ok(index), false) => {
                self.centres.remove(index);
                EvacuationEffect::Ended
            }
            _ => EvacuationEffect::Unchanged,
        }
    }

    /// Notes that the log up to a position of the same epoch holds no other record of an evacuation.
    pub fn advance(&mut self, end: LogPosition) {
        if self.position.is_some_and(|known| known.epoch == end.epoch) {
            self.position = self.position.max(Some(end));
        }
    }

    fn index_of(&self, data_centre: &str) -> Result<usize, usize> {
        self.centres.binary_search_by(|row| (**row).cmp(data_centre))
    }
}
