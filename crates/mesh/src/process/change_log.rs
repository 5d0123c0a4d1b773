//! Numbers the changes of host records, so that each is passed on once to each peer.

/// Most records in one datagram; about 700 bytes.
const MAX_RECORDS: usize = 6;

/// The hosts whose records changed, each with the number of its last change, by rising number.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeLog {
    rows: Vec<(u64, Box<str>)>,
    newest: u64,
}

impl ChangeLog {
    /// Notes that the record of a host changed.
    pub(crate) fn note_change(&mut self, host: &str) {
        self.newest += 1;
        self.rows.retain(|row| *row.1 != *host);
        self.rows.push((self.newest, host.into()));
    }

    /// Returns the hosts that changed after a number, the earliest first and a few at a time, and
    /// the number of the last of them.
    pub(crate) fn after(&self, seen: u64) -> (Vec<&str>, u64) {
        let first = self.rows.partition_point(|row| row.0 <= seen);
        let rows = &self.rows[first..];
        let rows = &rows[..rows.len().min(MAX_RECORDS)];
        let last = rows.last().map_or(self.newest, |row| row.0);
        (rows.iter().map(|row| &*row.1).collect(), last)
    }
}
