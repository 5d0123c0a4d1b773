//! Home regions of routes: what the manifest and the settings do not agree on.

use firspindle_core::version::RouteManifest;
use firspindle_edge::PlatformCodec;

use super::{ControlState, MeshSettings};

impl<C: PlatformCodec> ControlState<C> {
    /// Logs once for each manifest which regions of its routes the settings do not know, and which data
    /// centres have no region: requests of routes with regions do not reach those.
    pub(super) fn check_homes(&mut self) {
        let Some(manifest) = self.manifest.as_ref().filter(|_| self.hosts_known) else { return };
        if self.homes_checked == Some(manifest.version) {
            return;
        }
        self.homes_checked = Some(manifest.version);
        if manifest.routes().iter().all(|route| route.homes.is_empty()) {
            return;
        }
        let regions = unknown_regions(&self.settings, manifest);
        let hosts = self.hosts.iter().map(|row| &*row.data_centre);
        let mut centres: Vec<&str> =
            hosts.filter(|name| self.settings.region_of(name).is_none()).collect();
        centres.sort_unstable();
        centres.dedup();
        if !regions.is_empty() || !centres.is_empty() {
            log::warn!(
                version = manifest.version, unknown_regions = &*regions.join(","),
                data_centres_without_region = &*centres.join(",");
                "home regions do not match the settings"
            );
        }
    }
}

/// Returns the regions of routes that the settings give no data centre.
fn unknown_regions<'a>(settings: &MeshSettings, manifest: &'a RouteManifest) -> Vec<&'a str> {
    let homes = manifest.routes().iter().flat_map(|route| &route.homes);
    let is_known = |name: &str| settings.regions.iter().any(|row| &*row.1 == name);
    let mut regions: Vec<&str> = homes.map(|name| &**name).filter(|name| !is_known(name)).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}
