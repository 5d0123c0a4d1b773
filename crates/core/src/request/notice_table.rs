//! What upstreams of other hosts said about themselves, as this node knows it from their answers.
//!
//! A node that starts again has forgotten what its upstream said. The nodes that passed on such
//! answers repeat it with each request that they forward, so that it is known before the first of
//! them reaches the upstream.
//!
//! A node also tells the others when a limited upstream could start one more request. Until then they
//! refuse requests for which that is too late themselves, and count them for the upstream's node,
//! which measures the demand for its keys.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::UpstreamLimit;
use crate::version::{CellIndex, PriorityClass, UpstreamInstance};

/// Hash of the id and the start of an upstream instance.
pub type InstanceHash = u64;

/// Time for which it is believed when a limited upstream could start one more request. The demand is
/// measured in intervals of this length.
const FORECAST_AGE: Duration = Duration::from_millis(500);

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

#[derive(Debug, Clone)]
struct NoticeRow {
    instance: InstanceHash,
    limit: Option<UpstreamLimit>,
    leaving_since: Option<Instant>,
    /// Arrival of the last answer that said so.
    noted_at: Instant,
    forecast: Option<StartForecast>,
    /// Requests refused since the last answer.
    refused_count: u32,
    /// Refused requests that the upstream's node has not been told of, by cell.
    refused: Vec<(CellIndex, u32)>,
}

/// What upstreams of other hosts said last, sorted by host. Hosts whose upstreams neither name a limit
/// nor leave have no row.
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
            let outdated = |index: &usize| answered && sent_at >= self.rows[*index].1.noted_at;
            if let Some(index) = found.ok().filter(outdated) {
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
        let leaving_for = row.leaving_since.map(|at| now.saturating_duration_since(at));
        Some(ToldNotice {
            instance: row.instance,
            limit: row.limit,
            leaving_for,
            forecast: None,
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
        if let Some(cell) = cell {
            match row.refused.iter().position(|known| known.0 == cell) {
                Some(index) => row.refused[index].1 += 1,
                None if row.refused.len() < MAX_REFUSED_CELLS => row.refused.push((cell, 1)),
                None => return None,
            }
        }
        row.refused_count += 1;
        Some((start + interval * row.refused_count).saturating_duration_since(now))
    }
}
