//! Reports that are known to be of the host's own upstream.
//!
//! Others may write to a node's address too. Whatever changes state takes an [`OwnReport`], which only
//! [`OwnReport::check`] creates, so nothing of a report counts before all of it was checked.

use snafu::Snafu;

use super::UpstreamReport;

/// Why a report is not of the host's upstream.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReportRefusal {
    /// It names another service than the host's settings.
    #[snafu(display("service: not the host's: {service:?}"))]
    OtherService {
        /// Service that it names.
        service: Box<str>,
    },
    /// It lists no keys, though the upstreams of its service hold keys.
    #[snafu(display("holds: missing, though the service is sharded"))]
    NoKeys,
}

/// A report of the host's own upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnReport(UpstreamReport);

impl OwnReport {
    /// Checks that a report is of the upstream of a host whose settings name `service`. `sharded` says
    /// that upstreams of that service hold keys. Which services the manifest names does not matter: an
    /// upstream outlives a manifest that drops its service.
    ///
    /// # Errors
    ///
    /// A [`ReportRefusal`] if it is of another writer.
    pub fn check(
        report: UpstreamReport,
        service: &str,
        sharded: bool,
    ) -> Result<Self, ReportRefusal> {
        if *report.service != *service {
            return Err(ReportRefusal::OtherService { service: report.service });
        }
        if sharded && !report.lists_keys {
            return Err(ReportRefusal::NoKeys);
        }
        Ok(Self(report))
    }
}

impl std::ops::Deref for OwnReport {
    type Target = UpstreamReport;

    fn deref(&self) -> &UpstreamReport {
        &self.0
    }
}
