//! A simulated upstream that holds keys under fenced grants.
//!
//! It releases key by key: a key on which a request runs stays held until the request has ended, while
//! its neighbours are free at once.

use std::time::{Duration, Instant};

use firspindle_core::connection::{FreedRow, GrantReply, HeldRow, UpstreamReport};
use firspindle_core::version::{
    CELL_KEYS, CELLS, UpstreamInstance, UpstreamState, cell_of_key, keys_of_cells,
};

/// Time after which the upstream ignores the reply to a heartbeat.
const REPLY_TIMEOUT_MS: u64 = 1_000;

/// One in this number of released cells has a key on which a request runs.
const IDLE_CELLS: usize = 4;

/// Longest time for which a request goes on after its key was left out of a reply, in milliseconds.
const MAX_WORK_MS: usize = 3_500;

/// Key that was left out of a reply while a request runs on it.
pub struct BusyKey {
    pub key: u16,
    fence: u64,
    /// When the request ends.
    ends_at: Instant,
    /// When the hold of the key ends.
    until: Option<Instant>,
}

/// Keys that were released.
pub struct ReleasedRow {
    row: FreedRow,
    /// When the first heartbeat was sent that reported them.
    reported_at: Option<Instant>,
}

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
    /// Keys still to be released.
    pub busy: Vec<BusyKey>,
    /// Released keys whose report was not acknowledged yet.
    pub freed: Vec<ReleasedRow>,
    sequence: u64,
    /// When the newest heartbeat was sent, until a reply arrives.
    pub awaits_reply: Option<Instant>,
    /// When the heartbeat was sent whose reply was applied last.
    answered: Option<Instant>,
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
            busy: Vec::new(),
            freed: Vec::new(),
            sequence: 0,
            awaits_reply: None,
            answered: None,
        }
    }

    /// Drops the holds once they have ended, and releases keys whose request has ended.
    pub fn expire(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.held.fill(0);
            self.until = None;
        }
        self.busy.retain(|row| row.until.is_some_and(|until| now < until));
        let ended = self.busy.extract_if(.., |row| now >= row.ends_at);
        self.freed.extend(ended.map(|row| released(row.key, row.key)));
    }

    /// Returns the next heartbeat.
    pub fn report(&mut self, service: &str, now: Instant) -> UpstreamReport {
        self.sequence += 1;
        self.awaits_reply = Some(now);
        let mut holds: Vec<HeldRow> = Vec::new();
        for (cell, fence) in self.held.iter().enumerate().filter(|row| *row.1 > 0) {
            let (first, last) = keys_of_cells(cell, cell);
            match holds.last_mut() {
                Some(row) if row.fence == *fence && row.last + 1 == first => row.last = last,
                _ => holds.push(HeldRow { first, last, fence: *fence }),
            }
        }
        holds.extend(self.busy.iter().map(|row| HeldRow {
            first: row.key,
            last: row.key,
            fence: row.fence,
        }));
        for row in &mut self.freed {
            row.reported_at.get_or_insert(now);
        }
        UpstreamReport {
            instance: self.instance.clone(),
            service: service.into(),
            slots: 9,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
            sequence: self.sequence,
            lists_keys: true,
            holds,
            freed: self.freed.iter().map(|row| row.row.clone()).collect(),
        }
    }

    /// Applies the reply to a heartbeat that was sent at `sent_at`; one without grants renews nothing. A
    /// reply that a later one has overtaken is ignored.
    pub fn apply_reply(&mut self, reply: Option<&GrantReply>, sent_at: Instant, now: Instant) {
        let late = now.duration_since(sent_at).as_millis() > u128::from(REPLY_TIMEOUT_MS);
        if late || self.answered.is_some_and(|answered| sent_at < answered) {
            return;
        }
        self.answered = Some(sent_at);
        self.awaits_reply.take_if(|at| *at <= sent_at);
        self.freed.retain(|row| row.reported_at.is_none_or(|at| at > sent_at));
        let Some(reply) = reply else { return };
        let mut granted = vec![0; CELLS];
        for row in &reply.rows {
            for cell in &mut granted[cell_of_key(row.first)..=cell_of_key(row.last)] {
                *cell = row.fence;
            }
        }
        for (cell, fence) in granted.into_iter().enumerate() {
            if fence == 0 && self.held[cell] > 0 {
                self.release(cell, now);
            } else if fence > 0 && fence >= self.seen[cell] {
                self.held[cell] = fence;
                self.seen[cell] = fence;
                self.busy.retain(|row| cell_of_key(row.key) != cell);
            }
        }
        let hold = if self.slow { reply.hold * 102 / 100 } else { reply.hold };
        self.until = Some(sent_at + hold);
    }

    /// Releases a cell, but for the key on which a request runs.
    fn release(&mut self, cell: usize, now: Instant) {
        let fence = std::mem::take(&mut self.held[cell]);
        let (first, last) = keys_of_cells(cell, cell);
        let draw = (cell + usize::try_from(self.sequence).unwrap_or(0)).wrapping_mul(0x9e37_79b9);
        if !(draw >> 7).is_multiple_of(IDLE_CELLS) {
            return self.freed.push(released(first, last));
        }
        let key = first + u16::try_from((draw >> 3) % CELL_KEYS).unwrap_or(0);
        let work = u64::try_from((draw >> 5) % MAX_WORK_MS).unwrap_or(0);
        let ends_at = now + Duration::from_millis(work);
        self.busy.push(BusyKey { key, fence, ends_at, until: self.until });
        if first < key {
            self.freed.push(released(first, key - 1));
        }
        if key < last {
            self.freed.push(released(key + 1, last));
        }
    }
}

fn released(first: u16, last: u16) -> ReleasedRow {
    let row = FreedRow { first, last, handover: format!("t{first}").into() };
    ReleasedRow { row, reported_at: None }
}
