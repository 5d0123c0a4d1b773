//! Recovery from a wrong belief about the upstream's instance.
//!
//! A report that looks late is ignored. If one was wrongly taken for the upstream's newest, all that
//! the upstream itself sends looks late. Its reports are therefore remembered as a claim: once they have
//! gone on for longer than any hold lasts, a health check decides whether it listens at its address.

use std::time::Instant;

use super::GrantTable;
use crate::connection::OwnReport;
use crate::version::UpstreamInstance;

/// Reports of an instance that were ignored as late although their sequence numbers rise.
#[derive(Debug, Clone)]
pub(super) struct LifeClaim {
    instance: UpstreamInstance,
    /// Sequence number of its newest report.
    sequence: u64,
    /// By then every hold that was granted to the instance has ended.
    credible_at: Instant,
    /// Whether a report arrived since then.
    credible: bool,
}

impl GrantTable {
    /// Notes a report that was ignored as late.
    pub(super) fn note_late_report(&mut self, report: &OwnReport, now: Instant) {
        match &mut self.claim {
            Some(claim) if claim.instance == report.instance => {
                if report.sequence > claim.sequence {
                    claim.sequence = report.sequence;
                    claim.credible |= now >= claim.credible_at;
                }
            }
            _ => {
                self.claim = Some(LifeClaim {
                    instance: report.instance.clone(),
                    sequence: report.sequence,
                    credible_at: self.timing.hold_end(now),
                    credible: false,
                });
            }
        }
    }

    /// Discards a claim that the current instance contradicts by a newer report. A health check does not
    /// tell lives with one id apart.
    pub(super) fn contradict_claim(&mut self) {
        let id = self.instance.as_ref().map(|instance| &instance.id);
        self.claim.take_if(|claim| Some(&claim.instance.id) == id);
    }

    /// Whether a health check is to decide on a claim.
    pub(super) fn has_credible_claim(&self) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.credible)
    }

    /// Decides on a credible claim by the id that the upstream's address names. An instance that is
    /// found there becomes the current one.
    pub(super) fn decide_claim(&mut self, id: &str, now: Instant) {
        let Some(claim) = self.claim.take_if(|claim| claim.credible) else { return };
        if *claim.instance.id != *id {
            return;
        }
        log::warn!(
            id, sequence = claim.sequence, newest = self.last_sequence;
            "upstream found alive though its reports looked late"
        );
        self.ended_instances.retain(|instance| *instance != claim.instance);
        if self.instance.as_ref() != Some(&claim.instance) {
            self.change_instance(claim.instance, now);
        }
        self.last_sequence = claim.sequence;
    }
}
