//! Fenced grants, as an upstream that checks them keeps them.

use http::HeaderMap;

use crate::boot_time::boot_micros;

/// Fence, grant deadline and partition of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantHeaders {
    /// Partition.
    pub partition: u32,
    /// Fence, offset then step.
    pub fence: (u64, u16),
    /// Node that holds the grant.
    pub holder: u64,
    /// End of the grant, in microseconds of boot time.
    pub deadline: u64,
}

/// Highest fence by partition, and the grant's end by holder.
#[derive(Debug, Default)]
pub struct GrantCheck {
    fences: Vec<(u32, (u64, u16))>,
    deadlines: Vec<(u64, u64)>,
}

impl GrantHeaders {
    /// Reads the headers of a request.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let (offset, step) = text("firspindle-fence")?.split_once('.')?;
        Some(Self {
            partition: text("firspindle-partition")?.parse().ok()?,
            fence: (offset.parse().ok()?, step.parse().ok()?),
            holder: text("firspindle-holder")?.parse().ok()?,
            deadline: text("firspindle-grant-deadline")?.parse().ok()?,
        })
    }
}

impl GrantCheck {
    /// A holder's grant runs until `deadline`.
    pub fn extend(&mut self, holder: u64, deadline: u64) {
        match self.deadlines.binary_search_by_key(&holder, |row| row.0) {
            Ok(index) => self.deadlines[index].1 = self.deadlines[index].1.max(deadline),
            Err(index) => self.deadlines.insert(index, (holder, deadline)),
        }
    }

    /// Whether a request may start.
    pub fn start(&mut self, grant: &GrantHeaders) -> bool {
        self.extend(grant.holder, grant.deadline);
        if !self.runs(grant.holder) {
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

    /// Whether the work of a request that started may still take effect.
    pub fn commit(&self, grant: &GrantHeaders) -> bool {
        self.runs(grant.holder)
    }

    fn runs(&self, holder: u64) -> bool {
        let index = self.deadlines.binary_search_by_key(&holder, |row| row.0);
        index.is_ok_and(|index| boot_micros() < self.deadlines[index].1)
    }
}
