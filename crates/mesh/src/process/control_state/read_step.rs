//! Decides how often this node reads each topic of the store.

use std::time::{Duration, Instant};

use firspindle_core::version::LogPosition;
use firspindle_edge::{PlatformCodec, StateTopic};

use super::{ControlState, ReadSchedule, ReadStart};

/// Least number of readers: nodes that read the store often and announce new records to the others.
const MIN_READERS: usize = 2;

/// Hosts per reader, if that makes more than [`MIN_READERS`].
const HOSTS_PER_READER: usize = 50;

/// Time between a reader's reads of the plans. They do not wait at the store, so each confirms the plan
/// as of that moment; who appended a plan announces it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(900);

/// Part of the time until a manifest is in force after which a node reads for itself if nobody is known to
/// have read the manifests since. One read may be lost in the rest.
const CONFIRM_PART: u32 = 2;

/// Time by which what a reader read is older at the other nodes: two rounds of datagrams.
const RELAY_TIME: Duration = Duration::from_millis(600);

/// Least time that the store is asked to hold a read of the manifests.
const MIN_CONFIRM_WAIT: Duration = Duration::from_millis(300);

/// The same for a reader that others show it. A connection that fell silent is noticed soon after.
const MANIFEST_WAIT: Duration = Duration::from_millis(3_000);

/// The same while the store does not answer.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(300);

/// Time after the start for which a node waits for the state of a relay before it reads manifests and
/// plans itself: the relay's own start and two questions.
const START_WAIT: Duration = Duration::from_millis(1_000);

/// Hosts that together read the store about as often as one reader, while it does not answer them.
const SHARING_HOSTS: u32 = 8;

/// Time between reads of nodes that are told of new records by relays.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Time without an answer of a relay after which a node reads the store itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time after the start in which nodes that started together discover each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(8);

/// Time between reads of the host records during discovery.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(900);

/// Greatest age of what others read, plans or manifests, below which a node relies on them.
const PEER_CONFIRM_AGE: Duration = Duration::from_millis(1_600);

/// Time that peers have to send records that this node knows that they have, before it reads the store.
const PEER_FETCH_TIME: Duration = Duration::from_millis(300);

/// Least time between two such reads.
const BEHIND_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Time between the hosts, by name, that read for themselves once nobody else does, so that some hear
/// of the reads of others and need none.
const TAKEOVER_SPACING: Duration = Duration::from_millis(3);

/// Time in which all hosts do so, however many there are.
const TAKEOVER_TIME: Duration = Duration::from_millis(300);

/// Returns the time between reads of a node that has been behind for a time: it doubles while that does.
fn behind_pause(behind: Duration) -> Duration {
    let mut pause = BEHIND_READ_INTERVAL;
    while pause * 2 < behind && pause < IDLE_INTERVAL {
        pause *= 2;
    }
    pause
}

impl<C: PlatformCodec> ControlState<C> {
    /// Returns how a topic is to be read at present. The readers, the first of the relays, read often;
    /// the others are told of new records and read often only if nobody tells them.
    pub fn read_schedule(&self, topic: StateTopic, now: Instant) -> ReadSchedule {
        let reader = self.is_reader(now);
        let told = !reader && self.told_recently(now);
        let (plan_end, confirmed_at) =
            (self.confirmation.position(), self.confirmation.confirmed_at());
        let plan_interval = match told {
            // A plan that was applied a moment ago is about to be confirmed.
            true => {
                let known_at = confirmed_at.max(self.plan_applied_at);
                let interval = self.told_interval(known_at, PEER_CONFIRM_AGE, now);
                interval.min(self.behind_interval(self.heard.plans_since(), now))
            }
            false => CONFIRM_INTERVAL,
        };
        let (from, wait, interval) = match topic {
            StateTopic::Manifests if told => {
                let interval =
                    self.told_interval(self.manifests_known_at, self.manifest_age_limit(), now);
                let behind = self.behind_interval(self.heard.manifests_since(), now);
                let interval = interval.min(behind);
                (self.manifest_end(), Duration::ZERO, interval)
            }
            StateTopic::Manifests => (self.manifest_end(), self.manifest_wait(now), Duration::ZERO),
            StateTopic::Hosts => (self.hosts_end, Duration::ZERO, self.hosts_interval(now)),
            StateTopic::Plans => (plan_end, Duration::ZERO, plan_interval),
        };
        // While the store does not answer, a read is to fail soon: its failure restarts the other
        // reads that hang.
        let limit = if reader && !self.reaches_store { UNREACHABLE_WAIT } else { wait };
        let start = self.read_start(topic, now);
        // While the store does not answer, one topic is enough to notice its return, if it is read.
        let probed = plan_interval < IDLE_INTERVAL;
        let paused = self.store_backoff.is_failing() && topic != StateTopic::Plans && probed;
        ReadSchedule { from, wait: wait.min(limit), interval, start, paused }
    }

