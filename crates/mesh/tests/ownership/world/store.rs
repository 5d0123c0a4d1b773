//! The store: reads, conditional writes and lost answers.

use firspindle_core::version::{LogPosition, RangePlan};
use firspindle_edge::{StateTopic, TopicRecord};
use rand::Rng;

use super::event::{AppendCall, Event};
use super::{TOPICS, World};

impl World {
    pub(super) fn read(&mut self, host: usize, index: usize) {
        let incarnation = self.hosts[host].incarnation;
        let topic = TOPICS[index];
        let delay = self.delay();
        if self.store_reachable(host) {
            let snapshot = !std::mem::replace(&mut self.hosts[host].known[index], true);
            let rows = &self.topics[index];
            let end = LogPosition::new(0, rows.len() as u64);
            let state = self.hosts[host].state.as_ref().expect("the node is running");
            let from = state.read_schedule(topic, self.now()).from;
            let values = if snapshot {
                newest(rows)
            } else {
                rows.iter().filter(|row| row.offset >= from.offset).cloned().collect()
            };
            let at = self.now();
            let event = Event::ReadDone { topic, snapshot, from, values, end, at };
            self.enqueue(host, incarnation, delay, event);
        } else {
            self.enqueue(host, incarnation, delay, Event::ReadFailed);
        }
        self.enqueue(host, incarnation, 250, Event::Read(index));
    }

    pub(super) fn enqueue_append(&mut self, host: usize, call: AppendCall) {
        if self.restores.is_some() {
            return self.enqueue_late_append(host, call);
        }
        let topic = call.topic;
        let incarnation = self.hosts[host].incarnation;
        let delay = self.delay();
        let answers = self.rng.random_bool(0.9);
        let reaches = self.store_reachable(host);
        if reaches {
            let event = Event::Append { call, answers };
            self.enqueue(host, incarnation, delay, event);
        }
        if topic == StateTopic::Plans && (!answers || !reaches) {
            self.enqueue(host, incarnation, 900, Event::PlanAppended(None));
        }
    }

    pub(super) fn append(&mut self, host: usize, call: AppendCall, answers: bool) {
        let AppendCall { topic, key, value, at, began } = call;
        let incarnation = self.hosts[host].incarnation;
        let index = TOPICS.iter().position(|row| *row == topic).expect("every topic is listed");
        let rows = &mut self.topics[index];
        let end = rows.len() as u64;
        let done = at.is_none_or(|at| at == end);
        let stored = if self.restores.is_some() && done { RangePlan::decode(&value) } else { None };
        if done {
            rows.push(TopicRecord { key: key.into(), value: value.into(), offset: end });
        }
        if topic == StateTopic::Hosts {
            self.hosts[host].write_end = Some(LogPosition::new(self.log_epoch, end + 1));
        }
        if stored.is_some() {
            self.lose_plan(host);
        }
        if topic == StateTopic::Plans && answers {
            let end = if done { end + 1 } else { end };
            let end = LogPosition::new(self.log_epoch, end);
            if let Some(plan) = stored {
                let event = Event::PlanStored { plan: Box::new(plan), end, began };
                self.enqueue(host, incarnation, 4, event);
            }
            self.enqueue(host, incarnation, 4, Event::PlanAppended(Some(end)));
        }
    }
}

/// Returns the newest record of each key.
pub(super) fn newest(rows: &[TopicRecord]) -> Vec<TopicRecord> {
    let mut newest: Vec<TopicRecord> = Vec::new();
    for row in rows {
        newest.retain(|known| known.key != row.key);
        newest.push(row.clone());
    }
    newest
}
