//! Developer tasks of this repository: the demonstration and the measurements.

// Counts are converted for printed tables, where the loss of precision is not visible.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod bench_task;
mod capacity_task;
mod demo_task;
mod fleet_cost;
mod open_loop;
mod placement_task;

use clap::{Parser, Subcommand};

/// Developer tasks of this repository.
#[derive(Parser)]
#[command(name = "xtask", about)]
struct CommandLine {
    #[command(subcommand)]
    task: TaskCommand,
}

#[derive(Subcommand)]
enum TaskCommand {
    /// Demonstrates a fleet on loopback: publishes a manifest, sends a request, kills the owner and
    /// waits until another node has taken over.
    Demo,
    /// Measures the latency that the router adds on loopback.
    Latency,
    /// Measures a deployment under load and faults, compared with a naive baseline.
    Bench {
        /// Deployment to measure.
        #[arg(long, value_enum)]
        deployment: bench_task::DeploymentName,
    },
    /// Compares partition placements for the two deployments and for the target size.
    Placement,
    /// Measures how the cost of the control state grows with the number of nodes.
    Capacity,
}

fn main() {
    match CommandLine::parse().task {
        TaskCommand::Demo => demo_task::run(),
        TaskCommand::Latency => bench_task::measure_added_latency(),
        TaskCommand::Bench { deployment } => bench_task::run(deployment),
        TaskCommand::Placement => placement_task::run(),
        TaskCommand::Capacity => capacity_task::run(),
    }
}
