//! Decides from a record that is read back whether a claim without a clear outcome was applied.
//!
//! A member claims the leadership, or a partition, by putting a record under a lease that it was granted for this claim.
//! If the claim gets no response, the record is read back. The store may apply an earlier claim of the same process in
//! the meantime, whose lease the process has given up, and then refuse the later claim. Member and incarnation do not
//! distinguish the two records, only the lease does: a member that took the earlier claim's record for the later one's
//! would renew a lease that the record is not attached to, and act beyond the end of the record.

use crate::controller::Controller;
use grebewood_wire as wire;
use grebewood_wire::http::KeyValue;
use grebewood_wire::records::{LeaderRecord, PartitionClaim};
use log::{info, warn};
use serde::de::DeserializeOwned;

/// A record that a member puts under a lease to claim the leadership or a partition.
pub(crate) trait ClaimRecord: DeserializeOwned {
    /// Returns the name of the member that claims.
    fn member(&self) -> &str;

    /// Returns the incarnation of the member's process.
    fn incarnation(&self) -> u64;
}

impl ClaimRecord for LeaderRecord {
    fn member(&self) -> &str {
        &self.member
    }

    fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

impl ClaimRecord for PartitionClaim {
    fn member(&self) -> &str {
        &self.member
    }

    fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

impl Controller {
    /// Returns the fencing token of the claim that this process made under `lease`, if `body` shows that the store has
    /// the claim's record. If the store has the record of an earlier claim of this process instead, that claim's lease
    /// is ended, and with it the record.
    pub(crate) fn confirm_claim<R: ClaimRecord>(&mut self, lease: u64, body: &[u8]) -> Option<u64> {
        let entry = wire::from_cbor::<KeyValue<R>>(body).ok()?;
        let (record, token) = (&entry.value, entry.mod_revision);
        if record.member() != self.context.settings.member
            || record.incarnation() != self.election.incarnation()
        {
            info!(key = entry.key, member = record.member(), token = token; "another process has made the claim");
            return None;
        }
        if entry.lease == Some(lease) {
            return Some(token);
        }
        warn!(
            key = entry.key, token = token, lease = lease, record_lease:? = entry.lease;
            "an earlier claim of this process was applied late; giving up both claims"
        );
        if let Some(earlier_lease) = entry.lease {
            self.context.end_lease(earlier_lease);
        }
        None
    }
}
