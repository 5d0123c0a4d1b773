//! Concurrency limit, rate limit and queue in front of the upstream. All requests to the upstream
//! pass through it.

mod cold_limit;
mod told_load;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::connection::{UpstreamLimit, UpstreamLoad};
use firspindle_core::request::{
    ClaimDecision, ClaimForecast, ClaimRefusal, ClaimTicket, ColdTracker, LoadTracker,
    QueueForecast, RankedQueue, RequestRank, SlotClaim, StartForecast,
};
use firspindle_core::version::UpstreamInstance;
use tokio::sync::oneshot;

use super::instance_notice::InstanceNotice;

/// Requests that may wait, per slot of the upstream.
const WAITING_PER_SLOT: usize = 6;

/// Divisor that gives the weight of the newest run in the mean service time, which other nodes are sent. It
/// covers some seconds of a busy upstream: with the mean of the queue, which follows a change within some
/// runs, nodes judged an upstream with a low limit by single slow runs and sent it no more requests.
const SMOOTHING_DIVISOR: u32 = 48;

/// Priorities of the callers' requests whose starts stand for those of the three priority classes, which nodes
/// of earlier versions know.
const CLASS_PRIORITIES: [u32; 3] = [1, 2, u32::MAX];

struct LimiterState {
    queue: RankedQueue,
    /// Tickets in ascending order, each with the channel for the refusal or for the start.
    waiting: Vec<(ClaimTicket, oneshot::Sender<Option<ClaimRefusal>>)>,
    slots: u32,
    /// Slots that are left by requests that others sent to the upstream.
    usable: u32,
    /// Mean time of a run at the usual pace.
    service_time: Duration,
    /// Runs in that mean, up to [`SMOOTHING_DIVISOR`]: the first runs count alike, so that one long
    /// first run does not pass for the upstream's speed.
    measured_runs: u32,
    /// What the upstream said of itself.
    notice: InstanceNotice,
    /// Whether the upstream counts as cold.
    cold: ColdTracker,
    /// What the upstream reported of its load.
    told: LoadTracker,
    /// Mean time of a run while the upstream was last cold; zero before the first.
    cold_time: Duration,
    /// When the last report of the cold time was sent, on the control thread's clock.
    reported_at: Option<Instant>,
    /// When a request was last refused.
    refused_at: Option<Instant>,
    /// Time at which a task next settles those that wait.
    wake_at: Option<Instant>,
}

/// Concurrency limit, rate limit and queue in front of the upstream.
#[derive(Clone)]
pub struct UpstreamLimiter {
    state: Rc<RefCell<LimiterState>>,
}

/// A slot of the upstream, freed on drop.
pub struct UpstreamPermit {
    limiter: UpstreamLimiter,
    ticket: ClaimTicket,
    started_at: Instant,
    answered: bool,
}

/// Removes a request from the queue if its future is dropped while it waits.
struct WaitGuard<'a> {
    limiter: &'a UpstreamLimiter,
    ticket: Option<ClaimTicket>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        self.limiter.remove(ticket);
        if self.limiter.state.borrow_mut().queue.cancel(ticket) {
            self.limiter.settle();
        } else {
            // It may have been given a slot already, which goes to the next one.
            self.limiter.finish(ticket, None);
        }
    }
}

impl Default for UpstreamLimiter {
    fn default() -> Self {
        let state = LimiterState {
            queue: RankedQueue::new(1, WAITING_PER_SLOT),
            waiting: Vec::new(),
            slots: 1,
            usable: 1,
            service_time: Duration::ZERO,
            measured_runs: 0,
            notice: InstanceNotice::default(),
            cold: ColdTracker::new(Instant::now()),
            told: LoadTracker::default(),
            cold_time: Duration::ZERO,
            reported_at: None,
            refused_at: None,
            wake_at: None,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }
}

impl UpstreamLimiter {
    /// Sets the number of slots, and the length of the queue in proportion.
    pub fn resize(&self, slots: u32) {
        let mut state = self.state.borrow_mut();
        let usable = state.usable_slots(slots);
        if (state.slots, state.usable) != (slots, usable) {
            (state.slots, state.usable) = (slots, usable);
            state.queue.resize(usable, slots as usize * WAITING_PER_SLOT);
            drop(state);
            self.settle();
        }
    }

