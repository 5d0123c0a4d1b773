//! Stand-ins for the platform: a log and an upstream, each a process of its own.
//!
//! They are for tests, demonstrations and measurements and are never shipped. Faults are set
//! over HTTP.

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
    /// The platform's log: append, and read from an offset.
    Log(log_server::LogArgs),
    /// A link between processes that can be cut.
    Link(link_server::LinkArgs),
    /// An upstream that announces itself and keeps a journal of what it ran.
    Upstream(upstream_server::UpstreamArgs),
}

fn main() {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or("warn"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
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
