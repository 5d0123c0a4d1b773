//! Random faults and scripted plans.

use firspindle_core::version::{RangePlan, ServiceRanges};
use firspindle_edge::TopicRecord;
use rand::Rng;

use super::super::codec::SERVICE;
use super::{Event, HISTORY_MS, HOSTS, PlanScript, World};

/// Mean number of node ticks per fault: with ten ticks a second and four nodes, a fault about every
/// 900 ms.
const FAULT_TICKS: u32 = 36;

impl World {
    /// Appends the script's plan and cuts the hosts off that are not to learn of it.
    pub(super) fn append_script(&mut self, script: &PlanScript) {
        let rows = &self.topics[2];
        let plan =
            rows.last().and_then(|row| RangePlan::decode(&row.value)).expect("a plan was appended");
        let mut next = plan.clone();
        next.version += 1;
        let ranges = &plan.services[0];
        let from =
            ranges.holder_on(&format!("host-{}", script.from)).expect("the host holds cells");
        let to = ranges.holder_on(&format!("host-{}", script.to));
        let mut holders = ranges.holders.clone();
        if to.is_none() {
            let upstream =
                self.hosts[script.to].upstream.as_ref().expect("the upstream has started");
            holders[from].host = format!("host-{}", script.to).into();
            holders[from].instance = upstream.instance.clone();
        }
        let mut cells = ranges.cells();
        for cell in &mut cells {
            let swapped = match (usize::from(cell.holder), to) {
                (holder, Some(to)) if holder == from => Some(to),
                (holder, Some(to)) if holder == to => Some(from),
                (holder, None) if holder == from => Some(from),
                _ => None,
            };
            if let Some(holder) = swapped {
                cell.holder = u16::try_from(holder).expect("holder indices fit into u16");
                cell.fence = next.version;
            }
        }
        next.services[0] = ServiceRanges::new(SERVICE.into(), holders, &cells);
        let offset = rows.len() as u64;
        let value = next.encode().into();
        self.topics[2].push(TopicRecord { key: "plan".into(), value, offset });
        for host in (0..HOSTS).filter(|host| *host != script.to) {
            self.hosts[host].store_cut_until = HISTORY_MS;
        }
        if script.isolated {
            for host in 0..HOSTS {
                self.hosts[host].cut_until[script.to] = HISTORY_MS;
                self.hosts[script.to].cut_until[host] = HISTORY_MS;
            }
        }
    }

    /// Injects a random fault in one call of [`FAULT_TICKS`] on average.
    pub(super) fn inject_fault(&mut self) {
        let over = self.restores.as_ref().is_some_and(|row| self.now_ms >= row.faults_until);
        if !self.random_faults || over || !self.rng.random_ratio(1, FAULT_TICKS) {
            return;
        }
        let host = self.rng.random_range(0..HOSTS);
        let now = self.now_ms;
        let long = self.rng.random_range(500..9_000);
        let short = self.rng.random_range(200..2_000);
        match self.rng.random_range(0..9) {
            0 => self.kill_node(host, short),
            1 => self.hosts[host].frozen_until = now + long,
            2 | 3 => self.hosts[host].store_cut_until = now + long,
            4 => self.store_down_until = now + long,
            5 => {
                let other = self.rng.random_range(0..HOSTS);
                self.hosts[host].cut_until[other] = now + long;
            }
            6 => {
                // Cut off from all other hosts, and in half of the cases from the store as well.
                for other in 0..HOSTS {
                    self.hosts[host].cut_until[other] = now + long;
                    self.hosts[other].cut_until[host] = now + long;
                }
                if self.rng.random_bool(0.5) {
                    self.hosts[host].store_cut_until = now + long;
                }
            }
            7 => self.crash_upstream(host, short),
            _ => {
                self.kill_node(host, long);
                if self.rng.random_bool(0.5) {
                    self.crash_upstream(host, long);
                }
            }
        }
    }

    pub(super) fn kill_node(&mut self, host: usize, down: u64) {
        self.hosts[host].state = None;
        self.hosts[host].frozen_until = 0;
        self.enqueue(host, 0, down, Event::Start);
    }

    fn crash_upstream(&mut self, host: usize, down: u64) {
        if let Some(upstream) = &mut self.hosts[host].upstream {
            upstream.up = false;
        }
        self.enqueue(host, 0, down, Event::StartUpstream);
    }
}
