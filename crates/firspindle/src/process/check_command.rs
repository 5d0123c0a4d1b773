//! `firspindle check --manifest`: checks a manifest before it is published.
//!
//! A manifest of mesh nodes is decoded by the decoder of the nodes, so that both refuse the same texts. Any
//! other manifest is one of services divided by hash, in TOML.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::{Args, ValueEnum};
use firspindle_core::version::{
    CheckBounds, ManifestSpec, RouteManifest, check_manifest, check_version, compare_manifests,
};
use firspindle_edge::{DecodeError, PlatformCodec};
use firspindle_mesh::process::MeshSettings;
use firspindle_platform::{JsonCodec, ManifestText};
use http::{HeaderMap, Method, StatusCode, Uri};
use snafu::ResultExt;

use super::ProcessError;
use super::check_report::{CheckReport, RefusalRow};
use super::command_line::{EXIT_BAD_FILE, read_mesh_settings, read_settings, runtime};
use super::process_error::{BadFileSnafu, ReadFileSnafu};
use crate::connection::{ConnectionPool, OutboundRequest};

/// Longest wait for a node's manifest.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest manifest of mesh nodes, in bytes: the largest answer that is read from the platform's log.
pub(super) const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

/// Arguments of `firspindle check`.
#[derive(Debug, Args)]
#[group(required = true, multiple = true)]
pub(super) struct CheckArgs {
    /// Settings file to check; with a manifest of mesh nodes, the settings of a mesh node that it is
    /// checked against.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Settings file of a mesh node to check.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["settings", "manifest"])]
    mesh_settings: Option<PathBuf>,
    /// Manifest to check: JSON if it begins with a brace or its name ends with .json, else TOML.
    #[arg(long, value_name = "FILE")]
    manifest: Option<PathBuf>,
    /// Manifest in force, as a file or the URL of a node's administration address.
    #[arg(long, value_name = "FILE|URL", requires = "manifest")]
    against: Option<String>,
    /// Form of the output for manifests of mesh nodes.
    #[arg(long, value_name = "FORM", requires = "manifest")]
    output: Option<OutputForm>,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum OutputForm {
    /// Lines for readers.
    Text,
    /// One JSON object.
    Json,
}

/// Content of the file to check.
enum ManifestInput {
    /// Manifest of mesh nodes.
    Json(Vec<u8>),
    /// Manifest of services divided by hash.
    Toml(String),
}

/// Runs the check and returns the exit status.
pub(super) fn check(args: &CheckArgs) -> Result<u8, ProcessError> {
    if let Some(path) = &args.manifest {
        let text = match read_input(path)? {
            ManifestInput::Json(text) => return check_mesh_manifest(args, path, &text),
            ManifestInput::Toml(text) => text,
        };
        if args.settings.is_some() || args.against.is_some() || args.output.is_some() {
            let reason =
                "--settings, --against and --output need a manifest of mesh nodes, in JSON";
            return Err(unusable(&path.display().to_string(), reason));
        }
        let path = path.display().to_string();
        ManifestSpec::parse(&text).context(BadFileSnafu { path })?;
    } else if let Some(path) = &args.settings {
        read_settings(path)?;
    }
    if let Some(path) = &args.mesh_settings {
        read_mesh_settings(path)?;
    }
    println!("ok");
    Ok(0)
}

fn check_mesh_manifest(args: &CheckArgs, path: &Path, text: &[u8]) -> Result<u8, ProcessError> {
    let name = path.display().to_string();
    let settings = args.settings.as_deref().map(read_mesh_settings).transpose()?;
    let json = args.output == Some(OutputForm::Json);
    let manifest = match decode(text) {
        Ok(manifest) => manifest,
        Err(error) => {
            let refusal = RefusalRow::new(text, &error);
            if json {
                println!("{}", CheckReport::refused(&name, refusal).to_json());
                return Ok(EXIT_BAD_FILE);
            }
            return Err(unusable(&name, &refusal.to_string()));
        }
    };
    let bounds = settings.as_ref().map(check_bounds);
    let mut findings = check_manifest(&manifest, bounds.as_ref());
    let mut changes = None;
    if let Some(against) = &args.against {
        let old = read_other(against)?;
        findings.extend(check_version(&old, &manifest));
        changes = Some(compare_manifests(&old, &manifest));
    }
    let report = CheckReport::new(&name, &ManifestText::new(text), &findings, changes.as_deref());
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    Ok(u8::from(report.has_warnings()))
}

fn decode(text: &[u8]) -> Result<RouteManifest, DecodeError> {
    JsonCodec::default().decode_manifest(text)
}

fn check_bounds(settings: &MeshSettings) -> CheckBounds {
    let bounds = &settings.bounds;
    CheckBounds {
        retry_ratio: bounds.retry_ratio,
        retry_allowance: bounds.retry_allowance,
        memory: bounds.memory,
    }
}

fn unusable(place: &str, reason: &str) -> ProcessError {
    ProcessError::Unusable { place: place.into(), reason: reason.into() }
}

/// Reads the first bytes of a file, one more than a manifest may have.
fn read_start(file: &mut File) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    file.take(MAX_MANIFEST_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn read_file(path: &str) -> Result<Bytes, ProcessError> {
    let read = File::open(path).and_then(|mut file| read_start(&mut file));
    Ok(read.context(ReadFileSnafu { path })?.into())
}

/// Reads the text of a manifest, with the name of its file.
pub(super) fn read_manifest_text(path: &Path) -> Result<(Box<str>, String), ProcessError> {
    let name: Box<str> = path.display().to_string().into();
    let read = File::open(path).and_then(|mut file| read_start(&mut file));
    let bytes = read.context(ReadFileSnafu { path: name.clone() })?;
    check_size(&name, &bytes)?;
    let text = std::io::read_to_string(&bytes[..]).context(ReadFileSnafu { path: name.clone() })?;
    Ok((name, text))
}

/// Reads the manifest to check. The file is read once, as it may be a pipe.
fn read_input(path: &Path) -> Result<ManifestInput, ProcessError> {
    let name: Box<str> = path.display().to_string().into();
    let mut file = File::open(path).context(ReadFileSnafu { path: name.clone() })?;
    let bytes = read_start(&mut file).context(ReadFileSnafu { path: name.clone() })?;
    let is_named = path.extension().is_some_and(|ending| ending.eq_ignore_ascii_case("json"));
    // No TOML text begins with a brace. A mark of the byte order is refused by nodes, so by the check.
    let begin = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(&bytes).trim_ascii_start();
    if is_named || begin.first() == Some(&b'{') {
        check_size(&name, &bytes)?;
        return Ok(ManifestInput::Json(bytes));
    }
    if !bytes.is_empty() {
        check_size(&name, &bytes)?;
    }
    let text = std::io::read_to_string(&bytes[..]).context(ReadFileSnafu { path: name })?;
    Ok(ManifestInput::Toml(text))
}

fn check_size(place: &str, text: &[u8]) -> Result<(), ProcessError> {
    if text.len() > MAX_MANIFEST_BYTES {
        let reason = format!("a manifest must not exceed {MAX_MANIFEST_BYTES} bytes");
        return Err(unusable(place, &reason));
    }
    if text.is_empty() {
        return Err(unusable(place, "is empty"));
    }
    Ok(())
}

/// Reads the manifest to compare with, from a file or a node.
fn read_other(place: &str) -> Result<RouteManifest, ProcessError> {
    let text = if place.contains("://") { fetch(place)? } else { read_file(place)? };
    check_size(place, &text)?;
    decode(&text).map_err(|error| unusable(place, &RefusalRow::new(&text, &error).to_string()))
}

fn fetch(url: &str) -> Result<Bytes, ProcessError> {
    if !url.starts_with("http://") {
        return Err(unusable(url, "only URLs that begin with http:// are supported"));
    }
    let uri: Uri = format!("{}/manifest", url.trim_end_matches('/'))
        .parse()
        .map_err(|_| unusable(url, "not a URL"))?;
    let request =
        OutboundRequest { method: Method::GET, uri, headers: HeaderMap::new(), body: Bytes::new() };
    let response = runtime()?.block_on(async {
        tokio::time::timeout(NODE_TIMEOUT, ConnectionPool::of_thread().send(request)).await
    });
    let response = response
        .map_err(|_| unusable(url, "the node did not answer within 3 s"))?
        .map_err(|_| unusable(url, "the node did not answer"))?;
    if response.status != StatusCode::OK {
        let body = String::from_utf8_lossy(&response.body[..response.body.len().min(200)]);
        return Err(unusable(
            url,
            &format!("the node answered {}: {}", response.status, body.trim()),
        ));
    }
    Ok(response.body)
}
