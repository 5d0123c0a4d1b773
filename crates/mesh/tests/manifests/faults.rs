//! Random faults: hosts that the store turns away or does not hear, frozen nodes, one-way cuts,
//! restarts.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::model::{FleetModel, StoreLink};

/// Simulated length of a history, in milliseconds.
const HISTORY_MS: u64 = 60_000;

const LINKS: [StoreLink; 5] = [
    StoreLink::Open,
    StoreLink::Refused,
    StoreLink::ManifestsRefused,
    StoreLink::PlansRefused,
    StoreLink::Cut,
];

/// Runs a fleet with random faults while a manifest is written about each second.
pub fn run_history(seed: u64, hosts: usize, centres: usize) -> FleetModel {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = FleetModel::new(hosts, centres);
    fleet.run(6_000);
    let (mut next_fault, mut next_manifest) = (fleet.now_ms, fleet.now_ms);
    // Some histories change seldom, so that each state lasts for longer than hosts need to be in touch.
    let pause = *[300, 1_500, 5_000].get(rng.random_range(0..3)).expect("an index in range");
    while fleet.now_ms < HISTORY_MS {
        fleet.run(next_fault.min(next_manifest) - fleet.now_ms);
        if fleet.now_ms == next_manifest {
            fleet.write_manifest();
            next_manifest += rng.random_range(300..2_000);
        } else {
            inject_fault(&mut fleet, &mut rng, hosts, centres);
            next_fault += rng.random_range(1..2 * pause);
        }
    }
    fleet
}

fn inject_fault(fleet: &mut FleetModel, rng: &mut StdRng, hosts: usize, centres: usize) {
    let host = rng.random_range(0..hosts);
    let relays = centres * 2;
    let relay = rng.random_range(0..relays);
    let [from, to] = [(); 2].map(|()| rng.random_range(0..centres));
    let link = LINKS[rng.random_range(0..LINKS.len())];
    match rng.random_range(0..14) {
        0 => fleet.set_link(host, link),
        1 => fleet.set_link(relay, link),
        2 => (0..relays).for_each(|relay| fleet.set_link(relay, link)),
        3 => {
            let chosen: Vec<_> = (0..hosts).filter(|_| rng.random_bool(0.5)).collect();
            for host in chosen {
                fleet.set_link(host, link);
            }
        }
        4 => (from..hosts).step_by(centres).for_each(|host| fleet.set_link(host, link)),
        5 => fleet.freeze(relay, rng.random_range(200..6_000)),
        6 => fleet.freeze(host, rng.random_range(200..6_000)),
        7 => (0..hosts).filter(|row| *row != relay).for_each(|other| {
            fleet.cuts.insert((relay, other));
        }),
        8 => (0..hosts).filter(|row| *row != relay).for_each(|other| {
            fleet.cuts.insert((other, relay));
        }),
        9 if from != to => {
            for a in (from..hosts).step_by(centres) {
                for b in (to..hosts).step_by(centres) {
                    fleet.cuts.insert((a, b));
                }
            }
        }
        12 => fleet.restart(host),
        13 => fleet.restart(relay),
        10 => (0..hosts).for_each(|host| fleet.set_link(host, StoreLink::Open)),
        _ => fleet.cuts.clear(),
    }
}
