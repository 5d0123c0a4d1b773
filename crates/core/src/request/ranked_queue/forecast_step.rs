//! What other nodes are told of the queue.

use std::time::{Duration, Instant};

use super::{PlannedRow, RankedQueue};
use crate::request::{QueueForecast, RequestRank};

/// Time for which a queue that refused a claim counts as full. Other nodes believe it for as long.
const FULL_AGE: Duration = Duration::from_millis(300);

impl RankedQueue {
    /// Returns when a first try of a rank would be expected to start if it came now.
    pub fn expected_start_of(&self, rank: RequestRank, now: Instant) -> Instant {
        self.start_behind(&self.plan(now), (u8::from(rank != RequestRank::CALL), rank), now)
    }

    /// Returns when a claim would start behind those planned for its group and rank, and those before.
    fn start_behind(
        &self,
        planned: &[PlannedRow],
        group: (u8, RequestRank),
        now: Instant,
    ) -> Instant {
        let before =
            planned.iter().filter(|row| (row.place.0, row.place.1) <= group && !row.is_lost());
        let (mut work, mut ahead) = (Duration::ZERO, 0);
        for row in before {
            work += self.times.mean(self.waiting[row.index].claim.route);
            ahead += 1;
        }
        self.expected_start(work, ahead, self.shares.part_above(group.1), self.slowness(now), now)
    }

    /// Returns when one more request of each rank could start; `None` unless all slots are taken and a claim
    /// was refused lately.
    pub fn forecast(&self, now: Instant) -> Option<QueueForecast> {
        let is_full = self.refused_at.is_some_and(|at| now < at + FULL_AGE) && !self.has_slot();
        let mean = self.times.mean_of_all().filter(|_| is_full)?;
        let planned = self.plan(now);
        let waits = |late: bool| {
            let mut waits: Vec<(RequestRank, Duration)> = Vec::new();
            for number in (0..).take(RequestRank::COUNT) {
                let rank = RequestRank::from_number(number);
                let group = u8::from(rank != RequestRank::CALL) + u8::from(late);
                let start = self.start_behind(&planned, (group, rank), now);
                let wait = start.saturating_duration_since(now);
                if waits.last().map_or(Duration::ZERO, |row| row.1) != wait {
                    waits.push((rank, wait));
                }
            }
            waits
        };
        let (start_in, late_in) = (waits(false), waits(true));
        let run_time = self.times.shortest_mean();
        Some(QueueForecast { start_in, late_in, run_time, spacing: mean / self.slots })
    }
}
