//! Admission of requests to an upstream.
//!
//! As many requests run as the upstream announced slots. Others wait, ordered by priority class
//! and then by arrival. A full queue sheds the least urgent request: the newest of the lowest
//! waiting class, or the arriving one. The caller of a shed request gets its response at once.
//!
//! If the upstream limits the rate of requests, they also start no faster than that. Then the turn
//! of each waiting request is known to come no sooner than those before it allow, and a request
//! whose turn would come too late is shed at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::RateMeter;
use crate::connection::UpstreamLimit;
use crate::version::PriorityClass;

/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// Divisor of the newest service time's weight in the moving average: 1/16.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// Service time that is assumed before one is measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Time over which the returns of callers that a limited upstream cannot serve are spread.
const RETURN_SPREAD: Duration = Duration::from_secs(4);

/// Requests that run at one upstream or wait for it.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    /// Requests that the upstream can run at once.
    slots: usize,
    /// Requests that may wait.
    limit: usize,
    /// Requests that are running.
    running: usize,
    /// Waiting requests by priority class, the most urgent first; oldest first within a class.
    waiting: [VecDeque<WaitingRow>; CLASS_COUNT],
    service_time: Duration,
    next_ticket: u64,
    meter: RateMeter,
    /// Latest turn of a limited upstream with which a caller was told to return.
    told_turn: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRow {
    ticket: u64,
    deadline: Instant,
}

/// Decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It starts at once.
    Start,
    /// It waits until its ticket is started or expires.
    Wait {
        /// Number that identifies the waiting request.
        ticket: u64,
        /// Ticket of a less urgent request that is shed to make room.
        displaced: Option<u64>,
    },
    /// It is shed.
    Shed {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Waiting requests that leave the queue when a running one ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Completion {
    /// Ticket that starts.
    pub start: Option<u64>,
    /// Tickets whose deadline passed while they waited.
    pub expired: Vec<u64>,
}

impl AdmissionQueue {
    /// An empty queue for an upstream with `slots` slots; at most `limit` requests wait.
    pub fn new(slots: usize, limit: usize) -> Self {
        Self {
            slots: slots.max(1),
            limit,
            running: 0,
            waiting: Default::default(),
            service_time: INITIAL_SERVICE_TIME,
            next_ticket: 0,
            meter: RateMeter::default(),
            told_turn: None,
        }
    }

    /// Changes the number of slots and of requests that may wait.
    pub fn resize(&mut self, slots: usize, limit: usize) {
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

    /// Decides on an arriving request.
    pub fn offer(&mut self, class: PriorityClass, deadline: Instant, now: Instant) -> Admission {
        let ahead = self.ahead_of(class);
        if self.has_turn(now) && ahead == 0 {
            self.running += 1;
            self.meter.count_start(now);
            return Admission::Start;
        }
        // A request that would not start before its deadline is shed now, while the caller still
        // has time to react.
        if self.expected_start(ahead, now) > deadline {
            return Admission::Shed { retry_after: self.retry_after(now) };
        }
        let mut displaced = None;
        if self.len() >= self.limit {
            displaced = self.evict_lower(class);
            if displaced.is_none() {
                return Admission::Shed { retry_after: self.retry_after(now) };
            }
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiting[class as usize].push_back(WaitingRow { ticket, deadline });
        Admission::Wait { ticket, displaced }
    }

    /// Sheds the newest request of the least urgent class below `class`.
    fn evict_lower(&mut self, class: PriorityClass) -> Option<u64> {
        let lower = self.waiting[class as usize + 1..].iter_mut().rev();
        lower.into_iter().find_map(VecDeque::pop_back).map(|row| row.ticket)
    }

    /// Notes that a running request ended after `run_time`, which is `None` if the time says
    /// nothing about the upstream's speed.
    pub fn finish(&mut self, run_time: Option<Duration>, now: Instant) -> Completion {
        if let Some(run_time) = run_time {
            self.service_time = (self.service_time * (SERVICE_TIME_SMOOTHING - 1) + run_time)
                / SERVICE_TIME_SMOOTHING;
        }
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Notes that a run was given up at its deadline after `run_time`. Under a limit, requests that
    /// started too late may be the only ones that run, so the expected time rises until some end.
    pub fn note_cut(&mut self, run_time: Duration) {
        if self.meter.interval().is_some() {
            self.service_time = self.service_time.max(run_time * 2);
        }
    }

    /// Starts the next waiting request if a slot is free and the limit lets one start.
    pub fn start_next(&mut self, now: Instant) -> Completion {
        let mut completion = Completion::default();
        if !self.has_turn(now) {
            return completion;
        }
        for queue in &mut self.waiting {
            while let Some(row) = queue.pop_front() {
                if row.deadline <= now {
                    completion.expired.push(row.ticket);
                    continue;
                }
                self.running += 1;
                self.meter.count_start(now);
                completion.start = Some(row.ticket);
                return completion;
            }
        }
        completion
    }

    /// Removes a waiting request whose caller gave up; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        for queue in &mut self.waiting {
            if let Some(index) = queue.iter().position(|row| row.ticket == ticket) {
                queue.remove(index);
                return true;
            }
        }
        false
    }

    /// Removes the waiting requests for which the limit leaves no turn before their deadlines, and
    /// returns their tickets.
    pub fn shed_lost(&mut self, now: Instant) -> Vec<u64> {
        let mut lost = Vec::new();
        let Some(interval) = self.meter.interval() else { return lost };
        let mut turn = self.meter.next_start(now);
        for queue in &mut self.waiting {
            queue.retain(|row| {
                let kept = turn <= row.deadline;
                if kept {
                    turn += interval;
                } else {
                    lost.push(row.ticket);
                }
                kept
            });
        }
        lost
    }

    /// Returns when the limit lets the next waiting request start; `None` if none waits, or waits
    /// for a slot or without a limit.
    pub fn next_turn(&self, now: Instant) -> Option<Instant> {
        let limited = self.meter.interval().is_some() && self.running < self.slots;
        (limited && !self.is_empty()).then(|| self.meter.next_start(now))
    }

    /// Returns the earliest time at which the limit lets a waiting request start, behind those before
    /// it; at least one interval away while all slots are taken. `None` if it does not wait or without a
    /// limit.
    pub fn turn_of(&self, ticket: u64, now: Instant) -> Option<Instant> {
        let interval = self.meter.interval()?;
        let ahead = self.waiting.iter().flatten().position(|row| row.ticket == ticket)?;
        let next = self.meter.next_start(now);
        let next = if self.running < self.slots { next } else { next.max(now + interval) };
        Some(next + interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX)))
    }

    /// Returns the time after which a caller that is refused may return: the expected wait, and
    /// under a limit a turn of its own behind those that wait and those told to return before.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        let Some(interval) = self.meter.interval() else { return self.wait_time(self.len()) };
        let first = self.expected_start(self.len(), now);
        let after_last = self.told_turn.map(|at| at + interval);
        let turn = after_last.filter(|at| (first..first + RETURN_SPREAD).contains(at));
        let turn = turn.unwrap_or(first);
        self.told_turn = Some(turn);
        turn.saturating_duration_since(now)
    }

    /// Whether a slot is free and the limit lets a request start.
    fn has_turn(&self, now: Instant) -> bool {
        self.running < self.slots && self.meter.next_start(now) <= now
    }

    /// Returns when one more request of a class would be expected to start.
    pub fn expected_start_of(&self, class: PriorityClass, now: Instant) -> Instant {
        self.expected_start(self.ahead_of(class), now)
    }

    /// Number of waiting requests that start before one more of a class.
    fn ahead_of(&self, class: PriorityClass) -> usize {
        self.waiting[..=class as usize].iter().map(VecDeque::len).sum()
    }

    /// Returns when a request behind `ahead` others is expected to start.
    fn expected_start(&self, ahead: usize, now: Instant) -> Instant {
        let by_slots = now + self.wait_time(ahead);
        let Some(interval) = self.meter.interval() else { return by_slots };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        by_slots.max(self.meter.next_start(now) + interval.saturating_mul(ahead))
    }

    /// Time until a slot is free for a request behind `ahead` others.
    fn wait_time(&self, ahead: usize) -> Duration {
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        self.service_time * u32::try_from(ahead).unwrap_or(u32::MAX) / slots
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Mean time of a run.
    pub const fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Number of requests that run.
    pub const fn running(&self) -> usize {
        self.running
    }
}
