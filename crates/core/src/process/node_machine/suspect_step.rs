//! Requests suspected of crashing upstreams.

use super::NodeMachine;
use crate::connection::SuspectRow;
use crate::process::NodeAction;

impl NodeMachine {
    /// Requests suspected of crashing upstreams, reported here or by peers.
    pub fn suspects(&self) -> &[SuspectRow] {
        &self.suspects
    }

    /// Adds a request that was in flight when the upstream crashed to the suspects.
    pub fn report_suspect(&mut self, row: &SuspectRow) {
        self.merge_suspects(std::slice::from_ref(row));
    }

    /// Drops suspects whose suspicion ended by `unix_ms`, in milliseconds of Unix time.
    pub fn expire_suspects(&mut self, unix_ms: u64) {
        self.suspects.retain(|row| row.until_ms > unix_ms);
    }

    pub(super) fn merge_suspects(&mut self, rows: &[SuspectRow]) {
        let mut changed = Vec::new();
        for row in rows {
            if self.merge_suspect(row) {
                changed.push(row.clone());
            }
        }
        if !changed.is_empty() {
            self.actions.push(NodeAction::Suspects { rows: changed });
        }
    }

    fn merge_suspect(&mut self, row: &SuspectRow) -> bool {
        match self.suspects.binary_search_by_key(&row.fingerprint, |known| known.fingerprint) {
            Ok(index) => {
                let known = &mut self.suspects[index];
                let count = known.crashes.len();
                known.crashes.extend(&row.crashes);
                known.crashes.sort_unstable();
                known.crashes.dedup();
                known.until_ms = known.until_ms.max(row.until_ms);
                known.crashes.len() > count
            }
            Err(index) => {
                self.suspects.insert(index, row.clone());
                true
            }
        }
    }
}
