//! Rebalances simulated loads that the initial assignment of cells does not take into account.

use firspindle_core::connection::{DemandReport, UpstreamLoad};
use firspindle_core::process::{HolderLoad, rebalance_load};
use firspindle_core::version::{CELL_KEYS, CELLS};

/// Number of upstreams.
const HOLDERS: usize = 10;

/// Requests per second for all keys.
const DEMAND: f64 = 250.0;

/// Requests per second that one upstream can run.
const CAPACITY: f64 = 40.0;

/// Requests per second by cell, for 60,000 keys under a Zipf distribution of exponent 0.75 whose
/// busiest keys are adjacent.
fn zipf_demand() -> Vec<f64> {
    let mut cells = vec![0.0; CELLS];
    for rank in 0..60_000_u32 {
        let key = (20_000 + rank as usize) % 65_536;
        cells[key / CELL_KEYS] += 1.0 / f64::from(rank + 1).powf(0.75);
    }
    let total: f64 = cells.iter().sum();
    cells.iter().map(|cell| cell * DEMAND / total).collect()
}

/// Demand of the busiest upstream over the mean demand.
fn peak_over_mean(owners: &[usize], demand: &[f64]) -> f64 {
    let mut held = [0.0; HOLDERS];
    for (cell, owner) in owners.iter().enumerate() {
        held[*owner] += demand[cell];
    }
    held.iter().copied().fold(0.0, f64::max) * HOLDERS as f64 / DEMAND
}

fn demand_report(owners: &[usize], demand: &[f64], holder: usize) -> DemandReport {
    let rows = owners.iter().enumerate().filter(|(_, owner)| **owner == holder);
    let total: f64 = rows.clone().map(|(cell, _)| demand[cell]).sum();
    let rows: Vec<_> = rows.map(|(cell, _)| (cell, (demand[cell] * 10.0) as u32)).collect();
    DemandReport::new((total * 10.0) as u32, &rows)
}

#[test]
fn adjacent_busy_keys_are_spread_in_three_plans() {
    let demand = zipf_demand();
    let mut owners: Vec<_> = (0..CELLS).map(|cell| cell / 12 % HOLDERS).collect();
    assert!(peak_over_mean(&owners, &demand) > 2.0);
    let mut moved = 0;
    for _ in 0..3 {
        let loads: Vec<_> = (0..HOLDERS)
            .map(|holder| HolderLoad {
                capacity: CAPACITY,
                demand: demand_report(&owners, &demand, holder),
                accepts_cells: true,
            })
            .collect();
        for row in rebalance_load(&owners, &loads) {
            owners[row.cell] = row.to;
            moved += 1;
        }
    }
    assert!(peak_over_mean(&owners, &demand) < 1.35, "{}", peak_over_mean(&owners, &demand));
    assert!(moved < CELLS / 20, "{moved}");
}

#[test]
fn an_even_load_moves_no_cells() {
    let demand = vec![DEMAND / CELLS as f64; CELLS];
    let owners: Vec<_> = (0..CELLS).map(|cell| cell / 12 % HOLDERS).collect();
    let load = |holder| HolderLoad {
        capacity: CAPACITY,
        demand: demand_report(&owners, &demand, holder),
        accepts_cells: true,
    };
    let loads: Vec<_> = (0..HOLDERS).map(load).collect();
    assert!(rebalance_load(&owners, &loads).is_empty());
}

#[test]
fn cells_move_away_from_a_slow_upstream() {
    let demand = vec![DEMAND / CELLS as f64; CELLS];
    let owners: Vec<_> = (0..CELLS).map(|cell| cell % HOLDERS).collect();
    let load = |holder: usize| HolderLoad {
        capacity: if holder == 3 { CAPACITY / 4.0 } else { CAPACITY },
        demand: demand_report(&owners, &demand, holder),
        accepts_cells: true,
    };
    let loads: Vec<_> = (0..HOLDERS).map(load).collect();
    let moves = rebalance_load(&owners, &loads);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|row| owners[row.cell] == 3 && row.to != 3));
}

/// Plays plans for an upstream whose load names a limit, until nothing moves; returns the cells that
/// moved.
fn play_limit(owners: &mut [usize], demand: &[f64], limit_milli: u32) -> usize {
    let load = |holder| UpstreamLoad {
        slots: 9,
        service_ms: 225,
        limit_milli: if holder == 3 { limit_milli } else { 0 },
        ..UpstreamLoad::default()
    };
    let mut moved = 0;
    for _ in 0..20 {
        let loads: Vec<_> = (0..HOLDERS)
            .map(|holder| HolderLoad {
                capacity: load(holder).capacity(),
                demand: demand_report(owners, demand, holder),
                accepts_cells: true,
            })
            .collect();
        let moves = rebalance_load(owners, &loads);
        for row in &moves {
            owners[row.cell] = row.to;
        }
        moved += moves.len();
    }
    moved
}

#[test]
fn a_limited_upstream_keeps_the_keys_that_it_can_serve() {
    let demand = zipf_demand();
    let mut owners: Vec<_> = (0..CELLS).map(|cell| cell / 12 % HOLDERS).collect();
    play_limit(&mut owners, &demand, 0);
    let held = |owners: &[usize]| -> f64 {
        demand.iter().zip(owners).filter(|(_, owner)| **owner == 3).map(|(rate, _)| rate).sum()
    };
    assert!(held(&owners) > 20.0);
    let moved = play_limit(&mut owners, &demand, 7_900);
    assert!(held(&owners) <= 7.9, "{} requests a second", held(&owners));
    assert!(moved < CELLS / 10, "{moved} cells moved");
    assert_eq!(play_limit(&mut owners, &demand, 0), 0, "cells moved when the limit ended");
}
