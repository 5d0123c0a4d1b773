//! Admission of requests to an upstream.
//!
//! As many requests run as the upstream announced slots. Others wait, ordered by priority class
//! and then by arrival. A full queue sheds the least urgent request: the newest of the lowest
//! waiting class, or the arriving one. The caller of a shed request gets its response at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::version::PriorityClass;

/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// Divisor of the newest service time's weight in the moving average: 1/16.
const SERVICE_TIME_SMOOTHING: u32 = 16;

/// Service time that is assumed before one is measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

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
        }
    }

    /// Changes the number of slots and of requests that may wait.
    pub fn resize(&mut self, slots: usize, limit: usize) {
        self.slots = slots.max(1);
        self.limit = limit;
    }

    /// Decides on an arriving request.
    pub fn offer(&mut self, class: PriorityClass, deadline: Instant, now: Instant) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            return Admission::Start;
        }
        let retry_after = self.wait_time(self.len());
        // A request that would not start before its deadline is shed now, while the caller still
        // has time to react.
        let ahead = self.waiting[..=class as usize].iter().map(VecDeque::len).sum();
        if now + self.wait_time(ahead) > deadline {
            return Admission::Shed { retry_after };
        }
        let mut displaced = None;
        if self.len() >= self.limit {
            displaced = self.evict_lower(class);
            if displaced.is_none() {
                return Admission::Shed { retry_after };
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
        let mut completion = Completion::default();
        if self.running >= self.slots {
            return completion;
        }
        for queue in &mut self.waiting {
            while let Some(row) = queue.pop_front() {
                if row.deadline <= now {
                    completion.expired.push(row.ticket);
                    continue;
                }
                self.running += 1;
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

    /// Time until a request behind `ahead` others would start.
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

    /// Number of requests that run.
    pub const fn running(&self) -> usize {
        self.running
    }
}
