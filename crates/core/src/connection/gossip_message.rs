//! Datagrams between nodes, with the freshness of the store's records, the load of upstreams,
//! ended fences and suspected requests.
//!
//! A later datagram makes up for a lost one. Datagrams report facts and never instruct the
//! receiver; that a fence has ended stays true however late the report arrives.

use serde::{Deserialize, Serialize};

use super::{DemandReport, HostHash, RelayReport, StateMark, UpstreamLimit};
use crate::process::{EndedFence, KeyHandover};
use crate::request::{ClearedRequest, CrashSet, SuspectHint};
use crate::version::{HostRecord, LogPosition, MAX_INCARNATION};

/// Fences that have ended.
pub type EndedFenceList = Vec<EndedFence>;

/// Load of a node's local upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests that wait in the node's queue.
    pub waiting: u32,
    /// Requests that the upstream can run at once; 0 while it accepts no work.
    pub slots: u32,
    /// Mean time of a run in milliseconds; 0 if unknown.
    pub service_ms: u32,
    /// Time that the host's link takes for one more large body after those that it is to carry
    /// already, in milliseconds; 0 if its rate is unknown.
    #[serde(skip)]
    pub link_ms: u32,
    /// Requests that the upstream takes, in thousandths a second; 0 without a limit.
    #[serde(skip)]
    pub limit_milli: u32,
    /// Requests that run at the upstream, as it told last; those of others run still.
    #[serde(skip)]
    pub told_running: u32,
    /// Requests that wait at the upstream, as it told last.
    #[serde(skip)]
    pub told_waiting: u32,
    /// Time that work takes at the upstream now, in percent of `service_ms`; 0 if unknown.
    #[serde(skip)]
    pub pace_percent: u32,
    /// Time for which the upstream stays cold, in milliseconds; 0 if it is warm.
    #[serde(skip)]
    pub cold_ms: u32,
}

impl UpstreamLoad {
    /// Returns the requests per second that the upstream can run, within its limit; 0 if the time of a
    /// run is not known.
    pub fn capacity(&self) -> f64 {
        if self.service_ms == 0 {
            return 0.0;
        }
        let by_slots = f64::from(self.slots) * 1000.0 / f64::from(self.service_ms);
        self.limit().map_or(by_slots, |limit| by_slots.min(limit.per_second()))
    }

    /// Returns the load without what the upstream told, which is believed for a short time.
    #[must_use]
    pub const fn without_told(self) -> Self {
        Self { told_running: 0, told_waiting: 0, pace_percent: 0, ..self }
    }

    /// Expected time of a run now, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        f64::from(self.service_ms) * self.pace_factor()
    }

    /// Factor by which work takes longer now than on average.
    pub fn pace_factor(&self) -> f64 {
        if self.pace_percent == 0 { 1.0 } else { f64::from(self.pace_percent) / 100.0 }
    }

    /// Requests that run at the upstream beyond those that its node sent.
    pub const fn others(&self) -> u32 {
        self.told_running.saturating_sub(self.running)
    }

    /// Returns the limit that the upstream named.
    pub const fn limit(&self) -> Option<UpstreamLimit> {
        UpstreamLimit::from_milli(self.limit_milli)
    }
}

/// Limits of upstreams, a part of a datagram.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LimitTrailer {
    /// Limit of the sender's upstream.
    own: u32,
    /// Limits of the upstreams whose loads a relay passes on; those without one are left out.
    relayed: Vec<(HostHash, u32)>,
}

/// What an upstream told of its load, a part of a datagram.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ToldLoad {
    running: u32,
    waiting: u32,
    pace_percent: u32,
    cold_ms: u32,
}

impl ToldLoad {
    const fn of(load: &UpstreamLoad) -> Self {
        Self {
            running: load.told_running,
            waiting: load.told_waiting,
            pace_percent: load.pace_percent,
            cold_ms: load.cold_ms,
        }
    }

    fn apply(self, load: &mut UpstreamLoad) {
        load.told_running = self.running;
        load.told_waiting = self.waiting;
        load.pace_percent = self.pace_percent;
        load.cold_ms = self.cold_ms;
    }
}

