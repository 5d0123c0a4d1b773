//! What upstreams of other hosts said about themselves, as this node knows it from their answers.
//!
//! A node that starts again has forgotten what its upstream said. The nodes that passed on such
//! answers repeat it with each request that they forward, so that it is known before the first of
//! them reaches the upstream.
//!
//! A node also tells the others when a limited upstream could start one more request. Until then they
//! refuse requests for which that is too late themselves, and count them for the upstream's node,
//! which measures the demand for its keys. An upstream without a limit whose queue is full says so too, for
//! each rank and for a shorter time. Its starts are points in time: a queue that drains is not refused for.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{RequestRank, SlotClaim};
use crate::connection::UpstreamLimit;
use crate::version::{CellIndex, PriorityClass, UpstreamInstance};

/// Hash of the id and the start of an upstream instance.
pub type InstanceHash = u64;

/// Time for which it is believed when a limited upstream could start one more request. The demand is
/// measured in intervals of this length.
const FORECAST_AGE: Duration = Duration::from_millis(500);

/// Time for which it is believed when an upstream without a limit could start one more request. Its queue
/// may drain within that time.
const QUEUE_AGE: Duration = Duration::from_millis(300);

/// Most cells whose refused requests are counted until the next request is forwarded.
const MAX_REFUSED_CELLS: usize = 16;

/// Returns the hash of an instance.
pub fn hash_instance(instance: &UpstreamInstance) -> InstanceHash {
    xxh3_64_with_seed(instance.id.as_bytes(), instance.born_ms)
}

/// What an upstream said, as one node tells another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldNotice {
    /// Instance that said it.
    pub instance: InstanceHash,
    /// Limit that it named.
    pub limit: Option<UpstreamLimit>,
    /// Time for which the teller has known that it leaves.
    pub leaving_for: Option<Duration>,
    /// When it could start one more request, as its own node tells.
    pub forecast: Option<StartForecast>,
    /// When it could start one more request although it is full, as its own node tells.
    pub queue: Option<QueueForecast>,
    /// Requests for its cells that the teller has refused since it last told, in any order.
    pub refused: Vec<(CellIndex, u32)>,
}

/// When a limited upstream could start one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartForecast {
    /// Time until then, by priority class.
    pub start_in: [Duration; 3],
    /// Mean time of a run.
    pub run_time: Duration,
}

/// When an upstream without a limit whose slots are taken could start one more request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueForecast {
    /// Time until then for a rank and those after it, sorted by rank. Ranks before the first wait for
    /// nothing.
    pub start_in: Vec<(RequestRank, Duration)>,
    /// The same for requests of callers that can only be late.
    pub late_in: Vec<(RequestRank, Duration)>,
    /// Mean time of a run of the route with the shortest ones.
    pub run_time: Duration,
    /// Time between two starts.
    pub spacing: Duration,
}

impl QueueForecast {
    /// Time until one more request with this claim could start. Returns may go before the first tries of
    /// their rank.
    fn start_in(&self, claim: &SlotClaim, now: Instant) -> Duration {
        let late = claim.rank != RequestRank::CALL && claim.timely_start(self.run_time) < now;
        let rows = if late { &self.late_in } else { &self.start_in };
        let returns = claim.returned_from.is_some();
        let rank = if returns { claim.rank.next_urgent() } else { claim.rank };
        let index = rows.partition_point(|row| row.0 <= rank);
        index.checked_sub(1).map_or(Duration::ZERO, |index| rows[index].1)
    }
}

#[derive(Debug, Clone)]
struct NoticeRow {
    instance: InstanceHash,
    limit: Option<UpstreamLimit>,
    leaving_since: Option<Instant>,
    /// Arrival of the last answer that said so.
    noted_at: Instant,
    forecast: Option<StartForecast>,
    queue: Option<QueueForecast>,
    /// Requests refused since the last answer.
    refused_count: u32,
    /// Refused requests that the upstream's node has not been told of, by cell.
    refused: Vec<(CellIndex, u32)>,
}

impl NoticeRow {
    /// Whether the upstream names a limit or leaves, which only its answers end.
    const fn is_lasting(&self) -> bool {
        self.limit.is_some() || self.leaving_since.is_some()
    }

    /// Counts a refused request; `None` if the cells that are counted are too many.
    fn count_refused(&mut self, cell: Option<CellIndex>) -> Option<()> {
        if let Some(cell) = cell {
            match self.refused.iter().position(|known| known.0 == cell) {
                Some(index) => self.refused[index].1 += 1,
                None if self.refused.len() < MAX_REFUSED_CELLS => self.refused.push((cell, 1)),
                None => return None,
            }
        }
        self.refused_count += 1;
        Some(())
    }
}

