//! What a running fleet tells of itself: status pages, owners, journals of the upstreams.

use std::path::PathBuf;

use serde_json::Value;

use super::{Fleet, START_TIMEOUT};
use crate::{CallResult, HttpClient, JournalRow, wait_until};

impl Fleet {
    /// Returns the status page of a node, or `None` if the node does not respond.
    pub fn status(&self, host: usize) -> Option<Value> {
        let response =
            HttpClient::call(self.admin_address(host), "GET", "/status", &[], "").ok()?;
        serde_json::from_str(&response.body).ok()
    }

    /// Returns the partitions that a node serves; empty if the node does not respond.
    pub fn partitions(&self, host: usize) -> Vec<u64> {
        let status = self.status(host);
        let rows = status.as_ref().and_then(|status| status["partitions"].as_array());
        rows.map(|rows| rows.iter().filter_map(Value::as_u64).collect()).unwrap_or_default()
    }

    /// Waits until `partitions` partitions are served and every started node serves at least one.
    ///
    /// # Panics
    ///
    /// If that takes longer than 30 s.
    pub fn wait_until_served(&self, partitions: usize) {
        wait_until("all partitions are served", START_TIMEOUT, || {
            let counts: Vec<_> = (0..self.nodes.len())
                .filter(|host| self.nodes[*host].is_some())
                .map(|host| self.partitions(host).len())
                .collect();
            (counts.iter().sum::<usize>() == partitions && counts.iter().all(|n| *n > 0))
                .then_some(())
        });
    }

    /// Returns the host whose node reports that it serves a key.
    pub fn owner(&self, service: &str, key: &str) -> Option<usize> {
        let path = format!("/owners?service={service}&key={key}");
        (0..self.nodes.len()).find(|host| {
            let response = HttpClient::call(self.admin_address(*host), "GET", &path, &[], "");
            let page = response
                .ok()
                .and_then(|response| serde_json::from_str::<Value>(&response.body).ok());
            page.is_some_and(|page| page["serving_here"] == true)
        })
    }

    /// Sends a caller's request to the node of a host.
    ///
    /// # Errors
    ///
    /// If the request is invalid or no complete response arrives in time.
    pub fn call(
        &self,
        host: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallResult {
        HttpClient::call(self.traffic_address(host), method, path, headers, body.to_owned())
    }

    pub(super) fn journal_path(&self, host: usize) -> PathBuf {
        self.directory.join(format!("journal-{host}.jsonl"))
    }

    /// Returns the journal of the upstreams of a host, including those that have exited.
    pub fn journal(&self, host: usize) -> Vec<JournalRow> {
        let text = std::fs::read_to_string(self.journal_path(host)).unwrap_or_default();
        let rows = text.lines().filter_map(|line| serde_json::from_str::<JournalRow>(line).ok());
        rows.map(|row| JournalRow { host, ..row }).collect()
    }

    /// Returns the number of requests in progress at the upstream of a host.
    pub fn running_requests(&self, host: usize) -> Option<usize> {
        let response =
            HttpClient::call(self.upstream_address(host), "GET", "/running", &[], String::new());
        response.ok()?.body.trim().parse().ok()
    }

    /// Returns when requests arrived at the upstream of a host, refused ones included, in microseconds
    /// of boot time; `None` if it does not respond.
    pub fn arrivals(&self, host: usize) -> Option<Vec<u64>> {
        let response =
            HttpClient::call(self.upstream_address(host), "GET", "/arrivals", &[], String::new());
        serde_json::from_str(&response.ok()?.body).ok()
    }

    /// Returns the combined journals of all hosts.
    pub fn journals(&self) -> Vec<JournalRow> {
        (0..self.upstreams.len()).flat_map(|host| self.journal(host)).collect()
    }
}
