//! Configuration of a replica, and the durable state from which it starts.

use std::time::Duration;

use bronzespoke_model::id;

use crate::{log, membership, rules, snapshot, write};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Six heartbeat intervals, so that the loss of a few messages between regions (12 ms one way) starts no election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Clock drift margin of the design (section 2.5).
const CLOCK_DRIFT: f64 = 0.02;
const MAX_BATCH_BYTES: usize = 128 * 1024;
/// Lets the proposals of one scheduling round share a message, which takes 59 instead of 165 bytes on the wire per task
/// start.
const BATCH_DELAY: Duration = Duration::from_millis(1);
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
const MAX_IN_FLIGHT_BYTES: usize = 1024 * 1024;
const MAX_UNCOMMITTED_ENTRIES: usize = 8_192;
const MAX_UNCOMMITTED_BYTES: usize = 8 * 1024 * 1024;
/// Larger than the largest stored response (64 KiB) and smaller than the largest frame (1 MiB).
const MAX_ENTRY_BYTES: usize = 256 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// Large enough that a member that missed 1,000 entries still catches up from the log.
const RETAINED_ENTRIES: u64 = 4_096;

/// Configuration of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id of this member.
    pub id: id::VmId,
    /// Group to which the log belongs.
    pub group: id::GroupId,
    /// Seed of the election timeouts and reply tokens; must differ at each start of the process.
    pub seed: u64,
    /// Maximum time between two messages from a leader to a member.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout; each timeout is chosen at random between one and two times this value.
    pub election_timeout: Duration,
    /// Maximum difference between the rates of two monotonic clocks, as a fraction.
    pub clock_drift: f64,
    /// Maximum bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// Time for which a proposal waits for others to share its message.
    pub batch_delay: Duration,
    /// Maximum number of unacknowledged messages with entries per member.
    pub max_in_flight_messages: usize,
    /// Maximum bytes of unacknowledged entries per member.
    pub max_in_flight_bytes: usize,
    /// Maximum number of uncommitted entries of a leader; further proposals are rejected.
    pub max_uncommitted_entries: usize,
    /// Maximum bytes of uncommitted entries of a leader; further proposals are rejected.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of a command in bytes.
    pub max_entry_bytes: usize,
    /// Maximum bytes of snapshot data in one message.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries before a snapshot that are retained in the log for members that lag slightly.
    pub retained_entries: u64,
    /// Whether entries are applied only after their commit index is durable, so that the applied index does not go
    /// back across a restart. This costs one more sync before a leader applies entries; enabled by default in the root
    /// group.
    pub store_commit: bool,
    /// Safety rules; all are enabled outside tests.
    #[doc(hidden)]
    pub rules: rules::Rules,
}

impl Config {
    /// Returns the default configuration.
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

    /// Returns the duration of the lease that an acknowledged heartbeat round grants, during which no other leader can
    /// be elected.
    pub fn lease(&self) -> Duration {
        self.election_timeout.mul_f64(1.0 - self.clock_drift)
    }
}

/// Durable state from which a replica starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Latest term and vote.
    pub vote: write::Vote,
    /// Membership at the snapshot; empty if there is no snapshot.
    pub membership: membership::Membership,
    /// Latest snapshot.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Stored entries; they may begin before the end of the snapshot.
    pub entries: Vec<log::Entry>,
    /// Highest stored commit index.
    pub commit: u64,
}

impl Restored {
    /// Returns the initial state of a founding voter. All founding voters of a group must use the same membership.
    pub fn bootstrap(membership: membership::Membership) -> Self {
        let position = log::Position { term: 0, index: 1 };
        let payload = log::Payload::Membership(membership);
        Self {
            entries: vec![log::Entry { position, payload }],
            ..Self::default()
        }
    }

    /// Returns whether nothing was ever stored. Such a member waits until a leader adds it to a group.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
