//! Queue before an upstream, ordered by rank and by what a request can still achieve.
//!
//! As many requests run as the upstream has slots. Calls of upstreams go first, because their parents hold
//! slots until they are answered. Requests of callers that can still meet their objective follow by rank:
//! within a rank first callers that return when they were told to, then first tries, then callers that
//! returned early, each by latest start. Those that can only be late get what the others leave. Each rank that
//! waits gets one start in 16.
//!
//! The expected start of a claim is the time in which the slots run what goes before it, by the run times of
//! the routes, and what more urgent ranks send meanwhile. A claim whose expected start is after its latest
//! start is refused on arrival, or dropped once that becomes so. If the upstream limits the rate of requests,
//! they also start no faster than that.

mod forecast_step;

use std::time::{Duration, Instant};

use super::rank_shares::RankShares;
use super::{
    ClaimDecision, ClaimForecast, ClaimReason, ClaimRefusal, ClaimTicket, RateMeter, RequestRank,
    ReturnSchedule, RunTimes, SettledClaim, SlotClaim,
};
use crate::connection::UpstreamLimit;
use crate::version::RouteId;

/// Time over which the returns of callers that a limited upstream cannot serve are spread.
const RETURN_SPREAD: Duration = Duration::from_secs(4);

/// Interval at which waiting claims are looked at again: run times may rise without an event.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct RunningRow {
    ticket: ClaimTicket,
    route: RouteId,
    started_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRow {
    ticket: ClaimTicket,
    claim: SlotClaim,
    /// Whether its caller returned before it was told to.
    early: bool,
}

/// Place of a claim in the order: group, rank, standing within the rank, latest start, ticket.
type ClaimPlace = (u8, RequestRank, u8, Instant, ClaimTicket);

/// A waiting claim with what is expected of it.
#[derive(Debug, Clone, Copy)]
struct PlannedRow {
    index: usize,
    place: ClaimPlace,
    forecast: ClaimForecast,
}

impl PlannedRow {
    fn is_lost(&self) -> bool {
        self.forecast.expected_start > self.forecast.latest_start
    }
}

/// Requests that run at one upstream or wait for it.
#[derive(Debug, Clone)]
pub struct RankedQueue {
    slots: u32,
    /// Claims that may wait.
    limit: usize,
    running: Vec<RunningRow>,
    waiting: Vec<WaitingRow>,
    next_ticket: ClaimTicket,
    times: RunTimes,
    shares: RankShares,
    meter: RateMeter,
    schedule: ReturnSchedule,
    /// Latest turn of a limited upstream with which a caller was told to return.
    told_turn: Option<Instant>,
    /// When a claim was last refused.
    refused_at: Option<Instant>,
}

impl RankedQueue {
    /// An empty queue for an upstream with `slots` slots; at most `limit` claims wait.
    pub fn new(slots: u32, limit: usize) -> Self {
        Self {
            slots: slots.max(1),
            limit,
            running: Vec::new(),
            waiting: Vec::new(),
            next_ticket: 0,
            times: RunTimes::default(),
            shares: RankShares::default(),
            meter: RateMeter::default(),
            schedule: ReturnSchedule::default(),
            told_turn: None,
            refused_at: None,
        }
    }

    /// Changes the number of slots and of claims that may wait.
    pub fn resize(&mut self, slots: u32, limit: usize) {
        self.slots = slots.max(1);
        self.limit = limit;
    }

    /// Limits the rate at which requests start, or ends the limit.
    pub fn limit_rate(&mut self, limit: Option<UpstreamLimit>, now: Instant) {
        self.meter.set_interval(limit.map(UpstreamLimit::interval), now);
        self.told_turn = None;
    }

    /// Returns the meter of the starts.
    pub const fn meter_mut(&mut self) -> &mut RateMeter {
        &mut self.meter
    }

    /// Lets one request start now although the limit has no turn for it.
    pub fn allow_one(&mut self, now: Instant) {
        self.meter.allow_one(now);
    }

    /// Sets the time that work takes at the upstream in per cent of the usual one; 0: unknown.
    pub fn set_pace(&mut self, percent: u32) {
        self.times.set_pace(percent);
    }

