//! Folds manifests: the services in force, their partitions, and hosts declared lost.

use super::{FoldOutcome, FoldState, ManifestRow, ServiceRow, dropped};
use crate::version::{
    DepartReason, ManifestSpec, MemberRow, PartitionRow, RestoredManifest, partition_id,
};
use crate::{LogOffset, ManifestVersion, RecordId};

impl FoldState {
    pub(super) fn accept_manifest(
        &mut self,
        offset: LogOffset,
        record: RecordId,
        replaces: ManifestVersion,
        text: &str,
    ) -> FoldOutcome {
        let version = self.manifest_version();
        if replaces != version {
            let reason = format!("replaces version {replaces}, but version {version} is in force");
            return FoldOutcome::Dropped(reason.into());
        }
        let spec = match ManifestSpec::parse(text) {
            Ok(spec) => spec,
            Err(error) => return FoldOutcome::Dropped(error.to_string().into()),
        };
        if spec.replaces != replaces {
            return dropped("manifest text and record replace different versions");
        }
        let row = ManifestRow { version: version + 1, offset, record, text: text.into() };
        self.set_manifest(&spec, row)
    }

    /// Puts a manifest of a lost part of the log in force again, unless a version at least as new
    /// was written meanwhile.
    pub(super) fn restore_manifest(
        &mut self,
        offset: LogOffset,
        manifest: &RestoredManifest,
    ) -> FoldOutcome {
        let RestoredManifest { version, record, ref text } = *manifest;
        if version <= self.manifest_version() {
            return dropped("a version at least as new is in force");
        }
        match ManifestSpec::parse(text) {
            Ok(spec) => {
                let row = ManifestRow { version, offset, record, text: text.clone() };
                self.set_manifest(&spec, row)
            }
            Err(error) => FoldOutcome::Dropped(error.to_string().into()),
        }
    }

    fn set_manifest(&mut self, spec: &ManifestSpec, row: ManifestRow) -> FoldOutcome {
        if let Err(reason) = self.check_partition_counts(spec) {
            return FoldOutcome::Dropped(reason);
        }
        self.update_services(spec);
        self.depart_lost_hosts(spec, row.offset);
        self.manifest = Some(row);
        FoldOutcome::Applied
    }

    /// Refuses a changed number of partitions: the keys of a service in force must not move to
    /// other partitions.
    fn check_partition_counts(&self, spec: &ManifestSpec) -> Result<(), Box<str>> {
        for service in &self.services {
            let Some(next) = spec.service(&service.name) else { continue };
            if next.partitions != service.partitions {
                let reason = format!(
                    "service `{}` has {} partitions; the number is fixed while it is in force",
                    service.name, service.partitions
                );
                return Err(reason.into());
            }
        }
        Ok(())
    }

    fn update_services(&mut self, spec: &ManifestSpec) {
        self.services.retain(|row| spec.service(&row.name).is_some());
        for service in &spec.services {
            if self.service_named(&service.name).is_some() {
                continue;
            }
            let id = self.next_service_id;
            self.next_service_id += 1;
            let row = ServiceRow { id, name: service.name.clone(), partitions: service.partitions };
            self.services.push(row);
        }
        self.retain_partitions();
    }

    /// Keeps the partitions of services in force and adds those of new services.
    pub(super) fn retain_partitions(&mut self) {
        let mut rows = std::mem::take(&mut self.partitions).into_iter().peekable();
        for service in &self.services {
            for index in 0..service.partitions {
                let id = partition_id(service.id, index);
                while rows.next_if(|row| row.id < id).is_some() {}
                let kept = rows.next_if(|row| row.id == id);
                self.partitions.push(kept.unwrap_or(PartitionRow { id, assignments: Vec::new() }));
            }
        }
    }

    fn depart_lost_hosts(&mut self, spec: &ManifestSpec, offset: LogOffset) {
        let is_lost = |row: &&MemberRow| spec.lost_hosts.binary_search(&row.info.host).is_ok();
        let lost: Vec<_> = self.members.iter().filter(is_lost).map(|row| row.id).collect();
        for node in lost {
            self.depart(node, DepartReason::Lost, offset);
        }
        for row in self.departed.iter_mut().filter(|row| row.reason == DepartReason::Restored) {
            if spec.lost_hosts.binary_search(&row.info.host).is_ok() {
                row.reason = DepartReason::Lost;
            }
        }
    }
}
