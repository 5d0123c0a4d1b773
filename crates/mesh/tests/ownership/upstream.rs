//! A simulated upstream that holds keys under fenced grants.

use std::time::Instant;

use firspindle_core::connection::{FreedRow, GrantReply, HeldRow, UpstreamReport};
use firspindle_core::version::{
    CELLS, UpstreamInstance, UpstreamState, cell_of_key, keys_of_cells,
};

/// Time after which the upstream ignores the reply to a heartbeat.
const REPLY_TIMEOUT_MS: u64 = 1_000;

/// One instance of an upstream.
pub struct Upstream {
    pub instance: UpstreamInstance,
    pub up: bool,
    /// Whether its clock runs 2 % slow, so that its holds last longer.
    slow: bool,
    /// Fence under which each cell is held; 0 for none.
    pub held: Vec<u64>,
    /// Highest fence seen on each cell.
    seen: Vec<u64>,
    /// When all holds end, on the simulation's clock.
    until: Option<Instant>,
    /// Cells released since the last heartbeat.
    freed: Vec<usize>,
    sequence: u64,
}

impl Upstream {
    pub fn new(instance: UpstreamInstance, slow: bool) -> Self {
        Self {
            instance,
            up: true,
            slow,
            held: vec![0; CELLS],
            seen: vec![0; CELLS],
            until: None,
            freed: Vec::new(),
            sequence: 0,
        }
    }

    /// Drops the holds once they have ended.
    pub fn expire(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.held.fill(0);
            self.until = None;
        }
    }

    /// Returns the next heartbeat.
    pub fn report(&mut self, service: &str) -> UpstreamReport {
        self.sequence += 1;
        let mut holds: Vec<HeldRow> = Vec::new();
        for (cell, fence) in self.held.iter().enumerate().filter(|row| *row.1 > 0) {
            let (first, last) = keys_of_cells(cell, cell);
            match holds.last_mut() {
                Some(row) if row.fence == *fence && row.last + 1 == first => row.last = last,
                _ => holds.push(HeldRow { first, last, fence: *fence }),
            }
        }
        let freed = std::mem::take(&mut self.freed).into_iter().map(|cell| {
            let (first, last) = keys_of_cells(cell, cell);
            FreedRow { first, last, handover: format!("t{cell}").into() }
        });
        UpstreamReport {
            instance: self.instance.clone(),
            service: service.into(),
            slots: 9,
            state: UpstreamState::Ready,
            cold_remaining: std::time::Duration::ZERO,
            sequence: self.sequence,
            lists_keys: true,
            holds,
            freed: freed.collect(),
        }
    }

    /// Applies the reply to a heartbeat that was sent at `sent_at`.
    pub fn apply_reply(&mut self, reply: &GrantReply, sent_at: Instant, now: Instant) {
        if now.duration_since(sent_at).as_millis() > u128::from(REPLY_TIMEOUT_MS) {
            return;
        }
        let mut granted = vec![0; CELLS];
        for row in &reply.rows {
            for cell in &mut granted[cell_of_key(row.first)..=cell_of_key(row.last)] {
                *cell = row.fence;
            }
        }
        for (cell, fence) in granted.into_iter().enumerate() {
            if fence == 0 && self.held[cell] > 0 {
                self.held[cell] = 0;
                self.freed.push(cell);
            } else if fence > 0 && fence >= self.seen[cell] {
                self.held[cell] = fence;
                self.seen[cell] = fence;
            }
        }
        let hold = if self.slow { reply.hold * 102 / 100 } else { reply.hold };
        self.until = Some(sent_at + hold);
    }
}
