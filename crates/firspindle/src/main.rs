//! The `firspindle` command.

use std::process::ExitCode;

use clap::Parser;
use firspindle::process::CommandLine;

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter).format_timestamp_millis().init();
    CommandLine::parse().run()
}
