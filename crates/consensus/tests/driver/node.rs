//! One VM: a replica, its disk, its clock and a state machine that hashes the applied entries.

use std::time::Duration;

use bronzespoke_consensus::replica::{Config, Input, Replica, Restored, Role};
use bronzespoke_consensus::{log, snapshot, write};
use bronzespoke_model::id::VmId;

use super::Violation;

pub struct Node {
    pub id: VmId,
    pub replica: Option<Replica>,
    pub disk: Restored,
    pub durable: bool,
    /// Whether the VM is permanently lost: it had no disk and crashed.
    pub lost: bool,
    pub unsynced: Vec<write::Write>,
    pub incarnation: u32,
    pub paused_until: Duration,
    pub wake_at: Option<Duration>,
    started: Duration,
    rate: f64,
    /// Time that the local clock did not count.
    uncounted: Duration,
    /// Last applied index.
    pub applied: u64,
    /// Hash chain over the applied entries.
    pub state: u64,
    /// Applied index of an earlier incarnation.
    pub applied_before: u64,
}

impl Node {
    pub fn new(id: VmId, disk: Restored, durable: bool) -> Self {
        Self {
            id,
            replica: None,
            disk,
            durable,
            lost: false,
            unsynced: Vec::new(),
            incarnation: 0,
            paused_until: Duration::ZERO,
            wake_at: None,
            started: Duration::ZERO,
            rate: 1.0,
            uncounted: Duration::ZERO,
            applied: 0,
            state: 0,
            applied_before: 0,
        }
    }

    pub fn start(&mut self, config: Config, now: Duration, rate: f64) {
        self.incarnation += 1;
        self.started = now;
        self.rate = rate;
        self.uncounted = Duration::ZERO;
        self.applied_before = self.applied;
        self.applied = 0;
        self.state = 0;
        self.wake_at = None;
        self.replica = Some(Replica::new(config, self.disk.clone(), Duration::ZERO));
    }

    pub fn crash(&mut self, keep: usize) {
        if self.replica.take().is_none() {
            return;
        }
        self.incarnation += 1;
        self.keep_prefix(keep);
        self.lost = !self.durable;
    }

    fn keep_prefix(&mut self, keep: usize) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for write in unsynced.iter().take(keep) {
            store(&mut self.disk, write);
        }
    }

    /// Makes all pending writes durable.
    pub fn sync(&mut self) -> Input {
        let through = self.unsynced.last().map_or(0, |write| write.sequence);
        for write in std::mem::take(&mut self.unsynced) {
            store(&mut self.disk, &write);
        }
        Input::Persisted { through }
    }

    /// Fails the pending writes, except for a prefix that reached the disk.
    pub fn fail_sync(&mut self, keep: usize) -> Input {
        self.keep_prefix(keep);
        Input::PersistFailed
    }

    pub fn local(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started + self.uncounted)
            .mul_f64(self.rate)
    }

    pub fn global(&self, local: Duration) -> Duration {
        self.started + self.uncounted + local.div_f64(self.rate)
    }

    /// Sets the local clock back by the length of a pause that it did not count.
    pub fn omit(&mut self, length: Duration) {
        self.uncounted += length;
    }

    pub fn next_wake(&self) -> Option<Duration> {
        let wake = self.replica.as_ref()?.next_wake();
        Some(self.global(wake) + Duration::from_nanos(10))
    }

    pub fn is_leader(&self) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|replica| replica.status().role == Role::Leader)
    }

    pub fn apply(&mut self, entry: &log::Entry) -> Result<(), Violation> {
        if entry.position.index != self.applied + 1 {
            return Err(Violation::AppliedOutOfOrder);
        }
        self.applied += 1;
        self.state = chain(self.state, entry);
        Ok(())
    }

    pub fn install(&mut self, snapshot: &snapshot::Snapshot) -> Result<(), Violation> {
        if snapshot.position.index < self.applied {
            return Err(Violation::AppliedWentBack);
        }
        self.applied = snapshot.position.index;
        let mut state = [0; 8];
        state.copy_from_slice(&snapshot.data[..8]);
        self.state = u64::from_le_bytes(state);
        Ok(())
    }

    /// Returns a snapshot of the applied state, padded so that its transfer takes several chunks.
    pub fn make_snapshot(&self) -> Option<snapshot::Snapshot> {
        let mut data = self.state.to_le_bytes().to_vec();
        data.resize(300, 7);
        self.replica.as_ref()?.snapshot(self.applied, data.into())
    }

    /// Returns whether a position is on the disk, in the log or covered by the snapshot.
    pub fn holds(&self, position: log::Position) -> bool {
        let below = self
            .disk
            .snapshot
            .as_ref()
            .is_some_and(|held| held.position.index >= position.index);
        let mut entries = self.disk.entries.iter().rev();
        below || entries.any(|entry| entry.position == position)
    }
}

/// Extends the hash chain by an entry.
pub fn chain(state: u64, entry: &log::Entry) -> u64 {
    let mut hash = state ^ entry.position.term;
    if let log::Payload::Command(data) = &entry.payload {
        for byte in data {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash.rotate_left(7).wrapping_add(entry.position.index)
}

/// Applies a write to the durable state, as a store does.
pub fn store(disk: &mut Restored, write: &write::Write) {
    match &write.kind {
        write::Kind::Vote(vote) => disk.vote = *vote,
        write::Kind::Commit(commit) => disk.commit = disk.commit.max(*commit),
        write::Kind::Append { entries, commit } => {
            let first = entries[0].position.index;
            disk.entries.retain(|entry| entry.position.index < first);
            disk.entries.extend(entries.iter().cloned());
            disk.commit = disk.commit.max(*commit);
        }
        write::Kind::Compact { snapshot, first } => {
            disk.entries.retain(|entry| entry.position.index >= *first);
            disk.membership = snapshot.membership.clone();
            disk.snapshot = Some(snapshot.clone());
        }
        write::Kind::Install(snapshot) => {
            disk.entries.clear();
            disk.membership = snapshot.membership.clone();
            disk.commit = disk.commit.max(snapshot.position.index);
            disk.snapshot = Some(snapshot.clone());
        }
    }
}
