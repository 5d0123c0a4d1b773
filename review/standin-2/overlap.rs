//! Watches which keys two targets hold at the same time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::target::Target;

/// Keys between two that are watched.
pub const KEY_STEP: u16 = 64;

/// Keys that two targets hold.
#[derive(Default)]
pub struct Overlap {
    /// Key, the two targets, and since when both hold it.
    open: Vec<(u16, usize, usize, Instant)>,
    pub longest: Duration,
    pub longest_row: Option<(u16, usize, usize)>,
    /// Most watched keys that two targets held at one moment.
    pub most: usize,
    /// When two targets held a key first, and last.
    pub first_at: Option<Instant>,
    pub last_at: Option<Instant>,
}

impl Overlap {
    /// Looks at what the targets hold now.
    pub fn look(&mut self, targets: &[Arc<Target>]) {
        let now = Instant::now();
        let mut open = Vec::new();
        for key in (0..=u16::MAX).step_by(usize::from(KEY_STEP)) {
            let holds = |row: &(usize, &Arc<Target>)| row.1.fence(key) > 0;
            let holders: Vec<usize> =
                targets.iter().enumerate().filter(holds).map(|row| row.0).collect();
            if let [one, other, ..] = holders[..] {
                let known = self.open.iter().find(|row| (row.0, row.1, row.2) == (key, one, other));
                let since = known.map_or(now, |row| row.3);
                open.push((key, one, other, since));
                self.first_at.get_or_insert(now);
                self.last_at = Some(now);
                if now - since > self.longest {
                    (self.longest, self.longest_row) = (now - since, Some((key, one, other)));
                }
            }
        }
        self.most = self.most.max(open.len());
        self.open = open;
    }
}
