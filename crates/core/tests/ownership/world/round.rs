//! One round: what arrives, what nodes do, what they send and append.

use std::time::{Duration, Instant};

use firspindle_core::connection::{DedupState, Envelope};
use firspindle_core::process::{LifeCycle, NodeAction};
use firspindle_core::version::LogRecord;

use super::{Fault, World};

impl World {
    pub(super) fn deliver(&mut self) {
        let due: Vec<_> = self.flight.extract_if(.., |row| row.0 <= self.now).collect();
        for (_, from, to, envelope) in due {
            if self.links[from][to] && self.nodes[to].alive {
                self.nodes[to].inbox.push(envelope);
            }
        }
    }

    pub(super) fn step_node(&mut self, index: usize) -> Result<(), Fault> {
        let now = self.local(index, self.now);
        // Either may come first after a pause: bytes in the socket or the clock.
        if self.dice.roll(2) == 0 {
            self.nodes[index].machine.tick(now);
            self.act(index)?;
        }
        if self.nodes[index].reads_log && self.log_up {
            let next = self.nodes[index].machine.state().next_offset;
            for offset in next..=self.log.len() as u64 {
                let record = self.log[usize::try_from(offset).expect("short logs") - 1].clone();
                self.nodes[index].machine.take_record(offset, Some(&record), now);
                self.act(index)?;
            }
        }
        for envelope in std::mem::take(&mut self.nodes[index].inbox) {
            self.nodes[index].machine.take_message(envelope, now);
            self.act(index)?;
        }
        self.report_failures(index, now)?;
        self.report_idle(index, now)?;
        self.nodes[index].machine.tick(now);
        self.act(index)?;
        self.renew_incarnation(index);
        Ok(())
    }

    pub(super) fn report_failures(&mut self, index: usize, _now: Instant) -> Result<(), Fault> {
        let node = &mut self.nodes[index];
        let next = node.machine.state().next_offset;
        let at = self.now;
        let due: Vec<_> =
            node.failed.extract_if(.., |row| row.0 <= at && next > row.2 as u64).collect();
        for (_, record, _) in due {
            self.nodes[index].machine.append_failed(record);
            self.act(index)?;
        }
        Ok(())
    }

    pub(super) fn report_idle(&mut self, index: usize, now: Instant) -> Result<(), Fault> {
        let at = self.now;
        let due: Vec<_> = self.nodes[index].idle_at.extract_if(.., |row| row.0 <= at).collect();
        for (_, partition) in due {
            let dedup_state = DedupState::default();
            self.nodes[index].machine.partition_idle(partition, dedup_state, now);
            self.act(index)?;
        }
        Ok(())
    }

    /// The surroundings start another incarnation after one ended.
    pub(super) fn renew_incarnation(&mut self, index: usize) {
        if !matches!(self.nodes[index].machine.life(), LifeCycle::Gone(_)) {
            return;
        }
        if self.nodes[index].drained {
            self.nodes[index].alive = false;
            return;
        }
        // What the ended incarnation sent runs under its own grant at most.
        self.leave_ghosts(index);
        let boots = self.nodes[index].boots + 1;
        let info = Self::info(index, boots, self.nodes[index].process);
        let now = self.local(index, self.now);
        let node = &mut self.nodes[index];
        let next = node.machine.clone().succeed(info, Duration::from_secs(4), now);
        node.machine = next;
        node.boots = boots;
        node.idle_at.clear();
        node.in_flight.clear();
        node.failed.clear();
        node.drained = false;
    }

    pub(super) fn act(&mut self, index: usize) -> Result<(), Fault> {
        for action in self.nodes[index].machine.take_actions() {
            match action {
                NodeAction::Send { address, envelope } => self.send(index, &address, envelope),
                NodeAction::Append { record } => self.append(index, record),
                NodeAction::Open { partition, fence, .. } => {
                    self.opened += 1;
                    self.note_fence(index, partition, fence)?;
                }
                NodeAction::Refence { partition, fence } => {
                    self.note_fence(index, partition, fence)?;
                }
                NodeAction::Close { partition } => {
                    let end = self.now + Duration::from_millis(self.dice.roll(400));
                    let idle = if self.guards.idle_release { end } else { self.now };
                    self.nodes[index].in_flight.push((end, partition));
                    self.nodes[index].idle_at.push((idle, partition));
                }
                NodeAction::Abandon { .. } | NodeAction::Suspects { .. } | NodeAction::Finished => {
                }
            }
        }
        Ok(())
    }

    pub(super) fn send(&mut self, from: usize, address: &str, envelope: Envelope) {
        let to: usize = address.parse().expect("addresses are indices");
        if !self.links[from][to] || self.dice.roll(50) == 0 {
            return;
        }
        let delay = match self.dice.roll(20) {
            0 => self.dice.roll(3000),
            _ => self.dice.roll(40),
        };
        if self.dice.roll(30) == 0 {
            let late = Duration::from_millis(self.dice.roll(2500));
            self.flight.push((self.now + late, from, to, envelope.clone()));
        }
        self.flight.push((self.now + Duration::from_millis(delay), from, to, envelope));
    }

    pub(super) fn append(&mut self, index: usize, record: LogRecord) {
        let id = record.id;
        let reachable = self.log_up && self.nodes[index].reads_log;
        if reachable {
            self.log.push(record.clone());
            if self.lose_answers && self.dice.roll(2) == 0 {
                // The copy that a retry in the network makes.
                self.log.push(record);
            }
            return;
        }
        let at = self.now + Duration::from_millis(200);
        // Failure is told only after everything on the log now was read.
        self.nodes[index].failed.push((at, id, self.log.len()));
    }
}