    /// Returns whether a topic whose newest records this node has not read is to be read now. The hosts
    /// are read at once; a node that starts again gets manifest and plan from a relay, unless it is one
    /// or none answers in time. A host that starts for the first time reads the plans: one that knows
    /// every plan from the first on need not wait for holds under plans that it missed.
    fn read_start(&self, topic: StateTopic, now: Instant) -> ReadStart {
        let known = match topic {
            StateTopic::Manifests => {
                self.manifest.is_some() && self.evacuations.set().position().is_some()
            }
            StateTopic::Hosts => return ReadStart::Newest,
            StateTopic::Plans => self.plan_known,
        };
        let waits = !self.hosts_known
            || match topic {
                StateTopic::Plans => !self.first_start && !self.duties.relays,
                _ => !self.duties.relays,
            };
        match known {
            true => ReadStart::Following,
            false if waits && now < self.started_at + START_WAIT => ReadStart::Wait,
            false => ReadStart::Newest,
        }
    }

    /// Whether a relay sent a datagram recently, so that this node learns of new records without
    /// reading the store.
    fn told_recently(&self, now: Instant) -> bool {
        self.peers
            .rows()
            .iter()
            .any(|peer| !peer.leaders.is_empty() && now < peer.received_at + RELAY_TIMEOUT)
    }

    /// Returns the time between reads of a topic by a node that others tell of its records: none once
    /// nobody is known to have read it since `known_at`, `limit` ago or a little longer.
    fn told_interval(&self, known_at: Option<Instant>, limit: Duration, now: Instant) -> Duration {
        match known_at {
            Some(at) if now < at + limit + self.takeover_delay() => IDLE_INTERVAL,
            _ => self.store_backoff.pause(self.shared_interval()),
        }
    }

    /// Returns the time between reads of a topic of which a peer is known to have records since a time that
    /// this node lacks. The node turns to the store if peers do not send them, and less and less often if
    /// the store does not have them either.
    fn behind_interval(&self, since: Option<Instant>, now: Instant) -> Duration {
        let Some(since) = since else { return IDLE_INTERVAL };
        let behind = now.saturating_duration_since(since);
        if behind < PEER_FETCH_TIME && !self.fetches.failed_since(since) {
            return IDLE_INTERVAL;
        }
        let pause = self.store_backoff.pause(self.shared_interval());
        behind_pause(behind).max(pause).min(IDLE_INTERVAL)
    }

    /// Returns the time by which this node reads for itself later than the first host by name.
    fn takeover_delay(&self) -> Duration {
        let position = self.hosts.partition_point(|row| row.host < self.settings.host);
        let [position, hosts] = [position, self.hosts.len().max(1)]
            .map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        (TAKEOVER_SPACING * position).min(TAKEOVER_TIME * position / hosts)
    }

    /// Returns the age of what others read of the manifests below which this node relies on them.
    fn manifest_age_limit(&self) -> Duration {
        PEER_CONFIRM_AGE.min(self.settings.bounds.apply / CONFIRM_PART)
    }

    /// Returns the time that the store may hold a read of the manifests by a node that nobody tells of
    /// them. By the reader that shows the others how fresh theirs are it is short: an answer without a
    /// record shows that there was none until then.
    fn manifest_wait(&self, now: Instant) -> Duration {
        let limit = self.manifest_age_limit();
        let follows = self.duty_rank(now).is_some_and(|rank| rank > 0);
        let known = self.manifests_known_at.is_some_and(|at| now < at + limit);
        match follows && known {
            true => MANIFEST_WAIT,
            false => limit.saturating_sub(RELAY_TIME).max(MIN_CONFIRM_WAIT),
        }
    }

    /// Notes a read of the manifests: the store had none beyond `end` at `at`.
    pub(super) fn note_manifests_read(&mut self, end: LogPosition, at: Instant) {
        if end <= self.manifest_end() {
            self.manifests_known_at = self.manifests_known_at.max(Some(at));
        }
    }

    /// Returns the time between two reads of a node if all nodes together read about as often as a
    /// small fleet.
    fn shared_interval(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        CONFIRM_INTERVAL * (hosts / SHARING_HOSTS).max(1)
    }

    /// Returns the time between reads of the host records: short after the start and while a
    /// holder's host is unknown, as nodes that start together may read before the others have
    /// written.
    pub(super) fn hosts_interval(&self, now: Instant) -> Duration {
        let mut holders = self.plan.services.iter().flat_map(|ranges| &ranges.holders);
        let unknown = holders.any(|holder| self.host(&holder.host).is_none());
        if !unknown && now >= self.started_at + DISCOVERY_TIME {
            return IDLE_INTERVAL;
        }
        // Relays pass new records on, so only a node that no relay answers has to find one.
        let told = !self.is_reader(now) && self.told_recently(now);
        if told { IDLE_INTERVAL } else { DISCOVERY_INTERVAL }
    }

    /// Whether this node is a reader: among the first of the relays that reach the store and whose
    /// datagrams arrive here.
    pub(super) fn is_reader(&self, now: Instant) -> bool {
        self.duty_rank(now).is_some_and(|rank| rank < self.reader_count())
    }

    fn reader_count(&self) -> usize {
        MIN_READERS.max(self.hosts.len() / HOSTS_PER_READER)
    }
}
