//! Parses and runs the commands of `firspindle`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use clap::{Parser, Subcommand};
use firspindle_core::version::ManifestSpec;
use firspindle_edge::read_settings_file;
use firspindle_mesh::process::{MeshSettings, run_mesh_node};
use firspindle_platform::{JsonCodec, LogStore};
use http::{HeaderMap, Method, Uri};
use snafu::ResultExt;

use super::check_command::{CheckArgs, check, read_manifest_text};
use super::node_process::run_node;
use super::process_error::{BadFileSnafu, MeshSnafu, ReadFileSnafu, StartSnafu};
use super::publish_command::{PublishVerdict, publish};
use super::status_page::StatusPage;
use super::{LogClient, NodeSettings, ProcessError, RequestTimeline};
use crate::connection::{ConnectionPool, OutboundRequest};

/// Exit status if a settings file or manifest is unreadable or invalid.
pub(super) const EXIT_BAD_FILE: u8 = 2;

/// Exit status if the published manifest did not come into force.
const EXIT_REFUSED: u8 = 3;

/// Exit status if it is unknown whether the published manifest came into force.
const EXIT_UNKNOWN: u8 = 4;

/// Exit status if no log line is about the request.
const EXIT_NOT_LOGGED: u8 = 5;

/// Time after which fetching a node's status is given up.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Router for services whose servers own their keys exclusively.
#[derive(Debug, Parser)]
#[command(name = "firspindle", version, about)]
pub struct CommandLine {
    #[command(subcommand)]
    command: NodeCommand,
}

#[derive(Debug, Subcommand)]
enum NodeCommand {
    /// Runs the process beside an upstream; SIGTERM drains it.
    Node {
        /// Settings of the node, in TOML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Runs the process beside an upstream on the users' platform; SIGTERM drains it.
    Mesh {
        /// Settings of the node, in TOML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Checks settings or a manifest; exit status 2 with file, line and reason if refused, 1 if a
    /// manifest of mesh nodes has warnings.
    Check(CheckArgs),
    /// Publishes a manifest: exit status 0 accepted, 3 refused, 4 unknown.
    Publish {
        /// Manifest, in TOML.
        #[arg(long, value_name = "FILE")]
        manifest: PathBuf,
        /// URL of the platform's log.
        #[arg(long, value_name = "URL")]
        log: String,
    },
    /// Shows what logs say about one request: each decision in order, with the state behind it.
    Story {
        /// Id of the request.
        #[arg(long, value_name = "ID")]
        id: String,
        /// Logs of nodes.
        #[arg(required = true, value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Shows a node's members, lease, manifest version and partitions.
    Status {
        /// Administration address of the node, as a URL.
        #[arg(long, value_name = "URL")]
        node: String,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

impl CommandLine {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            NodeCommand::Node { settings } => {
                read_settings(&settings).and_then(run_node).map(|()| 0)
            }
            NodeCommand::Mesh { settings } => run_mesh(&settings).map(|()| 0),
            NodeCommand::Check(args) => check(&args),
            NodeCommand::Publish { manifest, log } => publish_manifest(&manifest, &log),
            NodeCommand::Story { id, logs } => print_timeline(&id, &logs),
            NodeCommand::Status { node, json } => print_status(&node, json).map(|()| 0),
        };
        match result {
            Ok(status) => ExitCode::from(status),
            Err(error) => {
                eprintln!("firspindle: {error}");
                ExitCode::from(exit_status(&error))
            }
        }
    }
}

fn exit_status(error: &ProcessError) -> u8 {
    match error {
        ProcessError::BadFile { .. }
        | ProcessError::ReadFile { .. }
        | ProcessError::Unusable { .. } => EXIT_BAD_FILE,
        _ => 1,
    }
}

fn read_file(path: &Path) -> Result<(Box<str>, String), ProcessError> {
    let name: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path: name.clone() })?;
    Ok((name, text))
}

fn read_settings_text(path: &Path) -> Result<(Box<str>, String), ProcessError> {
    let name: Box<str> = path.display().to_string().into();
    let text = read_settings_file(path).context(ReadFileSnafu { path: name.clone() })?;
    Ok((name, text))
}

pub(super) fn read_settings(path: &Path) -> Result<NodeSettings, ProcessError> {
    let (path, text) = read_settings_text(path)?;
    NodeSettings::parse(&text).context(BadFileSnafu { path })
}

pub(super) fn read_mesh_settings(path: &Path) -> Result<MeshSettings, ProcessError> {
    let (path, text) = read_settings_text(path)?;
    MeshSettings::parse(&text).context(BadFileSnafu { path })
}

fn run_mesh(path: &Path) -> Result<(), ProcessError> {
    let settings = read_mesh_settings(path)?;
    run_mesh_node(&settings, JsonCodec::default(), LogStore::new, path).context(MeshSnafu)
}

fn read_manifest(path: &Path) -> Result<(ManifestSpec, String), ProcessError> {
    let (path, text) = read_manifest_text(path)?;
    let spec = ManifestSpec::parse(&text).context(BadFileSnafu { path })?;
    Ok((spec, text))
}

pub(super) fn runtime() -> Result<tokio::runtime::Runtime, ProcessError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartSnafu)
}

fn publish_manifest(path: &Path, log: &str) -> Result<u8, ProcessError> {
    let (spec, text) = read_manifest(path)?;
    let verdict = runtime()?.block_on(publish(LogClient::new(log), &spec, &text));
    Ok(match verdict {
        PublishVerdict::Accepted(version) => {
            println!("accepted as version {version}");
            0
        }
        PublishVerdict::Refused(reason) => {
            eprintln!("firspindle: refused: {reason}");
            EXIT_REFUSED
        }
        PublishVerdict::Unknown(reason) => {
            eprintln!("firspindle: unknown: {reason}");
            EXIT_UNKNOWN
        }
    })
}

/// Prints the log lines about a request; returns exit status 5 if there are none.
fn print_timeline(id: &str, paths: &[PathBuf]) -> Result<u8, ProcessError> {
    let logs: Vec<_> = paths.iter().map(|path| read_file(path)).collect::<Result<_, _>>()?;
    let names =
        paths.iter().map(|path| path.file_stem().map_or("?".into(), |s| s.to_string_lossy()));
    let named: Vec<_> = names.zip(&logs).collect();
    let texts = named.iter().map(|(name, (_, text))| (&**name, text.as_str()));
    let timeline = RequestTimeline::read(id, texts);
    if timeline.is_empty() {
        eprintln!("firspindle: no log line is about request {id}");
        return Ok(EXIT_NOT_LOGGED);
    }
    print!("{timeline}");
    Ok(0)
}

fn print_status(url: &str, json: bool) -> Result<(), ProcessError> {
    let status_error =
        |reason: &str| ProcessError::NoStatus { url: url.into(), reason: reason.into() };
    let uri: Uri = format!("{}/status", url.trim_end_matches('/'))
        .parse()
        .map_err(|_| status_error("not a URL"))?;
    let request =
        OutboundRequest { method: Method::GET, uri, headers: HeaderMap::new(), body: Bytes::new() };
    let response = runtime()?.block_on(async {
        tokio::time::timeout(STATUS_TIMEOUT, ConnectionPool::of_thread().send(request)).await
    });
    let response = response
        .map_err(|_| status_error("timed out"))?
        .map_err(|_| status_error("no response"))?;
    let text = String::from_utf8_lossy(&response.body);
    if json {
        println!("{text}");
        return Ok(());
    }
    let page: StatusPage =
        serde_json::from_str(&text).map_err(|_| status_error("not a status page"))?;
    print!("{page}");
    Ok(())
}
