//! State of the other nodes, as learned from their datagrams.

use std::time::{Duration, Instant};

use firspindle_core::connection::{
    DemandReport, EndedFenceList, GossipMessage, HostHash, StateMark, UpstreamLoad,
};
use firspindle_core::request::SuspectHint;
use firspindle_core::version::LogPosition;

/// Newest state of one other node.
#[derive(Debug, Clone)]
pub(crate) struct PeerRow {
    pub(crate) host: Box<str>,
    /// Arrival of the newest datagram from that node.
    pub(crate) received_at: Instant,
    /// Unix time of the start of the peer's process in milliseconds.
    pub(crate) incarnation: u64,
    /// Newest timestamp on the peer's clock, to be echoed to it.
    pub(crate) stamp_ms: u64,
    /// Which records the peer has applied.
    pub(crate) mark: StateMark,
    /// Whether the store answered the peer's last call.
    pub(crate) reaches_store: bool,
    /// Plan version up to which every hold of an earlier holder of the peer's cells has ended.
    pub(crate) settled_version: u64,
    pub(crate) load: UpstreamLoad,
    pub(crate) demand: DemandReport,
    /// End of the plans that the peer attested most recently, and a time before it did so.
    pub(crate) attested: Option<(LogPosition, Instant)>,
    /// Ended fences that the peer reported, to be acknowledged.
    pub(crate) to_acknowledge: EndedFenceList,
    /// Suspected requests in the peer's newest datagram.
    pub(crate) suspects: Vec<SuspectHint>,
    /// Attestations of the holders in the peer's data centre, as it passed them on.
    pub(crate) centre: Vec<CollectedAttestation>,
    /// Attestations of all holders, as the peer passed them on.
    pub(crate) fleet: Vec<CollectedAttestation>,
    /// Relays that the peer named in the order of their duties.
    pub(crate) leaders: Vec<HostHash>,
    /// Newest change of host records that this node has got from the peer.
    pub(crate) got_sequence: u64,
    /// Newest change of host records that the peer has got from this node.
    pub(crate) seen_there: u64,
}

/// Attestations of several holders that a peer collected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CollectedAttestation {
    pub(crate) service: Box<str>,
    /// End of the plans that they attested.
    pub(crate) plan_end: LogPosition,
    /// Who attested, as a sum of hashes.
    pub(crate) covered: u64,
    /// A time before the oldest of them.
    pub(crate) at: Instant,
}

/// State of the other nodes, sorted by host.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerTable {
    rows: Vec<PeerRow>,
}

impl PeerTable {
    /// Updates the sender's row from a datagram to this incarnation and returns it; `None` if the
    /// datagram is older than the row.
    pub(crate) fn update(
        &mut self,
        message: &GossipMessage,
        own_incarnation: u64,
        now: Instant,
    ) -> Option<&mut PeerRow> {
        let found = self.rows.binary_search_by(|row| row.host.cmp(&message.sender.host));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let row = PeerRow {
                    host: message.sender.host.clone(),
                    received_at: now,
                    incarnation: 0,
                    stamp_ms: 0,
                    mark: StateMark::default(),
                    reaches_store: false,
                    settled_version: 0,
                    load: UpstreamLoad::default(),
                    demand: DemandReport::default(),
                    attested: None,
                    to_acknowledge: Vec::new(),
                    suspects: Vec::new(),
                    centre: Vec::new(),
                    fleet: Vec::new(),
                    leaders: Vec::new(),
                    got_sequence: 0,
                    seen_there: 0,
                };
                self.rows.insert(index, row);
                index
            }
        };
        let row = &mut self.rows[index];
        let incarnation = message.sender.incarnation;
        let newer = (incarnation, message.stamp_ms) >= (row.incarnation, row.stamp_ms);
        if !newer {
            return None;
        }
        if incarnation != row.incarnation {
            row.got_sequence = 0;
        }
        row.received_at = now;
        row.incarnation = incarnation;
        row.stamp_ms = message.stamp_ms;
        row.mark = message.mark;
        row.reaches_store = message.reaches_store;
        row.settled_version = message.settled_version;
        row.load = message.load;
        row.suspects.clone_from(&message.suspects);
        row.leaders.clone_from(&message.report.leaders);
        row.got_sequence = row.got_sequence.max(message.report.sequence);
        // What it has seen of an earlier incarnation is numbered otherwise.
        let heard = message.heard_incarnation == own_incarnation;
        row.seen_there = if heard { message.report.seen } else { 0 };
        if let Some(demand) = &message.demand {
            row.demand.clone_from(demand);
        }
        Some(row)
    }

    /// Returns the row of a host.
    pub(crate) fn get(&self, host: &str) -> Option<&PeerRow> {
        let index = self.rows.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.rows[index])
    }

    /// Returns the row of a host for changes.
    pub(crate) fn get_mut(&mut self, host: &str) -> Option<&mut PeerRow> {
        let index = self.rows.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&mut self.rows[index])
    }

    /// Whether a datagram of the host arrived less than `time` ago.
    pub(crate) fn received_within(&self, host: &str, time: Duration, now: Instant) -> bool {
        self.get(host).is_some_and(|row| now < row.received_at + time)
    }

    /// Returns all rows, sorted by host.
    pub(crate) fn rows(&self) -> &[PeerRow] {
        &self.rows
    }
}