/// Loads as upstreams told them, a part of a datagram.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ToldTrailer {
    /// Of the sender's upstream.
    own: ToldLoad,
    /// Of the upstreams whose loads a relay passes on; those that told nothing are left out.
    relayed: Vec<(HostHash, ToldLoad)>,
}

/// Tokens of ended fences that have several, by the fence's index; a part of a datagram.
type HandoverTrailer = Vec<(u16, Vec<KeyHandover>)>;

/// Echo of the timestamp in an earlier datagram of the receiver, with the state of the sender's
/// plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoRow {
    /// Timestamp of that datagram, on the receiver's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Offset in the plan log up to which the sender has applied plans, in the epoch of its mark.
    pub plan_end: u64,
    /// Age of the store's confirmation of that end, in milliseconds, when this was sent; `None` if
    /// the end is not confirmed.
    pub age_ms: Option<u64>,
    /// Whether the sender attests that nothing was granted to its upstream under a later plan.
    pub attests: bool,
}

/// One datagram from a node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Record of the sender, as it is or will be stored.
    pub sender: HostRecord,
    /// Timestamp on the sender's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Echo of the newest timestamp received from the receiver; `None` before its first datagram.
    pub echo: Option<EchoRow>,
    /// Offsets in the logs of plans, hosts and manifests, in this order, up to which the sender has
    /// applied records, in the epoch of its mark.
    pub ends: [u64; 3],
    /// Whether the store answered the sender's last call.
    pub reaches_store: bool,
    /// Plan version up to which every hold of an earlier holder of the sender's cells has ended.
    pub settled_version: u64,
    /// Load of the sender's upstream.
    pub load: UpstreamLoad,
    /// Request rate for the keys of that upstream; `None` unless the receiver may plan.
    pub demand: Option<DemandReport>,
    /// Ended fences of cells that the receiver's upstream holds next.
    pub ended: EndedFenceList,
    /// Ended fences that the receiver reported and the sender has recorded.
    pub acknowledged: EndedFenceList,
    /// Requests that the sender suspects of crashing upstreams.
    pub suspects: Vec<SuspectHint>,
    /// The same for requests that upstreams answered shortly before they crashed.
    #[serde(skip)]
    pub answered_suspects: Vec<SuspectHint>,
    /// Crashes, and the requests that had ended within the last seconds before.
    #[serde(skip)]
    pub crash_sets: Vec<CrashSet>,
    /// Requests that upstreams have outlived by seconds.
    #[serde(skip)]
    pub cleared_requests: Vec<ClearedRequest>,
    /// What relays pass on.
    #[serde(skip)]
    pub report: RelayReport,
    /// Which records the sender has applied.
    #[serde(skip)]
    pub mark: StateMark,
    /// Incarnation of the receiver that sent the newest datagram which the sender has; 0 without one. The
    /// echo, and the changes seen, are of that incarnation.
    #[serde(skip)]
    pub heard_incarnation: u64,
    /// Time since the store was last known to have no manifest that the sender has not applied, in
    /// milliseconds, when this was sent; `None` if it never was.
    #[serde(skip)]
    pub manifest_age_ms: Option<u64>,
}

impl GossipMessage {
    /// Returns a datagram that says who sends it, and nothing else.
    pub fn new(sender: HostRecord, stamp_ms: u64) -> Self {
        Self {
            sender,
            stamp_ms,
            echo: None,
            ends: [0; 3],
            reaches_store: false,
            settled_version: 0,
            load: UpstreamLoad::default(),
            demand: None,
            ended: Vec::new(),
            acknowledged: Vec::new(),
            suspects: Vec::new(),
            answered_suspects: Vec::new(),
            crash_sets: Vec::new(),
            cleared_requests: Vec::new(),
            report: RelayReport::default(),
            mark: StateMark::default(),
            heard_incarnation: 0,
            manifest_age_ms: None,
        }
    }

