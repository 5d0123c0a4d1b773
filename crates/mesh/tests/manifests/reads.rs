//! Reads of the store, as the tasks of a node make them: when they begin, wait and fail.

use std::time::Duration;

use firspindle_core::version::LogPosition;
use firspindle_edge::{ReadBatch, StateTopic};
use firspindle_mesh::process::ReadStart;

use crate::model::{DELAY_MS, Event, FleetModel, READ_TOPICS, StoreLink};

/// Time limit for a read, in addition to the time that it asks the store to wait, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;

/// Time before a failed read is repeated, in milliseconds.
const RETRY_MS: u64 = 250;

/// Interval up to which a failed read is repeated at once.
const FREQUENT_INTERVAL: Duration = Duration::from_millis(900);

/// Time that a read may take beyond the time that it asked the store to wait, in milliseconds.
const READ_SLACK_MS: u64 = 400;

/// How the store answered a read, or did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Records,
    Refusal,
    Nothing,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    number: u64,
    from: LogPosition,
    began_at: u64,
    wait: u64,
    /// Whether it waits at the store for a record.
    waits: bool,
    /// Whether it asks for the newest records.
    newest: bool,
}

/// A task that reads one topic.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadTask {
    call: Option<Call>,
    calls: u64,
    /// Whether the newest records were read, or are known from a peer.
    follows: bool,
    /// Epoch that it reads.
    epoch: u64,
    ended_at: u64,
    /// Whether the last read failed.
    failed: bool,
    /// When a read last ended without an answer.
    unanswered_at: u64,
}

impl ReadTask {
    /// Returns the task of a node that knows the newest records.
    pub fn following() -> Self {
        Self { follows: true, ..Self::default() }
    }

