//! Requests that an upstream answered so recently that its crash may be their doing.
//!
//! A request may crash an upstream shortly after its whole answer, so an answer shows that a request is harmless
//! only once the upstream has outlived it. That is shown by an answer to a request that was sent later: heartbeats
//! may arrive seconds after their sender has crashed, and a crash itself ends connections.
//!
//! A run that its node abandoned, as its caller left or its deadline passed, may go on at the upstream until the
//! deadline that the upstream was told. It counts like one that was answered then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::version::UpstreamInstance;

/// Time for which an upstream lives on after an answer that did it no harm. Within a longer time too many other
/// requests end beside the one that crashes it.
pub const OUTLIVE_TIME: Duration = Duration::from_millis(250);

/// Time within which a crash is noticed: by a refused connection, or as the upstream has started again.
const NOTICE_TIME: Duration = Duration::from_secs(10);

/// Most answers that are kept, and most abandoned runs; the oldest give way.
const MAX_RUNS: usize = 64;

/// Most requests that are suspected of one crash: the last ones answered, and as many abandoned last.
const MAX_SUSPECTS: usize = 8;

/// A request that was answered or abandoned, when the upstream has outlived it, and until when it is suspected of
/// a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FinishedRun {
    fingerprint: u128,
    outlived_at: Instant,
    suspected_until: Instant,
}

/// An instance that crashed, and the requests that are suspected of it.
pub type CrashSuspects = (UpstreamInstance, Vec<u128>);

impl FinishedRun {
    /// A run of which the upstream was free at `ended_at` at the latest.
    fn ending_at(fingerprint: u128, ended_at: Instant) -> Self {
        let (outlived_at, suspected_until) = (ended_at + OUTLIVE_TIME, ended_at + NOTICE_TIME);
        Self { fingerprint, outlived_at, suspected_until }
    }
}

/// Requests that the present instance of an upstream answered, or that were abandoned there, and that it has not
/// outlived yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FinishedRuns {
    instance: Option<UpstreamInstance>,
    /// Whether the instance leaves, so that its end is no crash.
    leaving: bool,
    /// In the order of their answers.
    answered: VecDeque<FinishedRun>,
    /// In the order in which they were abandoned.
    abandoned: VecDeque<FinishedRun>,
}

/// Adds a run in place of the oldest one if there are too many.
fn push_run(rows: &mut VecDeque<FinishedRun>, row: FinishedRun) {
    if rows.len() == MAX_RUNS {
        rows.pop_front();
    }
    rows.push_back(row);
}

impl FinishedRuns {
    /// Sets the instance of the upstream, and whether it leaves. Returns what an earlier instance is suspected to
    /// have crashed of, unless it had left.
    pub fn set_instance(
        &mut self,
        instance: &UpstreamInstance,
        leaving: bool,
        now: Instant,
    ) -> Option<CrashSuspects> {
        let earlier = self.instance.take_if(|earlier| earlier != instance);
        let crashed = earlier.map(|earlier| (earlier, self.drain_suspects(now)));
        self.instance.get_or_insert_with(|| instance.clone());
        self.leaving = leaving;
        if leaving {
            self.answered.clear();
            self.abandoned.clear();
        }
        crashed.filter(|(_, suspects)| !suspects.is_empty())
    }

    /// Notes that an instance answered a request whole.
    pub fn note_answer(&mut self, instance: &UpstreamInstance, fingerprint: u128, now: Instant) {
        if !self.is_about(instance) || self.leaving {
            return;
        }
        push_run(&mut self.answered, FinishedRun::ending_at(fingerprint, now));
    }

    /// Notes that a run at an instance was abandoned; the instance may work on it until `works_until`.
    pub fn note_abandoned(
        &mut self,
        instance: &UpstreamInstance,
        fingerprint: u128,
        works_until: Instant,
    ) {
        if !self.is_about(instance) || self.leaving {
            return;
        }
        push_run(&mut self.abandoned, FinishedRun::ending_at(fingerprint, works_until));
    }

    /// Returns the instance of the upstream, if one is known.
    pub const fn instance(&self) -> Option<&UpstreamInstance> {
        self.instance.as_ref()
    }

    /// Whether the instance leaves, so that its end is no crash.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Notes that an instance lived at a time, as it answered a request that was sent then; returns the requests
    /// that it had outlived by then.
    pub fn note_alive(&mut self, instance: &UpstreamInstance, lived_at: Instant) -> Vec<u128> {
        if self.is_about(instance) { self.take_outlived(lived_at) } else { Vec::new() }
    }

    /// Notes that a connection of an instance ended, maybe as it crashed: what ended long before is suspected no
    /// more. It is not cleared, since the instance may have crashed of it later than others do.
    pub fn note_remote_end(&mut self, instance: &UpstreamInstance, ended_at: Instant) {
        if self.is_about(instance) {
            self.take_outlived(ended_at);
        }
    }

    fn take_outlived(&mut self, lived_at: Instant) -> Vec<u128> {
        let outlived = |row: &FinishedRun| row.outlived_at <= lived_at;
        let count = self.answered.iter().take_while(|row| outlived(row)).count();
        let mut runs: Vec<_> = self.answered.drain(..count).collect();
        runs.extend(self.abandoned.iter().filter(|row| outlived(row)));
        self.abandoned.retain(|row| !outlived(row));
        runs.into_iter().map(|row| row.fingerprint).collect()
    }

    /// Returns the requests that are suspected of the crash of an instance, the last abandoned first, then the
    /// last answered.
    pub fn take_suspects(&mut self, instance: &UpstreamInstance, now: Instant) -> Vec<u128> {
        if self.is_about(instance) { self.drain_suspects(now) } else { Vec::new() }
    }

    fn is_about(&self, instance: &UpstreamInstance) -> bool {
        self.instance.as_ref() == Some(instance)
    }

    fn drain_suspects(&mut self, now: Instant) -> Vec<u128> {
        let mut suspects = Vec::new();
        for rows in [&mut self.abandoned, &mut self.answered] {
            let limit = suspects.len() + MAX_SUSPECTS;
            for row in rows.drain(..).rev().filter(|row| now < row.suspected_until) {
                if suspects.len() < limit && !suspects.contains(&row.fingerprint) {
                    suspects.push(row.fingerprint);
                }
            }
        }
        suspects
    }
}
