//! Tasks of the repository: the demonstration and the measurements.

mod capacity_task;
mod demo_task;
mod fleet_cost;

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
    /// Measures the control state against the number of nodes.
    Capacity,
}

fn main() {
    match CommandLine::parse().task {
        TaskCommand::Demo => demo_task::run(),
        TaskCommand::Capacity => capacity_task::run(),
    }
}