    /// Sets the instance of the upstream. One of another id has named no limit; one that started again
    /// under its id keeps the limit until it answers.
    pub fn set_instance(&self, instance: &UpstreamInstance) {
        let is_new = !self.state.borrow().notice.is_about(instance);
        let changed = self.state.borrow_mut().notice.set_instance(instance);
        if is_new {
            self.register_cold();
        }
        if changed {
            self.apply_limit();
        }
    }

    /// Notes the limit that an instance names, or that it names none, in its answer to a request that
    /// was sent at `sent_at`; returns whether the limit in force changed.
    pub fn note_limit(
        &self,
        instance: &UpstreamInstance,
        limit: Option<UpstreamLimit>,
        sent_at: Instant,
    ) -> bool {
        let now = Instant::now();
        let changed = self.state.borrow_mut().notice.note_limit(instance, limit, sent_at, now);
        if changed {
            self.apply_limit();
        }
        changed
    }

    /// Notes that an answer of an instance says that it leaves.
    pub fn note_leaving(&self, instance: &UpstreamInstance) {
        self.state.borrow_mut().notice.note_leaving(instance);
    }

    /// Whether an answer of an instance said that it leaves.
    pub fn is_leaving(&self, instance: &UpstreamInstance) -> bool {
        self.state.borrow().notice.is_leaving(instance)
    }

    /// Applies a limit that another node knows of, until the instance has answered itself.
    pub fn adopt_limit(&self, instance: &UpstreamInstance, limit: UpstreamLimit) {
        self.set_instance(instance);
        let adopted = self.state.borrow_mut().notice.adopt_limit(limit, Instant::now());
        if adopted {
            log::info!(
                life = &*instance.id, per_second = limit.per_second();
                "limit of the upstream told by another node"
            );
            self.apply_limit();
        }
    }

    /// Whether the upstream is to be asked now whether it still limits: the limit lets so few requests
    /// start that their answers tell late, and others are refused meanwhile.
    pub fn take_check(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let refused_at = state.refused_at;
        state.notice.take_check(refused_at, now)
    }

    /// Notes that a health check of an instance named no limit: one request may start at once, whose
    /// answer tells whether that is so.
    pub fn confirm_end(&self, instance: &UpstreamInstance) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if !state.notice.ask_for_end(instance, now) {
            return;
        }
        state.queue.allow_one(now);
        drop(state);
        self.settle();
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<UpstreamLimit> {
        self.state.borrow().limit()
    }

    /// Applies a limit that has changed to those that wait.
    fn apply_limit(&self) {
        let mut state = self.state.borrow_mut();
        let limit = state.limit();
        state.queue.limit_rate(limit, Instant::now());
        drop(state);
        self.settle();
    }

    /// Returns when one more request could start at a limited upstream.
    pub fn forecast(&self) -> StartForecast {
        let now = Instant::now();
        let state = self.state.borrow();
        let start_in = CLASS_PRIORITIES.map(|priority| {
            let start = state.queue.expected_start_of(RequestRank::of_priority(priority), now);
            start.saturating_duration_since(now)
        });
        StartForecast { start_in, run_time: state.run_time() }
    }

    /// Returns when one more request of each rank could start if the upstream is full without naming a
    /// limit.
    pub fn queue_forecast(&self) -> Option<QueueForecast> {
        let state = self.state.borrow();
        let limited = state.limit().is_some();
        if limited { None } else { state.queue.forecast(Instant::now()) }
    }

    /// Returns the current load.
    pub fn load(&self) -> UpstreamLoad {
        let state = self.state.borrow();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        UpstreamLoad {
            running: count(state.queue.running()),
            waiting: count(state.queue.len()),
            slots: state.slots,
            link_ms: 0,
            limit_milli: state.limit().map_or(0, UpstreamLimit::milli),
            cold_ms: count(usize::try_from(state.cold_left().as_millis()).unwrap_or(usize::MAX)),
            ..state.told_load()
        }
    }

