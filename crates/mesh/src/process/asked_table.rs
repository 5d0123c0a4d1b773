//! Which nodes were asked for a datagram and have not answered.

use std::time::{Duration, Instant};

/// Time after which a node that was asked and did not answer counts as silent: three rounds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Hosts that were asked and have sent nothing since, sorted by host, with the time of the first
/// question.
#[derive(Debug, Clone, Default)]
pub(crate) struct AskedTable {
    rows: Vec<(Box<str>, Instant)>,
}

impl AskedTable {
    fn find(&self, host: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.0).cmp(host))
    }

    /// Notes that a host is asked.
    pub(crate) fn note_question(&mut self, host: &str, now: Instant) {
        if let Err(index) = self.find(host) {
            self.rows.insert(index, (host.into(), now));
        }
    }

    /// Notes that a host sent a datagram.
    pub(crate) fn note_answer(&mut self, host: &str) {
        if let Ok(index) = self.find(host) {
            self.rows.remove(index);
        }
    }

    /// Whether a host was asked and did not answer in time.
    pub(crate) fn is_silent(&self, host: &str, now: Instant) -> bool {
        self.find(host).is_ok_and(|index| now >= self.rows[index].1 + ANSWER_TIMEOUT)
    }
}
