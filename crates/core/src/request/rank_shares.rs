//! Starts at an upstream by rank: what part of them more urgent ranks get, and which rank has waited for
//! too many of them.

use super::RequestRank;

/// A rank that waits gets at least one start in this many.
const STARTS_PER_RANK: u32 = 16;

/// Weight of the newest start in the parts.
const START_WEIGHT: f64 = 1.0 / 64.0;

/// Part of the starts that more urgent ranks are counted with at most, because it may have been another before.
const MAX_PART_ABOVE: f64 = 0.75;

/// Starts at an upstream by rank.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RankShares {
    /// Part of the last starts, by rank.
    parts: [f64; RequestRank::COUNT],
    /// Starts of others since the rank waits or last started.
    passed: [u32; RequestRank::COUNT],
}

impl RankShares {
    /// Counts a start of a rank while the ranks in `waits` wait.
    pub(super) fn count_start(&mut self, rank: RequestRank, waits: &[bool; RequestRank::COUNT]) {
        for (number, part) in self.parts.iter_mut().enumerate() {
            let started = number == rank.number();
            *part += (f64::from(u8::from(started)) - *part) * START_WEIGHT;
            let passed = &mut self.passed[number];
            *passed = if started || !waits[number] { 0 } else { *passed + 1 };
        }
    }

    /// Part of the starts that ranks before this one get.
    pub(super) fn part_above(&self, rank: RequestRank) -> f64 {
        self.parts[..rank.number()].iter().sum::<f64>().min(MAX_PART_ABOVE)
    }

    /// Returns the rank that has to get the next start, so that none waits for more than 15 starts of
    /// others: the one with the fewest left, once as many ranks as starts are left within any number.
    pub(super) fn due_rank(&self, waits: &[bool; RequestRank::COUNT]) -> Option<usize> {
        let waiting = (0..RequestRank::COUNT).filter(|number| waits[*number]);
        let mut left: Vec<(u32, usize)> = waiting
            .map(|number| (STARTS_PER_RANK.saturating_sub(self.passed[number]).max(1), number))
            .collect();
        left.sort_unstable();
        let is_tight = left.iter().zip(1..).any(|(row, count)| count >= row.0);
        left.first().filter(|_| is_tight).map(|row| row.1)
    }
}