    /// Decides on an arriving claim. One that waits is decided by [`Self::settle`], which is to be
    /// called at once, because others may have to leave for it.
    pub fn offer(
        &mut self,
        claim: SlotClaim,
        now: Instant,
    ) -> (ClaimTicket, ClaimDecision, ClaimForecast) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let early = claim.returned_from.is_some_and(|at| self.schedule.is_early(at, now));
        let row = WaitingRow { ticket, claim, early };
        if self.waiting.is_empty() && self.has_turn(now) && self.is_worth_a_run(&claim, now) {
            let latest_start = self.latest_start(&claim, self.slowness(now));
            self.start(row, now);
            let forecast = ClaimForecast { expected_start: now, latest_start, ahead: 0 };
            return (ticket, ClaimDecision::Start, forecast);
        }
        self.waiting.push(row);
        let planned = self.plan(now);
        let own = planned.iter().find(|planned| planned.index + 1 == self.waiting.len());
        let own = *own.unwrap_or(&planned[0]);
        let is_last = planned.last().is_some_and(|last| last.index == own.index);
        let reason = match (own.is_lost(), self.waiting.len() > self.limit && is_last) {
            (true, _) => ClaimReason::NoRoom,
            (false, true) => ClaimReason::Displaced,
            (false, false) => return (ticket, ClaimDecision::Wait, own.forecast),
        };
        self.waiting.pop();
        let refusal = self.refuse(&claim, reason, now);
        (ticket, ClaimDecision::Refuse(refusal), own.forecast)
    }

    /// Whether a run of a claim may end before its deadline. Without a running request one may run
    /// in any case: it tells whether the run times are still as they were.
    fn is_worth_a_run(&self, claim: &SlotClaim, now: Instant) -> bool {
        let left = claim.deadline.saturating_duration_since(now);
        !left.is_zero() && (self.running.is_empty() || left * 2 > self.times.mean(claim.route))
    }

    /// Notes that a running request ended. `answered` says whether the upstream did; the time of a run
    /// that was given up is known to be no shorter than it was.
    pub fn finish(&mut self, ticket: ClaimTicket, answered: bool, now: Instant) {
        let Some(index) = self.running.iter().position(|row| row.ticket == ticket) else { return };
        let row = self.running.swap_remove(index);
        let time = now.saturating_duration_since(row.started_at);
        if answered || time > self.times.mean(row.route) {
            self.times.note(row.route, time);
        }
    }

    /// Removes a waiting claim whose caller left; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: ClaimTicket) -> bool {
        let index = self.waiting.iter().position(|row| row.ticket == ticket);
        index.map(|index| self.waiting.swap_remove(index)).is_some()
    }

    /// Starts and refuses the waiting claims for which that is due. To be called after each change and
    /// at [`Self::next_wake`].
    pub fn settle(&mut self, now: Instant) -> Vec<SettledClaim> {
        let mut settled = Vec::new();
        let mut planned = self.plan(now);
        while !planned.is_empty() && self.has_turn(now) {
            let waits = self.waiting_ranks();
            let due = self.shares.due_rank(&waits).and_then(|rank| {
                planned.iter().position(|row| row.place.1.number() == rank && !row.is_lost())
            });
            let next = due.or_else(|| planned.iter().position(|row| !row.is_lost()));
            let Some(next) = next else { break };
            let row = self.waiting.remove(planned[next].index);
            self.start(row, now);
            settled.push(SettledClaim { ticket: row.ticket, refusal: None });
            planned = self.plan(now);
        }
        let mut left: Vec<(usize, ClaimReason)> = planned
            .iter()
            .filter(|row| row.is_lost())
            .map(|row| (row.index, ClaimReason::Lost))
            .collect();
        let over = (self.waiting.len() - left.len()).saturating_sub(self.limit);
        let kept = planned.iter().rev().filter(|row| !row.is_lost()).take(over);
        left.extend(kept.map(|row| (row.index, ClaimReason::Displaced)));
        left.sort_unstable_by_key(|row| row.0);
        for (index, reason) in left.into_iter().rev() {
            let row = self.waiting.remove(index);
            let refusal = Some(self.refuse(&row.claim, reason, now));
            settled.push(SettledClaim { ticket: row.ticket, refusal });
        }
        settled
    }

    /// Returns when [`Self::settle`] is to be called next without an event; `None` if nothing waits.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        let recheck = now + RECHECK_INTERVAL;
        let limited = self.meter.interval().is_some() && self.has_slot();
        Some(if limited { self.meter.next_start(now).min(recheck) } else { recheck })
    }

    fn start(&mut self, row: WaitingRow, now: Instant) {
        let WaitingRow { ticket, claim, .. } = row;
        self.running.push(RunningRow { ticket, route: claim.route, started_at: now });
        self.meter.count_start(now);
        self.shares.count_start(claim.rank, &self.waiting_ranks());
    }

    fn waiting_ranks(&self) -> [bool; RequestRank::COUNT] {
        let mut waits = [false; RequestRank::COUNT];
        for row in &self.waiting {
            waits[row.claim.rank.number()] = true;
        }
        waits
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Whether a slot is free and the limit lets a request start.
    fn has_turn(&self, now: Instant) -> bool {
        self.has_slot() && self.meter.next_start(now) <= now
    }

    /// Factor by which the running requests show runs to be longer than the mean says: the median of
    /// their ages in times of the means. The long runs of a heavy tail do not move a median.
    fn slowness(&self, now: Instant) -> f64 {
        let age = |row: &RunningRow| {
            let age = now.saturating_duration_since(row.started_at).as_secs_f64();
            age / self.times.mean(row.route).as_secs_f64()
        };
        let mut ages: Vec<f64> = self.running.iter().map(age).collect();
        ages.sort_by(f64::total_cmp);
        ages.get(ages.len() / 2).map_or(1.0, |median| median.max(1.0))
    }

    fn latest_start(&self, claim: &SlotClaim, slowness: f64) -> Instant {
        let mean = self.times.mean(claim.route).mul_f64(slowness);
        claim.latest_start(mean, self.times.high(claim.route).mul_f64(slowness))
    }

    fn place(&self, row: &WaitingRow, slowness: f64, now: Instant) -> ClaimPlace {
        let claim = &row.claim;
        let timely_start = claim.timely_start(self.times.high(claim.route).mul_f64(slowness));
        let late = timely_start < now;
        if claim.rank == RequestRank::CALL {
            return (0, claim.rank, u8::from(late), timely_start, row.ticket);
        }
        let standing = match (claim.returned_from, row.early) {
            (Some(_), false) => 0,
            (None, _) => 1,
            (Some(_), true) => 2,
        };
        (1 + u8::from(late), claim.rank, standing, timely_start, row.ticket)
    }

    /// Returns the waiting claims in their order, with what is expected of each. Those that are lost
    /// delay no others.
    fn plan(&self, now: Instant) -> Vec<PlannedRow> {
        let slowness = self.slowness(now);
        let rows = self.waiting.iter().enumerate();
        let mut planned: Vec<PlannedRow> = rows
            .map(|(index, row)| {
                let latest_start = self.latest_start(&row.claim, slowness);
                let forecast = ClaimForecast { expected_start: now, latest_start, ahead: 0 };
                PlannedRow { index, place: self.place(row, slowness, now), forecast }
            })
            .collect();
        planned.sort_unstable_by_key(|row| row.place);
        let (mut work, mut ahead) = (Duration::ZERO, 0);
        for row in &mut planned {
            let claim = &self.waiting[row.index].claim;
            let part_above = self.shares.part_above(claim.rank);
            row.forecast.expected_start =
                self.expected_start(work, ahead, part_above, slowness, now);
            row.forecast.ahead = ahead;
            if !row.is_lost() {
                work += self.times.mean(claim.route);
                ahead += 1;
            }
        }
        planned
    }

    /// Returns when a claim is expected to start behind `ahead` others that run for `work`, while claims
    /// that go before it take `part_above` of the slots.
    fn expected_start(
        &self,
        work: Duration,
        ahead: usize,
        part_above: f64,
        slowness: f64,
        now: Instant,
    ) -> Instant {
        let until_free = if self.has_slot() { Duration::ZERO } else { self.service_time() };
        // A claim that starts in a free slot waits for none of the others that start with it.
        let free = (self.slots as usize).saturating_sub(self.running.len());
        let busy = if ahead < free { Duration::ZERO } else { (until_free + work) / self.slots };
        let by_slots = now + busy.mul_f64(slowness / (1.0 - part_above));
        let Some(interval) = self.meter.interval() else { return by_slots };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        by_slots.max(self.meter.next_start(now) + interval.saturating_mul(ahead))
    }

    /// Refuses a claim with the time after which its caller may return.
    fn refuse(&mut self, claim: &SlotClaim, reason: ClaimReason, now: Instant) -> ClaimRefusal {
        self.refused_at = Some(now);
        let works = self.waiting.iter().map(|row| self.times.mean(row.claim.route));
        let work: Duration = works.sum();
        let ahead = self.waiting.len();
        let slowness = self.slowness(now);
        let first = self.expected_start(work, ahead, 0.0, slowness, now);
        let retry_after = if let Some(interval) = self.meter.interval() {
            let after_last = self.told_turn.map(|at| at + interval);
            let turn = after_last.filter(|at| (first..first + RETURN_SPREAD).contains(at));
            let turn = turn.unwrap_or(first);
            self.told_turn = Some(turn);
            self.schedule.note(turn, now);
            turn.saturating_duration_since(now)
        } else {
            let longest = claim.longest_return(now);
            let spacing = self.service_time().mul_f64(slowness) / self.slots;
            self.schedule.tell(first, spacing, longest, now)
        };
        ClaimRefusal { retry_after, reason }
    }

    /// Number of claims that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no claim waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Run times by route.
    pub const fn times(&self) -> &RunTimes {
        &self.times
    }

    /// Mean time of a run; zero before the first.
    pub fn service_time(&self) -> Duration {
        self.times.mean_of_all().unwrap_or_default()
    }
}
