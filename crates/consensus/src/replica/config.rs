//! Settings of a replica and the state that it restarts from.

use std::time::Duration;

use bronzespoke_model::id;

use crate::{log, membership, rules, snapshot, write};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Six heartbeats, so that the loss of a few messages between regions (12 ms one way) starts no election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Drift margin of the design (section 2.5).
const CLOCK_DRIFT: f64 = 0.02;
const MAX_BATCH_BYTES: usize = 128 * 1024;
/// Proposals of one scheduling round share a message: 59 instead of 165 bytes on the wire for each start.
const BATCH_DELAY: Duration = Duration::from_millis(1);
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
const MAX_IN_FLIGHT_BYTES: usize = 1024 * 1024;
const MAX_UNCOMMITTED_ENTRIES: usize = 8_192;
const MAX_UNCOMMITTED_BYTES: usize = 8 * 1024 * 1024;
/// Above the largest stored answer (64 KiB) and below the largest frame (1 MiB).
const MAX_ENTRY_BYTES: usize = 256 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// A member that missed 1,000 changes still catches up from the log.
const RETAINED_ENTRIES: u64 = 4_096;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// This member.
    pub id: id::VmId,
    /// Group that the log belongs to.
    pub group: id::GroupId,
    /// Seed of the election timeouts and answer tokens; must differ at every start of a process.
    pub seed: u64,
    /// Longest time between two messages of a leader to a member.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; each timeout is drawn between one and two times this value.
    pub election_timeout: Duration,
    /// Largest difference between the rates of two monotonic clocks, as a fraction.
    pub clock_drift: f64,
    /// Bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// How long a proposal waits for others to share its message.
    pub batch_delay: Duration,
    /// Unanswered messages with entries for each member.
    pub max_in_flight_messages: usize,
    /// Unanswered bytes of entries for each member.
    pub max_in_flight_bytes: usize,
    /// Uncommitted entries of a leader; further proposals are rejected.
    pub max_uncommitted_entries: usize,
    /// Uncommitted bytes of a leader; further proposals are rejected.
    pub max_uncommitted_bytes: usize,
    /// Largest command in bytes.
    pub max_entry_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries before a snapshot that stay in the log for members that are a little behind.
    pub retained_entries: u64,
    /// Whether entries are applied only after the commit index is stored, so that the applied index does not go
    /// back across a restart. It costs one more sync before a leader applies; on by default in the root group.
    pub store_commit: bool,
    /// Safety rules; all on outside tests.
    #[doc(hidden)]
    pub rules: rules::Rules,
}

impl Config {
    /// Returns the default settings.
    pub fn new(id: id::VmId, group: id::GroupId, seed: u64) -> Self {
        Self {
            id,
            group,
            seed,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            clock_drift: CLOCK_DRIFT,
            max_batch_bytes: MAX_BATCH_BYTES,
            batch_delay: BATCH_DELAY,
            max_in_flight_messages: MAX_IN_FLIGHT_MESSAGES,
            max_in_flight_bytes: MAX_IN_FLIGHT_BYTES,
            max_uncommitted_entries: MAX_UNCOMMITTED_ENTRIES,
            max_uncommitted_bytes: MAX_UNCOMMITTED_BYTES,
            max_entry_bytes: MAX_ENTRY_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            retained_entries: RETAINED_ENTRIES,
            store_commit: group == id::GroupId::Root,
            rules: rules::Rules::default(),
        }
    }

    /// How long an acknowledged heartbeat round proves that no other leader was elected.
    pub fn lease(&self) -> Duration {
        self.election_timeout.mul_f64(1.0 - self.clock_drift)
    }
}

/// Durable state that a replica restarts from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Newest term and vote.
    pub vote: write::Vote,
    /// Members at the snapshot; empty without one.
    pub membership: membership::Membership,
    /// Newest snapshot.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Stored entries; they may begin before the snapshot.
    pub entries: Vec<log::Entry>,
    /// Newest commit index that is known to be stored.
    pub commit: u64,
}

impl Restored {
    /// Returns the state of a first voter. All first voters of a group start from the same members.
    pub fn bootstrap(membership: membership::Membership) -> Self {
        let position = log::Position { term: 0, index: 1 };
        let payload = log::Payload::Membership(membership);
        Self {
            entries: vec![log::Entry { position, payload }],
            ..Self::default()
        }
    }

    /// Tells whether nothing was ever stored. Such a member waits until a leader adds it.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