    /// Starts the task again; answers to its earlier reads are lost.
    pub fn restart(&mut self) {
        *self = Self { calls: self.calls, ..Self::default() };
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

impl FleetModel {
    /// Begins a read if one is due, or gives up one that is outdated.
    pub fn step_read(&mut self, host: usize, index: usize) {
        let (now, topic) = (self.now_ms, READ_TOPICS[index]);
        let schedule = self.nodes[host].state.read_schedule(topic, self.now());
        let unanswered_at = self.nodes[host].tasks.iter().map(|row| row.unanswered_at).max();
        let task = &mut self.nodes[host].tasks[index];
        if let Some(call) = task.call {
            let limit = millis(schedule.wait) + READ_SLACK_MS;
            let outdated = now > call.began_at + limit || schedule.from > call.from;
            if !outdated && unanswered_at <= Some(call.began_at) {
                return;
            }
            task.call = None;
            task.ended_at = 0;
        }
        if schedule.from.epoch != task.epoch {
            task.epoch = schedule.from.epoch;
            task.follows &= schedule.from.offset > 0;
        }
        match schedule.start {
            _ if task.follows => {}
            ReadStart::Wait => return,
            ReadStart::Following => task.follows = true,
            ReadStart::Newest => {}
        }
        let newest = !task.follows;
        let pause = match task.failed {
            true if schedule.interval > FREQUENT_INTERVAL => RETRY_MS + millis(schedule.interval),
            true => RETRY_MS,
            false if newest => 0,
            false => millis(schedule.interval),
        };
        if schedule.paused || (task.ended_at > 0 && now < task.ended_at + pause) {
            return;
        }
        task.calls += 1;
        let number = task.calls;
        let wait = if newest { 0 } else { millis(schedule.wait) };
        let from = schedule.from;
        task.call = Some(Call { number, from, began_at: now, wait, waits: false, newest });
        self.calls += 1;
        self.answer_read(host, index, false);
    }

    /// Answers a read that has arrived at the store; one that began earlier because there is a record.
    fn answer_read(&mut self, host: usize, index: usize, woken: bool) {
        let link = match (self.link(host), READ_TOPICS[index]) {
            (StoreLink::Open, StateTopic::Manifests)
                if std::mem::take(&mut self.nodes[host].loses_read) =>
            {
                StoreLink::Cut
            }
            (StoreLink::ManifestsRefused, StateTopic::Manifests)
            | (StoreLink::PlansRefused, StateTopic::Plans) => StoreLink::Refused,
            (StoreLink::ManifestsRefused | StoreLink::PlansRefused, _) => StoreLink::Open,
            (link, _) => link,
        };
        let Some(call) = self.nodes[host].tasks[index].call.as_mut() else { return };
        let ready = READ_TOPICS[index] == StateTopic::Manifests
            && (self.records.len() as u64) > call.from.offset;
        let timeout = (call.began_at + call.wait + CALL_TIMEOUT_MS).saturating_sub(self.now_ms);
        let (delay, answer) = match link {
            StoreLink::Cut => (timeout, Answer::Nothing),
            StoreLink::Refused if woken => (timeout, Answer::Nothing),
            StoreLink::Refused | StoreLink::ManifestsRefused | StoreLink::PlansRefused => {
                (2 * DELAY_MS, Answer::Refusal)
            }
            StoreLink::Open if ready || call.wait == 0 => (2 * DELAY_MS, Answer::Records),
            StoreLink::Open => (call.wait + 2 * DELAY_MS, Answer::Records),
        };
        call.waits = !woken && link == StoreLink::Open && !ready && call.wait > 0;
        let number = call.number;
        self.enqueue(host, delay, Event::Answered(index, number, answer));
    }

    /// Answers the reads of manifests that wait at the store.
    pub fn answer_waiting_reads(&mut self) {
        for host in 0..self.nodes.len() {
            if self.nodes[host].tasks[0].call.is_some_and(|call| call.waits) {
                self.answer_read(host, 0, true);
            }
        }
    }

    /// Handles the end of a read; returns whether it brought records.
    pub fn finish_read(&mut self, host: usize, index: usize, number: u64, answer: Answer) -> bool {
        let (now, at_end, topic) = (self.now(), self.now_ms, READ_TOPICS[index]);
        let link = self.link(host);
        let Some(call) = self.nodes[host].tasks[index].call.filter(|row| row.number == number)
        else {
            return false;
        };
        let timeout = call.began_at + call.wait + CALL_TIMEOUT_MS;
        if answer == Answer::Records && link == StoreLink::Cut && at_end < timeout {
            // The response is lost on its way.
            let event = Event::Answered(index, number, Answer::Nothing);
            self.enqueue(host, timeout - at_end, event);
            return false;
        }
        let began = self.at(call.began_at);
        let node = &mut self.nodes[host];
        let task = &mut node.tasks[index];
        task.call = None;
        task.ended_at = at_end;
        task.failed = answer != Answer::Records;
        if answer == Answer::Nothing {
            task.unanswered_at = at_end;
        }
        if answer != Answer::Records {
            node.state.note_store_answer(false, now);
            return false;
        }
        if call.newest {
            task.follows = true;
            let snapshot = self.newest(topic);
            let state = &mut self.nodes[host].state;
            state.handle_snapshot(topic, &snapshot, began, now);
            if topic == StateTopic::Hosts {
                self.begin_round(host);
            }
            return true;
        }
        let batch = match topic {
            StateTopic::Manifests => {
                let end = LogPosition::new(self.store_epoch, self.records.len() as u64);
                let first = usize::try_from(call.from.offset).expect("a short log");
                let records = self.records[first.min(self.records.len())..].to_vec();
                ReadBatch { records, end }
            }
            _ => ReadBatch { records: Vec::new(), end: LogPosition::new(self.store_epoch, 1) },
        };
        let news = !batch.records.is_empty();
        let shown_at = if news { began } else { began + Duration::from_millis(call.wait) };
        let state = &mut self.nodes[host].state;
        state.handle_records(topic, call.from, &batch, shown_at, now);
        news
    }
}
