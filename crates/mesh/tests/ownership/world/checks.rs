//! What no history may show.

use firspindle_core::version::{CELLS, cell_of_key};

use super::World;
use super::restores::Violation;

/// Who held a cell. Instances are numbers from 1; 0 is none.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CellRow {
    /// Highest fence so far, and the instance that held the cell under it.
    highest: (u64, u64),
    /// Highest fence of any other instance.
    highest_other: u64,
    /// When it was last seen held, in milliseconds.
    pub(super) held_at: u64,
}

impl CellRow {
    /// Notes that an instance holds the cell; returns the fence of another one that its own is not above,
    /// if any.
    fn note(&mut self, instance: u64, fence: u64) -> Option<u64> {
        let (highest, owner) = self.highest;
        let other = if owner == instance { self.highest_other } else { highest };
        if owner == instance {
            self.highest.0 = highest.max(fence);
        } else if fence > highest {
            self.highest_other = highest;
            self.highest = (fence, instance);
        } else {
            self.highest_other = self.highest_other.max(fence);
        }
        (fence <= other).then_some(other)
    }
}

impl World {
    /// Returns violations if two upstreams hold the same cell, or one holds it under a fence that is not
    /// above that of another one before.
    pub(super) fn check_holders(&mut self) -> Vec<Violation> {
        let shared = self.check_single_holder().err().map(Violation::TwoHolders);
        let mut found: Vec<_> = shared.into_iter().collect();
        let mut not_above = None;
        let now_ms = self.now_ms;
        let model = self.restores.as_mut().expect("the store is restored");
        for (host, row) in self.hosts.iter().enumerate() {
            let instance = row.instance_number;
            let Some(upstream) = row.upstream.as_ref().filter(|row| row.up) else { continue };
            for (cell, fence) in upstream.held.iter().enumerate().filter(|row| *row.1 > 0) {
                let row = &mut model.cells[cell];
                row.held_at = now_ms;
                if let Some(other) = row.note(instance, *fence) {
                    not_above.get_or_insert_with(|| {
                        format!(
                            "{now_ms} ms: host {host} has cell {cell} under {fence}, another had it under {other}"
                        )
                    });
                }
            }
        }
        found.extend(not_above.map(Violation::FenceNotAbove));
        found
    }

    /// Returns a violation if a process has an older manifest in force than before.
    pub(super) fn check_manifest(&mut self, host: usize) -> Option<Violation> {
        let row = &mut self.hosts[host];
        let version = row.state.as_ref()?.mark().manifest;
        if version < row.manifest {
            let text =
                format!("{} ms: host {host} from {} to {version}", self.now_ms, row.manifest);
            return Some(Violation::ManifestWentBack(text));
        }
        row.manifest = version;
        None
    }

    /// Fails if two upstreams hold the same cell, or one holds a cell of which another is still at work on
    /// a key before the hold of that key has ended.
    pub(super) fn check_single_holder(&mut self) -> Result<(), String> {
        let now = self.now();
        let mut holder = vec![usize::MAX; CELLS];
        for (host, row) in self.hosts.iter_mut().enumerate() {
            let Some(upstream) = row.upstream.as_mut().filter(|row| row.up) else { continue };
            upstream.expire(now);
            for (cell, fence) in upstream.held.iter().enumerate().filter(|row| *row.1 > 0) {
                if holder[cell] != usize::MAX {
                    let other = holder[cell];
                    return Err(format!(
                        "{} ms: cell {cell} is held by {other} and {host} (fence {fence})",
                        self.now_ms
                    ));
                }
                holder[cell] = host;
            }
        }
        for (host, row) in self.hosts.iter().enumerate() {
            let Some(upstream) = row.upstream.as_ref().filter(|row| row.up) else { continue };
            for cell in upstream.busy.iter().map(|row| cell_of_key(row.key)) {
                let other = holder[cell];
                if other != usize::MAX && other != host {
                    return Err(format!(
                        "{} ms: cell {cell} is held by {other} while {host} is at work on a key of it",
                        self.now_ms
                    ));
                }
            }
        }
        Ok(())
    }
}