/// What upstreams of other hosts said last, sorted by host. Hosts whose upstreams neither name a limit, nor
/// leave, nor are full have no row, once their nodes have been told of what was refused.
#[derive(Debug, Default)]
pub struct NoticeTable {
    rows: Vec<(Box<str>, NoticeRow)>,
}

impl NoticeTable {
    fn find(&self, host: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.0).cmp(host))
    }

    /// Notes what the response of a host's node told, to a request that was forwarded at `sent_at`;
    /// `answered` says whether it is an answer of the upstream.
    pub fn note(
        &mut self,
        host: &str,
        told: Option<ToldNotice>,
        answered: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let found = self.find(host);
        let Some(told) = told else {
            // A node that has just started may not know yet what its upstream said.
            let Ok(index) = found else { return };
            let row = &mut self.rows[index].1;
            row.queue = None;
            if !row.is_lasting() && !row.refused.is_empty() {
                return;
            }
            if !row.is_lasting() || answered && sent_at >= row.noted_at {
                self.rows.remove(index);
            }
            return;
        };
        let known = found.ok().map(|index| &mut self.rows[index].1);
        let known = known.filter(|row| row.instance == told.instance);
        let (since, refused) = known.map_or((None, Vec::new()), |row| {
            (row.leaving_since, std::mem::take(&mut row.refused))
        });
        let row = NoticeRow {
            instance: told.instance,
            limit: told.limit,
            leaving_since: since.or(told.leaving_for.map(|_| now)),
            noted_at: now,
            forecast: told.forecast,
            queue: told.queue,
            refused_count: 0,
            refused,
        };
        match found {
            Ok(index) => self.rows[index].1 = row,
            Err(index) => self.rows.insert(index, (host.into(), row)),
        }
    }

    /// Returns what to tell the node of a host about its upstream.
    pub fn tell(&mut self, host: &str, now: Instant) -> Option<ToldNotice> {
        let index = self.find(host).ok()?;
        let row = &mut self.rows[index].1;
        if row.queue.is_some() && !row.is_lasting() && row.refused.is_empty() {
            return None;
        }
        let leaving_for = row.leaving_since.map(|at| now.saturating_duration_since(at));
        Some(ToldNotice {
            instance: row.instance,
            limit: row.limit,
            leaving_for,
            forecast: None,
            queue: None,
            refused: std::mem::take(&mut row.refused),
        })
    }

    /// Returns after which time the caller may return if the limit of a host's upstream leaves no
    /// turn for a request in time: it has to start by `latest_start`, a function of the mean time of a
    /// run.
    pub fn refuse(
        &mut self,
        host: &str,
        class: PriorityClass,
        cell: Option<CellIndex>,
        latest_start: impl FnOnce(Duration) -> Instant,
        now: Instant,
    ) -> Option<Duration> {
        let index = self.find(host).ok()?;
        let row = &mut self.rows[index].1;
        let interval = row.limit?.interval();
        let forecast = row.forecast.filter(|_| now < row.noted_at + FORECAST_AGE)?;
        let start = row.noted_at + forecast.start_in[class as usize];
        if start <= latest_start(forecast.run_time) {
            return None;
        }
        row.count_refused(cell)?;
        Some((start + interval * row.refused_count).saturating_duration_since(now))
    }

    /// Whether the upstream of a host is known to have a limit.
    pub fn is_limited(&self, host: &str) -> bool {
        self.find(host).is_ok_and(|index| self.rows[index].1.limit.is_some())
    }

    /// Whether the upstream of a host is known to be so full that a request with this claim cannot start in
    /// time.
    pub fn is_full(&self, host: &str, claim: &SlotClaim, now: Instant) -> bool {
        let Ok(index) = self.find(host) else { return false };
        let row = &self.rows[index].1;
        let queue = row.queue.as_ref().filter(|_| now < row.noted_at + QUEUE_AGE);
        queue.is_some_and(|queue| {
            let start = row.noted_at + queue.start_in(claim, now);
            start > claim.latest_start(queue.run_time, queue.run_time)
        })
    }

    /// Refuses a request if [`Self::is_full`] says so, and returns after which time its caller may return.
    pub fn refuse_full(
        &mut self,
        host: &str,
        claim: &SlotClaim,
        cell: Option<CellIndex>,
        now: Instant,
    ) -> Option<Duration> {
        if !self.is_full(host, claim, now) {
            return None;
        }
        let index = self.find(host).ok()?;
        let row = &mut self.rows[index].1;
        let queue = row.queue.as_ref()?;
        let (start, spacing) = (row.noted_at + queue.start_in(claim, now), queue.spacing);
        row.count_refused(cell)?;
        let place = start + spacing * row.refused_count;
        Some(place.saturating_duration_since(now).min(claim.longest_return(now)))
    }
}
