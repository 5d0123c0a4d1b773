//! Tasks of the repository: the demonstration and the measurements.

// Counts become figures of tables, where a lost bit does not show.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod bench_task;
mod capacity_task;
mod demo_task;
mod fleet_cost;
mod open_loop;
mod placement_task;

use clap::{Parser, Subcommand};

/// Tasks of the repository.
#[derive(Parser)]
#[command(name = "xtask", about)]
struct CommandLine {
    #[command(subcommand)]
    task: TaskCommand,
}

#[derive(Subcommand)]
enum TaskCommand {
    /// Runs the whole path on loopback: publish, announce, assign, request, kill, answer.
    Demo,
    /// Measures the latency that the router adds on loopback.
    Latency,
    /// Runs a deployment under load and faults, beside a naive baseline.
    Bench {
        /// Deployment.
        #[arg(long, value_enum)]
        deployment: bench_task::DeploymentName,
    },
    /// Compares placements on the two deployments and at the target size.
    Placement,
    /// Measures the control state against the number of nodes.
    Capacity,
}

fn main() {
    match CommandLine::parse().task {
        TaskCommand::Demo => demo_task::run(),
        TaskCommand::Latency => bench_task::added_latency(),
        TaskCommand::Bench { deployment } => bench_task::run(deployment),
        TaskCommand::Placement => placement_task::run(),
        TaskCommand::Capacity => capacity_task::run(),
    }
}
