//! Decides whether the local upstream counts as cold, and which limit follows.
//!
//! An upstream that started a short time ago crashes at a rate that it bears later. Only the node beside it
//! knows what reaches it, so this node decides alone. Nothing is known of the upstream after the node
//! or the upstream started, after a connection broke, and after a silence. Then it counts as cold until
//! a report that is newer than that says otherwise. Reports are heartbeats and answers to health checks.

use std::time::{Duration, Instant};

use super::RateMeter;
use crate::connection::UpstreamLimit;
use crate::version::ColdTerms;

/// Time without anything from the upstream after which nothing is known of it: a heartbeat interval of
/// 0.93 s, and time for one that comes late.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_400);

/// Added to the cold time that is reported, for its rounding and for its way to this node.
const REPORT_MARGIN: Duration = Duration::from_millis(50);

/// Least time between two health checks. Several connections break at once when an upstream ends.
const CHECK_SPACING: Duration = Duration::from_secs(1);

/// Longest cold time that is believed, in times of the usual one.
const MAX_DURATIONS: u32 = 10;

/// Longest cold time that is believed in any case; longer ones would overflow points in time.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// Length of the interval for which the number of requests is bounded.
const BOUND_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that the meter of a limit may let start in an interval beyond the rate.
const METER_BURST: f64 = 2.0;

/// What a cold upstream of the local service may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// What the manifest says.
    pub terms: ColdTerms,
    /// Factor on the requests per second in the bound for any one second.
    pub factor: f64,
    /// Requests beyond that in any one second.
    pub allowance: f64,
}

impl ColdRule {
    /// Most requests in any one second.
    pub fn bound(&self) -> f64 {
        self.terms.per_second * self.factor + self.allowance
    }

    /// Returns the limit while the upstream is cold: its rate, or less if the meter's burst would break
    /// the bound.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> Option<UpstreamLimit> {
        let per_second = self.terms.per_second.min(self.bound() - METER_BURST);
        let milli = (per_second * 1_000.0).max(1.0) as u32;
        UpstreamLimit::from_milli(milli)
    }

    /// Requests of the last second with which the limit may begin, so that the bound holds in every
    /// second that contains both.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn earlier_starts(&self) -> usize {
        let per_second = self.limit().map_or(0.0, UpstreamLimit::per_second);
        (self.bound() - per_second - METER_BURST).max(0.0) as usize
    }
}

/// Why nothing is known of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// The node started.
    NodeStart,
    /// The upstream registered.
    Registration,
    /// A connection to the upstream broke.
    BrokenConnection,
    /// The upstream's address refused a connection.
    RefusedConnection,
    /// The data centre is evacuated, or was until now.
    Evacuation,
    /// Nothing arrived from the upstream for longer than a heartbeat interval.
    Silence,
}

impl ColdCause {
    /// Returns the cause as a word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NodeStart => "node-start",
            Self::Registration => "registration",
            Self::BrokenConnection => "broken-connection",
            Self::RefusedConnection => "refused-connection",
            Self::Evacuation => "evacuation",
            Self::Silence => "silence",
        }
    }
}

/// What the upstream is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdBelief {
    /// Nothing is known; it counts as cold.
    Unknown(ColdCause),
    /// It said that it is cold until then.
    Cold(Instant),
    /// It said that it is warm, or its cold time has ended.
    Warm,
}

impl ColdBelief {
    /// Returns the belief as a word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown(_) => "unknown",
            Self::Cold(_) => "cold",
            Self::Warm => "warm",
        }
    }
}

/// Whether the local upstream counts as cold.
#[derive(Debug, Clone)]
pub struct ColdTracker {
    started_at: Instant,
    rule: Option<ColdRule>,
    belief: ColdBelief,
    /// Only reports that were sent later count; `None` if any of the instance does.
    known_at: Option<Instant>,
    /// Since when it counts as warm, or when it last did.
    warm_since: Option<Instant>,
    /// When something last arrived from the upstream.
    heard_at: Instant,
    /// Whether a health check is to ask the upstream.
    check_due: bool,
    /// When a health check was last due.
    checked_at: Option<Instant>,
}

