//! What an instance of the local upstream said of itself: the limit on its requests, and that it leaves.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::request::LimitTracker;
use firspindle_core::version::UpstreamInstance;

/// Time without an answer after which an upstream with a low limit is asked whether it still limits.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Whether the answers to an upstream's health checks say that a limit has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum CheckTrust {
    #[default]
    Unknown,
    /// One named no limit, and one more request may start since then to find out.
    Asked(Instant),
    /// They name none while answers to requests do.
    Misleading,
}

/// What the last instance of the local upstream said of itself.
#[derive(Debug, Default)]
pub(super) struct InstanceNotice {
    /// Instance that this is about.
    instance: Option<UpstreamInstance>,
    /// Limit that the instance named.
    limit: LimitTracker,
    /// Whether an answer of the instance said that it leaves.
    leaving: bool,
    /// Whether the instance has answered this process.
    answered: bool,
    /// What its health checks say of a limit.
    check_trust: CheckTrust,
    /// When the limit was last named, told or asked for.
    told_at: Option<Instant>,
}

impl InstanceNotice {
    /// Sets the instance; returns whether the limit in force changed. One that started again under its id
    /// keeps the limit until it answers.
    pub(super) fn set_instance(&mut self, instance: &UpstreamInstance) -> bool {
        if self.instance.as_ref() == Some(instance) {
            return false;
        }
        let starts_again = self.instance.as_ref().is_some_and(|known| known.id == instance.id);
        self.instance = Some(instance.clone());
        self.leaving = false;
        self.answered = false;
        self.check_trust = CheckTrust::Unknown;
        if starts_again {
            return false;
        }
        self.told_at = None;
        self.limit.reset()
    }

    /// Whether this is what the instance said.
    pub(super) fn is_about(&self, instance: &UpstreamInstance) -> bool {
        self.instance.as_ref() == Some(instance)
    }

    /// Id of the instance; empty before the first.
    pub(super) fn life(&self) -> &str {
        self.instance.as_ref().map_or("", |instance| &instance.id)
    }

    /// Notes the limit that an instance names, or that it names none, in an answer that arrived now to a
    /// request that was sent at `sent_at`; returns whether the limit in force changed.
    pub(super) fn note_limit(
        &mut self,
        instance: &UpstreamInstance,
        limit: Option<UpstreamLimit>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        if self.instance.as_ref() != Some(instance) {
            return false;
        }
        self.answered = true;
        self.told_at = Some(now);
        if let CheckTrust::Asked(asked_at) = self.check_trust
            && sent_at >= asked_at
        {
            self.check_trust =
                if limit.is_some() { CheckTrust::Misleading } else { CheckTrust::Unknown };
        }
        self.limit.note(limit, sent_at, now)
    }

    /// Notes that an answer of an instance says that it leaves.
    pub(super) fn note_leaving(&mut self, instance: &UpstreamInstance) {
        self.leaving |= self.instance.as_ref() == Some(instance);
    }

    /// Whether an answer of an instance said that it leaves.
    pub(super) fn is_leaving(&self, instance: &UpstreamInstance) -> bool {
        self.leaving && self.instance.as_ref() == Some(instance)
    }

    /// Adopts a limit that another node knows of, unless the instance has answered itself; returns
    /// whether the limit in force changed.
    pub(super) fn adopt_limit(&mut self, limit: UpstreamLimit, now: Instant) -> bool {
        let adopted = !self.answered && self.limit.note(Some(limit), now, now);
        if adopted {
            self.told_at = Some(now);
        }
        adopted
    }

    /// Whether the instance is to be asked now whether it still limits; `refused_at` is when a request
    /// was last refused.
    pub(super) fn take_check(&mut self, refused_at: Option<Instant>, now: Instant) -> bool {
        let is_low = self.limit().is_some_and(|limit| limit.interval() > CHECK_INTERVAL);
        let is_useful = is_low && self.check_trust != CheckTrust::Misleading;
        let Some(told_at) = self.told_at.filter(|_| is_useful) else { return false };
        let is_due = now >= told_at + CHECK_INTERVAL && refused_at.is_some_and(|at| at > told_at);
        if is_due {
            self.told_at = Some(now);
        }
        is_due
    }

    /// Notes that a health check of an instance named no limit; returns whether one request is to start,
    /// whose answer tells whether that is so.
    pub(super) fn ask_for_end(&mut self, instance: &UpstreamInstance, now: Instant) -> bool {
        let asks =
            self.instance.as_ref() == Some(instance) && self.check_trust == CheckTrust::Unknown;
        if asks {
            self.check_trust = CheckTrust::Asked(now);
        }
        asks
    }

    /// Returns the limit in force.
    pub(super) fn limit(&self) -> Option<UpstreamLimit> {
        self.limit.limit()
    }
}
