//! Checks of fencing tokens and grants at an upstream.

use http::HeaderMap;

use crate::boot_time::boot_micros;

/// Partition, fencing token and grant of one request, from its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantHeaders {
    /// Partition of the routing key.
    pub partition: u32,
    /// Fencing token: offset of the assignment, then the holder's rank in it.
    pub fence: (u64, u16),
    /// Id of the node that holds the grant.
    pub holder: u64,
    /// End of the grant, in microseconds since the machine booted.
    pub deadline: u64,
}

/// Highest fencing token seen for each partition, and the end of the grant of each holder.
///
/// Both lists are sorted by their first column.
#[derive(Debug, Default)]
pub struct GrantCheck {
    fences: Vec<(u32, (u64, u16))>,
    deadlines: Vec<(u64, u64)>,
}

impl GrantHeaders {
    /// Reads the headers of a request; `None` if one is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let header = |name: &str| headers.get(name)?.to_str().ok();
        let (offset, rank) = header("firspindle-fence")?.split_once('.')?;
        Some(Self {
            partition: header("firspindle-partition")?.parse().ok()?,
            fence: (offset.parse().ok()?, rank.parse().ok()?),
            holder: header("firspindle-holder")?.parse().ok()?,
            deadline: header("firspindle-grant-deadline")?.parse().ok()?,
        })
    }
}

impl GrantCheck {
    /// Extends the grant of `holder` to `deadline`; an earlier deadline has no effect.
    pub fn extend_grant(&mut self, holder: u64, deadline: u64) {
        match self.deadlines.binary_search_by_key(&holder, |row| row.0) {
            Ok(index) => self.deadlines[index].1 = self.deadlines[index].1.max(deadline),
            Err(index) => self.deadlines.insert(index, (holder, deadline)),
        }
    }

    /// Records the grant of a request and returns whether the request may start.
    ///
    /// A request is refused if its grant has expired or its fencing token is lower than one already
    /// seen for the partition.
    pub fn try_start(&mut self, grant: &GrantHeaders) -> bool {
        self.extend_grant(grant.holder, grant.deadline);
        if !self.grant_is_valid(grant.holder) {
            return false;
        }
        match self.fences.binary_search_by_key(&grant.partition, |row| row.0) {
            Ok(index) if self.fences[index].1 > grant.fence => false,
            Ok(index) => {
                self.fences[index].1 = grant.fence;
                true
            }
            Err(index) => {
                self.fences.insert(index, (grant.partition, grant.fence));
                true
            }
        }
    }

    /// Whether the grant still holds, so that the work of a started request may take effect.
    pub fn may_take_effect(&self, grant: &GrantHeaders) -> bool {
        self.grant_is_valid(grant.holder)
    }

    fn grant_is_valid(&self, holder: u64) -> bool {
        let index = self.deadlines.binary_search_by_key(&holder, |row| row.0);
        index.is_ok_and(|index| boot_micros() < self.deadlines[index].1)
    }
}