impl ColdTracker {
    /// The state of a node that starts now.
    pub const fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            rule: None,
            belief: ColdBelief::Unknown(ColdCause::NodeStart),
            known_at: None,
            warm_since: None,
            heard_at: now,
            check_due: false,
            checked_at: None,
        }
    }

    /// Sets the rule of the upstream's service; `None` if its upstreams are never cold.
    pub const fn set_rule(&mut self, rule: Option<ColdRule>) {
        self.rule = rule;
    }

    /// Returns the rule of the upstream's service.
    pub const fn rule(&self) -> Option<ColdRule> {
        self.rule
    }

    /// What the upstream is taken to be.
    pub const fn belief(&self) -> ColdBelief {
        self.belief
    }

    /// Notes that another instance of the upstream, or the first, registered.
    pub const fn register(&mut self, now: Instant) {
        self.belief = ColdBelief::Unknown(ColdCause::Registration);
        self.known_at = None;
        self.heard_at = now;
    }

    /// Notes that nothing is known of the upstream from now on. The first broken connection makes a
    /// health check due.
    pub fn distrust(&mut self, cause: ColdCause, now: Instant) {
        let spaced = self.checked_at.is_none_or(|at| now >= at + CHECK_SPACING);
        if self.rule.is_some() && cause == ColdCause::BrokenConnection && spaced {
            self.check_due = true;
            self.checked_at = Some(now);
        }
        self.belief = ColdBelief::Unknown(cause);
        self.known_at = Some(now);
    }

    /// Whether a health check is to ask the upstream now; once for each that is due.
    pub const fn take_check(&mut self) -> bool {
        let due = self.check_due;
        self.check_due = false;
        due
    }

    /// Notes that something arrived from the upstream at a time.
    pub fn note_heard(&mut self, at: Instant) {
        self.heard_at = self.heard_at.max(at);
    }

    /// Notes a report that arrived at `at` and was sent, or asked for, at `sent_at`: the upstream stays
    /// cold for `remaining`. An earlier report than the newest only prolongs the cold time.
    pub fn note_report(&mut self, remaining: Duration, sent_at: Instant, at: Instant) {
        self.note_heard(at);
        let longest = self.rule.map_or(MAX_COLD_TIME, |rule| {
            rule.terms.duration.saturating_mul(MAX_DURATIONS).min(MAX_COLD_TIME)
        });
        let until = at + remaining.min(longest) + REPORT_MARGIN;
        let is_newer = self.known_at.is_none_or(|known_at| sent_at > known_at);
        let said = if remaining.is_zero() { ColdBelief::Warm } else { ColdBelief::Cold(until) };
        let is_longer = match (said, self.belief) {
            (ColdBelief::Cold(_), ColdBelief::Warm) => true,
            (ColdBelief::Cold(until), ColdBelief::Cold(known)) => until > known,
            _ => false,
        };
        if is_newer || is_longer {
            self.belief = said;
            self.known_at = self.known_at.max(Some(sent_at));
        }
    }

    /// Applies the passing of time.
    pub fn advance(&mut self, now: Instant) {
        if matches!(self.belief, ColdBelief::Cold(until) if now >= until) {
            self.belief = ColdBelief::Warm;
        }
        let known = !matches!(self.belief, ColdBelief::Unknown(_));
        if known && now > self.heard_at + SILENCE_LIMIT {
            self.distrust(ColdCause::Silence, now);
        }
    }

    /// Whether the upstream counts as cold.
    pub fn is_cold(&self) -> bool {
        self.rule.is_some() && self.belief != ColdBelief::Warm
    }

    /// Whether a run that started at a time may have taken long because the upstream was cold.
    pub fn slowed_run(&self, started_at: Instant) -> bool {
        let was_cold = self.warm_since.is_some_and(|since| started_at < since);
        self.rule.is_some() && (self.is_cold() || was_cold)
    }

    /// Returns the limit that follows.
    pub fn limit(&self) -> Option<UpstreamLimit> {
        self.rule.filter(|_| self.is_cold()).and_then(|rule| rule.limit())
    }

    /// Time for which the upstream stays cold; the usual cold time while nothing is known, and zero if it
    /// is warm.
    pub fn remaining(&self, now: Instant) -> Duration {
        let Some(rule) = self.rule else { return Duration::ZERO };
        match self.belief {
            ColdBelief::Unknown(_) => rule.terms.duration,
            ColdBelief::Cold(until) => until.saturating_duration_since(now),
            ColdBelief::Warm => Duration::ZERO,
        }
    }

    /// Makes a change and applies what follows to the meter of the starts at the upstream, which named the
    /// limit `named`; returns whether another limit is in force.
    pub fn change(
        &mut self,
        meter: &mut RateMeter,
        named: Option<UpstreamLimit>,
        now: Instant,
        change: impl FnOnce(&mut Self, Instant),
    ) -> bool {
        let (before, was_cold) = (self.limit_with(named), self.is_cold());
        change(self, now);
        self.advance(now);
        if let Some(rule) = self.rule.filter(|_| self.is_cold() && !was_cold) {
            meter.hold_for_recent(rule.earlier_starts(), now);
            // What an earlier process of this node sent in the second before its start is not known.
            meter.hold_until(self.started_at + BOUND_INTERVAL);
        }
        if was_cold && !self.is_cold() {
            self.warm_since = Some(now);
        }
        let after = self.limit_with(named);
        if after != before {
            meter.set_interval(after.map(UpstreamLimit::interval), now);
        }
        after != before
    }

    /// Returns the lower of a limit that the upstream named and the one while it is cold.
    pub fn limit_with(&self, named: Option<UpstreamLimit>) -> Option<UpstreamLimit> {
        named.into_iter().chain(self.limit()).min()
    }

    /// Time since something last arrived from the upstream.
    pub fn heard_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}
