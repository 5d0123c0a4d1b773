//! Stand-ins for the platform: a log service, an upstream and a network link, each run as a process
//! of its own.
//!
//! They serve tests, the demonstration and measurements, and are not shipped. Faults are injected
//! over HTTP; the link is cut with signals.

mod boot_time;
mod grant_check;
mod http_server;
mod link_server;
mod log_server;
mod log_store;
mod upstream_journal;
mod upstream_server;

use clap::{Parser, Subcommand};

/// Stand-ins for the platform.
#[derive(Parser)]
#[command(name = "standin", about)]
struct CommandLine {
    #[command(subcommand)]
    role: RoleCommand,
}

#[derive(Subcommand)]
enum RoleCommand {
    /// The platform's log service: appends records and serves them from an offset on.
    Log(log_server::LogArgs),
    /// A TCP link between two processes that can be cut.
    Link(link_server::LinkArgs),
    /// An upstream that announces itself to its node and keeps a journal of the requests it ran.
    Upstream(upstream_server::UpstreamArgs),
}

fn main() {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or("warn"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building a Tokio runtime succeeds");
    let result = match CommandLine::parse().role {
        RoleCommand::Log(args) => runtime.block_on(log_server::serve(args)),
        RoleCommand::Link(args) => runtime.block_on(link_server::serve(args)),
        RoleCommand::Upstream(args) => runtime.block_on(upstream_server::serve(args)),
    };
    if let Err(error) = result {
        eprintln!("standin: {error}");
        std::process::exit(1);
    }
}