    /// Encodes the datagram. Fields that earlier versions do not know follow the others, so that
    /// nodes of both versions understand each other.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend(postcard::to_allocvec(&self.load.link_ms).unwrap_or_default());
        bytes.extend(postcard::to_allocvec(&self.report).unwrap_or_default());
        let limited = self.report.loads.iter().filter(|row| row.load.limit_milli > 0);
        let limits = LimitTrailer {
            own: self.load.limit_milli,
            relayed: limited.map(|row| (row.host, row.load.limit_milli)).collect(),
        };
        bytes.extend(postcard::to_allocvec(&limits).unwrap_or_default());
        let state = (self.mark, self.heard_incarnation, self.manifest_age_ms);
        bytes.extend(postcard::to_allocvec(&state).unwrap_or_default());
        let relayed = self.report.loads.iter().map(|row| (row.host, ToldLoad::of(&row.load)));
        let told = ToldTrailer {
            own: ToldLoad::of(&self.load),
            relayed: relayed.filter(|row| row.1 != ToldLoad::default()).collect(),
        };
        bytes.extend(postcard::to_allocvec(&told).unwrap_or_default());
        bytes.extend(postcard::to_allocvec(&self.mark.evacuations).unwrap_or_default());
        bytes.extend(postcard::to_allocvec(&self.answered_suspects).unwrap_or_default());
        bytes.extend(postcard::to_allocvec(&self.handover_parts()).unwrap_or_default());
        let ended = (&self.crash_sets, &self.cleared_requests);
        bytes.extend(postcard::to_allocvec(&ended).unwrap_or_default());
        bytes
    }

    /// Decodes a datagram; `None` if the bytes are malformed or a host record contradicts itself.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let is_consistent = |message: &Self| {
            message.sender.is_consistent()
                && message.report.records.iter().all(HostRecord::is_consistent)
                && message.heard_incarnation <= MAX_INCARNATION
        };
        Self::decode_fields(bytes).filter(is_consistent)
    }

    fn decode_fields(bytes: &[u8]) -> Option<Self> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        message.mark.plan_position = LogPosition::new(0, message.ends[0]);
        let Ok((link_ms, rest)) = postcard::take_from_bytes(rest) else { return Some(message) };
        message.load.link_ms = link_ms;
        let Ok((report, rest)) = postcard::take_from_bytes(rest) else { return Some(message) };
        message.report = report;
        let Ok((limits, rest)) = postcard::take_from_bytes::<LimitTrailer>(rest) else {
            return Some(message);
        };
        message.load.limit_milli = limits.own;
        for (host, limit_milli) in limits.relayed {
            for row in message.report.loads.iter_mut().filter(|row| row.host == host) {
                row.load.limit_milli = limit_milli;
            }
        }
        let Ok((state, rest)) = postcard::take_from_bytes(rest) else { return Some(message) };
        (message.mark, message.heard_incarnation, message.manifest_age_ms) = state;
        let Ok((told, rest)) = postcard::take_from_bytes::<ToldTrailer>(rest) else {
            return Some(message);
        };
        told.own.apply(&mut message.load);
        for (host, load) in told.relayed {
            for row in message.report.loads.iter_mut().filter(|row| row.host == host) {
                load.apply(&mut row.load);
            }
        }
        let Ok((evacuations, rest)) = postcard::take_from_bytes(rest) else { return Some(message) };
        message.mark.evacuations = evacuations;
        let Ok((suspects, rest)) = postcard::take_from_bytes(rest) else { return Some(message) };
        message.answered_suspects = suspects;
        let Ok((parts, rest)) = postcard::take_from_bytes::<HandoverTrailer>(rest) else {
            return Some(message);
        };
        for (index, parts) in parts {
            if let Some(row) = message.ended.get_mut(usize::from(index)) {
                row.parts = parts;
            }
        }
        (message.crash_sets, message.cleared_requests) =
            postcard::from_bytes(rest).unwrap_or_default();
        Some(message)
    }

    /// Returns the tokens of ended fences that have several.
    fn handover_parts(&self) -> HandoverTrailer {
        let rows = self.ended.iter().enumerate().filter(|(_, row)| !row.parts.is_empty());
        rows.filter_map(|(index, row)| Some((u16::try_from(index).ok()?, row.parts.clone())))
            .collect()
    }
}
