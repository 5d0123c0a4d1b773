//! A caller's request, read and checked.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::request::{
    RequestFailure, RouteTable, ServiceRoute, id_unix_ms, request_fingerprint,
};
use firspindle_core::version::{OperationSpec, ServicePartitioning, ServiceSpec};
use firspindle_core::{PartitionId, RequestId};
use http::{HeaderMap, Method};
use uuid::Uuid;

/// Bytes of request headers that are accepted.
pub const HEAD_LIMIT: usize = 16 * 1024;

/// Time by which an id may lie ahead of this host's clock, in milliseconds.
const ID_AHEAD_MS: u64 = 5_000;

/// A request, the same at the entry node and at the owner.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Service.
    pub service: Arc<ServiceSpec>,
    /// Rule that applies.
    pub operation: OperationSpec,
    /// Partition that decides the owner; `None` if any node will do.
    pub partition: Option<PartitionId>,
    /// Key, empty for services that have none.
    pub key: Box<str>,
    /// Id, given by the caller or made here.
    pub id: RequestId,
    /// Whether the id was made here, so that no earlier sending exists.
    pub fresh: bool,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// The same in Unix milliseconds, for other processes.
    pub deadline_ms: u64,
    /// Method.
    pub method: Method,
    /// Path and query behind the service's name.
    pub path: Box<str>,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// The head of a request, before its body is read.
#[derive(Debug)]
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Whether another node forwarded it.
    pub forwarded: bool,
    /// Address that the connection comes from.
    pub remote: IpAddr,
    /// Unix time in milliseconds.
    pub now_ms: u64,
}

impl RequestHead<'_> {
    /// Service and the path behind its name.
    ///
    /// # Errors
    ///
    /// If no such service is in force, or the headers are too large.
    pub fn route<'r>(
        &self,
        routes: &'r RouteTable,
    ) -> Result<(&'r ServiceRoute, Box<str>), RequestFailure> {
        let size: usize =
            self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if size + self.path_and_query.len() > HEAD_LIMIT {
            return Err(RequestFailure::HeadTooLarge { limit: HEAD_LIMIT });
        }
        let path = self.path_and_query.trim_start_matches('/');
        let end = path.find(['/', '?']).unwrap_or(path.len());
        let (name, rest) = path.split_at(end);
        if routes.version == 0 {
            return Err(RequestFailure::NoManifest);
        }
        let route = routes.service(name).ok_or(RequestFailure::UnknownService)?;
        let rest = if rest.starts_with('/') { rest.into() } else { format!("/{rest}").into() };
        Ok((route, rest))
    }

    /// Checks the rest of the head; the body is read afterwards.
    ///
    /// # Errors
    ///
    /// With the failure that the caller gets.
    pub fn read(
        &self,
        routes: &RouteTable,
        route: &ServiceRoute,
        path: Box<str>,
    ) -> Result<CallerRequest, RequestFailure> {
        let service = route.spec.clone();
        let bare = path.split('?').next().unwrap_or_default();
        let operation = service.operation(self.method.as_str(), bare);
        if operation.internal && !self.forwarded && !is_member_host(routes, self.remote) {
            return Err(RequestFailure::InternalOnly);
        }
        let (id, fresh) = self.id(&operation)?;
        let key = self.text("firspindle-key").unwrap_or_default();
        let partition = match service.partitioning {
            ServicePartitioning::Key if key.is_empty() => return Err(RequestFailure::MissingKey),
            ServicePartitioning::Key => Some(route.partition(key.as_bytes())),
            ServicePartitioning::None if operation.idempotent => None,
            ServicePartitioning::None => Some(route.partition(&id.to_be_bytes())),
        };
        let deadline_ms = self.deadline_ms(&service)?;
        let left = Duration::from_millis(deadline_ms - self.now_ms);
        Ok(CallerRequest {
            operation,
            partition,
            key: key.into(),
            id,
            fresh,
            deadline: Instant::now() + left,
            deadline_ms,
            method: self.method.clone(),
            path,
            headers: self.headers.clone(),
            body: Bytes::new(),
            service,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    fn id(&self, operation: &OperationSpec) -> Result<(RequestId, bool), RequestFailure> {
        let Some(text) = self.headers.get("idempotency-key") else {
            return Ok((Uuid::now_v7().as_u128(), true));
        };
        let bad = |reason| RequestFailure::BadHeader { header: "Idempotency-Key", reason };
        let uuid = text.to_str().ok().and_then(|text| Uuid::parse_str(text).ok());
        let made_ms = uuid.and_then(|uuid| id_unix_ms(uuid.as_u128()));
        match (uuid, made_ms) {
            (Some(uuid), Some(made_ms)) if made_ms <= self.now_ms + ID_AHEAD_MS => {
                let fresh = self.forwarded && self.text("firspindle-fresh").is_some();
                Ok((uuid.as_u128(), fresh))
            }
            (Some(_), Some(_)) => Err(bad("its time lies in the future")),
            // An idempotent request needs no memory, so any id will do.
            _ if operation.idempotent => Ok((Uuid::now_v7().as_u128(), true)),
            _ => Err(bad("must be a UUID of version 7")),
        }
    }

    fn deadline_ms(&self, service: &ServiceSpec) -> Result<u64, RequestFailure> {
        let default = u64::try_from(service.default_deadline.as_millis()).unwrap_or(u64::MAX);
        let Some(value) = self.headers.get("firspindle-deadline") else {
            return Ok(self.now_ms + default);
        };
        let bad = RequestFailure::BadHeader {
            header: "Firspindle-Deadline",
            reason: "must be Unix time in milliseconds",
        };
        let value: u64 = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or(bad)?;
        if value <= self.now_ms {
            return Err(RequestFailure::Expired);
        }
        // A deadline further off than the service's own binds nobody longer.
        Ok(value.min(self.now_ms + default.max(60_000)))
    }
}

/// Whether a connection comes from the host of a member, so that its caller runs inside.
fn is_member_host(routes: &RouteTable, remote: IpAddr) -> bool {
    routes.targets.iter().any(|target| {
        target.forward_address.parse().is_ok_and(|address: SocketAddr| address.ip() == remote)
    })
}

impl CallerRequest {
    /// Hash of what makes two requests the same work.
    pub fn fingerprint(&self) -> u128 {
        let key = self.key.as_bytes();
        request_fingerprint(&self.service.name, key, self.method.as_str(), &self.path, &self.body)
    }

    /// Id as text.
    pub fn id_text(&self) -> String {
        Uuid::from_u128(self.id).to_string()
    }
}