    /// Number of requests that the upstream runs for this node.
    pub fn running(&self) -> usize {
        self.state.borrow().queue.running()
    }

    /// Mean time that the upstream takes for a request; zero before the first response.
    pub fn service_time(&self) -> Duration {
        self.state.borrow().run_time()
    }

    /// Waits for a slot. Refuses at once if the request is expected to start after its latest start, and
    /// later if that becomes so. Also returns what was expected of it when it arrived.
    pub async fn acquire(
        &self,
        claim: SlotClaim,
    ) -> (ClaimForecast, Result<UpstreamPermit, ClaimRefusal>) {
        let now = Instant::now();
        let (ticket, decision, forecast) = self.state.borrow_mut().queue.offer(claim, now);
        let refusal = match decision {
            ClaimDecision::Start => None,
            ClaimDecision::Refuse(refusal) => Some(refusal),
            ClaimDecision::Wait => self.wait(ticket).await,
        };
        let Some(refusal) = refusal else {
            let limiter = self.clone();
            let started_at = Instant::now();
            return (forecast, Ok(UpstreamPermit { limiter, ticket, started_at, answered: false }));
        };
        self.state.borrow_mut().refused_at = Some(Instant::now());
        (forecast, Err(refusal))
    }

    async fn wait(&self, ticket: ClaimTicket) -> Option<ClaimRefusal> {
        let (tx, mut rx) = oneshot::channel();
        self.state.borrow_mut().waiting.push((ticket, tx));
        let mut guard = WaitGuard { limiter: self, ticket: Some(ticket) };
        self.settle();
        let refusal = (&mut rx).await.ok().flatten();
        guard.ticket = None;
        refusal
    }

    fn remove(
        &self,
        ticket: ClaimTicket,
    ) -> Option<(ClaimTicket, oneshot::Sender<Option<ClaimRefusal>>)> {
        let mut state = self.state.borrow_mut();
        let index = state.waiting.binary_search_by_key(&ticket, |row| row.0).ok()?;
        Some(state.waiting.remove(index))
    }

    /// Frees a slot after a run that took `took`; `None` if the upstream did not answer.
    fn finish(&self, ticket: ClaimTicket, took: Option<Duration>) {
        let mut state = self.state.borrow_mut();
        if let Some(took) = took {
            state.count_run(took);
        }
        state.queue.finish(ticket, took.is_some(), Instant::now());
        drop(state);
        self.settle();
    }

    /// Starts and refuses those that wait where that is due, and waits for the next such time.
    fn settle(&self) {
        loop {
            let now = Instant::now();
            let settled = self.state.borrow_mut().queue.settle(now);
            if settled.is_empty() {
                break;
            }
            for row in settled {
                let waiter = self.remove(row.ticket);
                let heard = waiter.is_some_and(|(_, waiter)| waiter.send(row.refusal).is_ok());
                if !heard && row.refusal.is_none() {
                    self.state.borrow_mut().queue.finish(row.ticket, false, now);
                }
            }
        }
        self.await_wake();
    }

    /// Starts a task that settles those that wait when that is next due, unless one waits already.
    fn await_wake(&self) {
        let mut state = self.state.borrow_mut();
        let Some(wake_at) = state.queue.next_wake(Instant::now()) else { return };
        if state.wake_at.is_some_and(|at| at <= wake_at) {
            return;
        }
        state.wake_at = Some(wake_at);
        drop(state);
        let limiter = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(wake_at.into()).await;
            limiter.state.borrow_mut().wake_at.take_if(|at| *at == wake_at);
            limiter.settle();
        });
    }
}

impl UpstreamPermit {
    /// Frees the slot after the upstream responded, and counts the time among the run times.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        let took = self.answered.then(|| self.started_at.elapsed());
        self.limiter.finish(self.ticket, took);
    }
}
