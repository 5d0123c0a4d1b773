//! The `firspindle` command.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use env_logger::Target;
use firspindle::process::CommandLine;
use firspindle_edge::LogQueue;

/// Longest wait at exit for the reader of stderr to take the queued log lines.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.format_timestamp_millis();
    let drain = LogQueue::start(std::io::stderr()).ok().map(|(queue, drain)| {
        builder.target(Target::Pipe(Box::new(queue)));
        drain
    });
    builder.init();
    let status = CommandLine::parse().run();
    if let Some(drain) = drain {
        drain.wait(LOG_DRAIN_TIMEOUT);
    }
    status
}
