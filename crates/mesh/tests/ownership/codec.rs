//! A platform codec for tests that hands replies over without encoding them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::{CallerLimits, ColdTerms, MeshService, RouteManifest};
use firspindle_edge::{DecodeError, HeaderNames, PlatformCodec};
use http::HeaderName;

/// Name of the only service, which is sharded by key range.
pub const SERVICE: &str = "orders";

/// Name of the service that replaces it.
pub const OTHER_SERVICE: &str = "parcels";

/// Least version of a manifest whose service has cold terms.
pub const COLD_VERSION: u64 = 1_000_000;

/// Least version of a manifest that names [`OTHER_SERVICE`] in place of [`SERVICE`].
pub const DROPPED_VERSION: u64 = 2_000_000;

/// A codec that stores the latest reply instead of encoding it.
#[derive(Debug, Clone)]
pub struct TestCodec {
    headers: HeaderNames,
    pub reply: Arc<Mutex<Option<GrantReply>>>,
}

impl TestCodec {
    pub fn new() -> Self {
        let name = HeaderName::from_static("test");
        let headers = HeaderNames {
            request_id: name.clone(),
            time_left_ms: name.clone(),
            signature: name.clone(),
            expected_upstream: name.clone(),
            upstream_id: name.clone(),
            load: name.clone(),
            cold_ms: name.clone(),
            limit: name.clone(),
            leaving: name.clone(),
            not_run: name.clone(),
            caller_service: name.clone(),
            key: name,
        };
        Self { headers, reply: Arc::default() }
    }
}

impl PlatformCodec for TestCodec {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn manifest_key(&self) -> &'static str {
        "manifest"
    }

    fn evacuation_prefix(&self) -> &'static str {
        "evacuate/"
    }

    /// The value of a manifest is its version as a text; from [`COLD_VERSION`] on with cold terms,
    /// from [`DROPPED_VERSION`] on of the other service.
    fn decode_manifest(&self, value: &[u8]) -> Result<RouteManifest, DecodeError> {
        let version = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        let version = version.ok_or_else(|| DecodeError::new("version", "not a number"))?;
        let terms = ColdTerms { duration: Duration::from_secs(3), per_second: 14.0 };
        let service = MeshService {
            name: if version < DROPPED_VERSION { SERVICE } else { OTHER_SERVICE }.into(),
            health_path: "/".into(),
            connections: 100,
            sharded: true,
            warm_up: Duration::ZERO,
            cold: (version >= COLD_VERSION).then_some(terms),
        };
        let limits = CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        };
        Ok(RouteManifest::new(version, Vec::new(), vec![service], limits))
    }

    fn decode_report(
        &self,
        _id: &str,
        _body: &[u8],
        _upstream: SocketAddr,
    ) -> Result<UpstreamReport, DecodeError> {
        Err(DecodeError::new("body", "not used"))
    }

    fn encode_reply(&self, reply: Option<&GrantReply>) -> Bytes {
        *self.reply.lock().expect("the lock is not poisoned") = reply.cloned();
        Bytes::new()
    }

    fn report_path(&self) -> &'static str {
        "/"
    }
}
