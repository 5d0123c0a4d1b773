//! Reads of a store that may be restored, as `store_watch` makes them: each takes a time to the store and
//! back, and may wait there for records.

use firspindle_core::version::{LogEpoch, LogPosition};
use firspindle_edge::StateTopic;
use firspindle_mesh::process::ReadStart;

use rand::Rng;

use super::event::{Event, ReadCall};
use super::store::newest;
use super::{TOPICS, World};

/// Time between two looks of a reader at the schedule, and of the store at a topic for which a read
/// waits, in milliseconds.
const POLL_MS: u64 = 50;

/// Time before a failed read is repeated, in milliseconds.
const RETRY_MS: u64 = 250;

/// Time after which a read counts as unanswered, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;

/// How far a node has read one topic.
#[derive(Debug, Default)]
pub(super) struct TopicReader {
    /// Whether the reader has left the wait after the start of its node.
    started: bool,
    /// Whether the newest records are known, and those after them are read.
    has_snapshot: bool,
    /// Epoch of the position that is read from.
    epoch: LogEpoch,
    /// When the read ended after which the reader waits for its interval, in milliseconds.
    done_at: Option<u64>,
}

impl World {
    /// Begins a read if the schedule asks for one; otherwise looks again later.
    pub(super) fn begin_read(&mut self, host: usize, index: usize) {
        let (now, now_ms, incarnation) = (self.now(), self.now_ms, self.hosts[host].incarnation);
        let row = &mut self.hosts[host];
        let state = row.state.as_ref().expect("the node is running");
        let schedule = state.read_schedule(TOPICS[index], now);
        let reader = &mut row.readers[index];
        if !reader.started && schedule.start != ReadStart::Wait {
            reader.started = true;
            reader.has_snapshot = schedule.start == ReadStart::Following;
            reader.epoch = schedule.from.epoch;
        }
        let interval = u64::try_from(schedule.interval.as_millis()).expect("a short time");
        let early = reader.done_at.is_some_and(|done_at| now_ms < done_at + interval);
        if !reader.started || schedule.paused || early {
            return self.enqueue(host, incarnation, POLL_MS, Event::Read(index));
        }
        reader.done_at = None;
        if schedule.from.epoch != reader.epoch {
            reader.epoch = schedule.from.epoch;
            reader.has_snapshot &= schedule.from.offset > 0;
        }
        let wait = u64::try_from(schedule.wait.as_millis()).expect("a short time");
        let snapshot = !reader.has_snapshot;
        let call = ReadCall {
            index,
            snapshot,
            from: schedule.from,
            began: now,
            until: now_ms + if snapshot { 0 } else { wait },
            incarnation,
        };
        let delay = self.delay();
        self.enqueue(host, 0, delay, Event::StoreRead(call));
    }

    /// Answers a read that has reached the store, or lets it wait.
    pub(super) fn answer_read(&mut self, host: usize, call: ReadCall) {
        let ReadCall { index, snapshot, from, began, until, incarnation } = call;
        if !self.store_reachable(host) {
            self.enqueue(host, incarnation, CALL_TIMEOUT_MS, Event::ReadFailed);
            let delay = CALL_TIMEOUT_MS + RETRY_MS;
            return self.enqueue(host, incarnation, delay, Event::Read(index));
        }
        let (delay, rows) = (self.delay(), &self.topics[index]);
        let end = LogPosition::new(self.log_epoch, rows.len() as u64);
        if !snapshot && from.offset > end.offset {
            let event = Event::ReadExpired { index, epoch: self.log_epoch };
            return self.enqueue(host, incarnation, delay, event);
        }
        if !snapshot && from.offset == end.offset && self.now_ms < until {
            return self.enqueue(host, 0, POLL_MS, Event::StoreRead(call));
        }
        let mut values: Vec<_> = match snapshot {
            true => newest(rows),
            false => rows.iter().filter(|row| row.offset >= from.offset).cloned().collect(),
        };
        if !snapshot && values.len() > 1 && self.rng.random_bool(0.2) {
            // The store bounds a read by size.
            values.truncate(1);
        }
        let topic = TOPICS[index];
        let event = Event::ReadDone { topic, snapshot, from, values, end, at: began };
        self.enqueue(host, incarnation, delay, event);
    }

    /// Notes that a read was answered, and begins the next when it is due.
    pub(super) fn finish_read(
        &mut self,
        host: usize,
        topic: StateTopic,
        snapshot: bool,
        from: LogPosition,
        end: LogPosition,
    ) {
        if self.restores.is_none() {
            return;
        }
        let index = TOPICS.iter().position(|row| *row == topic).expect("every topic is listed");
        let (now_ms, incarnation) = (self.now_ms, self.hosts[host].incarnation);
        let reader = &mut self.hosts[host].readers[index];
        let replaced = !snapshot && from.epoch != end.epoch;
        if snapshot {
            reader.has_snapshot = true;
            reader.epoch = reader.epoch.max(end.epoch);
        } else if !replaced {
            reader.done_at = Some(now_ms);
        }
        let delay = if replaced { RETRY_MS } else { 1 };
        self.enqueue(host, incarnation, delay, Event::Read(index));
    }

    /// Reads the newest records next, as the store does not have the position of the last read.
    pub(super) fn expire_read(&mut self, host: usize, index: usize, epoch: LogEpoch) {
        let now = self.now();
        let state = self.hosts[host].state.as_mut().expect("the node is running");
        state.enter_epoch(epoch, now);
        let incarnation = self.hosts[host].incarnation;
        self.hosts[host].readers[index].has_snapshot = false;
        self.enqueue(host, incarnation, RETRY_MS, Event::Read(index));
    }
}
