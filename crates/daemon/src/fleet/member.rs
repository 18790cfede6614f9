//! The replica of the cell's group in this process, with its disk and the proposals that wait for their commit.

use std::{
    collections::{HashMap, VecDeque},
    path::Path,
    time::Duration,
};

use bronzespoke_consensus::{log as entries, membership, message, replica, snapshot, write};
use bronzespoke_control::{cell, envelope};
use bronzespoke_model::id;

use crate::disk;

/// Consensus group of the cell.
pub const GROUP: id::GroupId = id::GroupId::Root;
/// Number of entries after which a snapshot is made and the log is compacted.
const ENTRIES_PER_SNAPSHOT: u64 = 16_384;
/// Bytes of commands after which a snapshot is made and the log is compacted.
const BYTES_PER_SNAPSHOT: usize = 12 << 20;
/// Maximum size of a command. A configuration is stored as its document, of 256 KiB at most, and as the catalog that was
/// decoded from it; a message with one entry of this size, and a batch before it, fits into a frame.
const MAX_COMMAND_BYTES: usize = 768 * 1024;
/// Entries before a snapshot that are retained for members that lag slightly; they cost memory.
const RETAINED_ENTRIES: u64 = 1_024;

/// What the owner of the state has to do, in this order.
#[derive(Debug)]
pub enum Event {
    /// Apply a committed entry.
    Apply(entries::Entry),
    /// The commands of a proposal were applied at an index.
    Committed {
        /// Number of the proposal.
        proposal: u64,
        /// Log index of the entry.
        index: u64,
    },
    /// A proposal failed.
    Rejected {
        /// Number of the proposal.
        proposal: u64,
        /// Whether it is known that the proposal is never committed.
        never: bool,
    },
    /// Replace the state by a snapshot.
    Install(snapshot::Snapshot),
    /// Send a message to another member.
    Send(id::VmId, message::Message),
}

/// A replica and its disk.
#[derive(Debug)]
pub struct Member {
    /// Distinguishes the replicas that a process opens one after the other.
    number: u64,
    replica: replica::Replica,
    disk: disk::Disk,
    next_proposal: u64,
    outputs: Vec<replica::Output>,
    entry_bytes: usize,
    applied: u64,
    snapshot_index: u64,
    snapshot_bytes: usize,
    lead_from: u64,
    committed: HashMap<u64, u64>,
    failed: bool,
}

impl Member {
    /// Opens the durable state. `bootstrap` is the initial membership if nothing is stored and the cell starts for the
    /// first time. `number` is unique among the replicas that the process opens.
    pub fn open(
        number: u64,
        vm: id::VmId,
        folder: &Path,
        bootstrap: Option<membership::Membership>,
        notify: disk::Notify,
        now: Duration,
    ) -> Result<Self, bronzespoke_storage::Error> {
        let mut config = replica::Config::new(vm, GROUP, rand::random());
        // Only a leader answers reads, after an entry of its own term, so the applied index need not survive a restart;
        // storing it would cost one more sync for each commit.
        config.store_commit = false;
        config.retained_entries = RETAINED_ENTRIES;
        // Commands share entries up to the usual size.
        let entry_bytes = config.max_entry_bytes;
        config.max_entry_bytes = MAX_COMMAND_BYTES;
        let (disk, restored) = disk::Disk::open(folder, GROUP, bootstrap, notify)?;
        log::info!(
            "event=store_opened vm={vm} term={} candidate={:?} snapshot={} last={}",
            restored.vote.term,
            restored.vote.candidate,
            restored
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.position.index),
            restored.entries.last().map_or(0, |entry| entry.position.index)
        );
        Ok(Self {
            number,
            replica: replica::Replica::new(config, restored, now),
            disk,
            next_proposal: 0,
            outputs: Vec::new(),
            entry_bytes,
            applied: 0,
            snapshot_index: 0,
            snapshot_bytes: 0,
            lead_from: 0,
            committed: HashMap::new(),
            failed: false,
        })
    }

    /// Closes the durable state.
    pub fn close(self) -> disk::Closing {
        self.disk.close()
    }

    /// Deletes the durable state of a member that its group has removed permanently.
    pub fn discard(folder: &Path) -> std::io::Result<()> {
        match std::fs::remove_dir_all(bronzespoke_storage::Store::folder(folder, GROUP)) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Proposes commands in as many entries as their size needs; returns the number of each proposal and its count of
    /// commands.
    pub fn propose(
        &mut self,
        now: Duration,
        commands: &[envelope::Envelope<cell::Command>],
        events: &mut VecDeque<Event>,
    ) -> Vec<(u64, usize)> {
        let mut proposals = Vec::new();
        for (data, count) in envelope::encode_within(commands, self.entry_bytes) {
            self.next_proposal += 1;
            let id = self.next_proposal;
            proposals.push((id, count));
            self.step(now, replica::Input::Propose { id, data }, events);
        }
        proposals
    }

    /// Proposes a membership change; its outcome is visible in the status.
    pub fn change(&mut self, now: Duration, change: membership::Change, events: &mut VecDeque<Event>) {
        self.next_proposal += 1;
        let id = self.next_proposal;
        self.step(now, replica::Input::ChangeMembership { id, change }, events);
    }

    /// Handles the result of writes of the replica with a number. The result of a replica that was closed is ignored,
    /// because this one numbers its writes independently.
    pub fn persisted(&mut self, now: Duration, number: u64, done: &disk::Done, events: &mut VecDeque<Event>) {
        if number != self.number {
            return;
        }
        let input = match &done.result {
            Ok(through) => replica::Input::Persisted { through: *through },
            Err(error) => {
                log::error!("belief=disk_failed reason=\"{error}\"");
                self.failed = true;
                replica::Input::PersistFailed
            }
        };
        self.step(now, input, events);
    }

    /// Feeds one input to the replica and handles the outputs.
    pub fn step(&mut self, now: Duration, input: replica::Input, events: &mut VecDeque<Event>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.replica.step(now, input, &mut outputs);
            self.process_outputs(&mut outputs, &mut inputs, events);
            self.outputs = outputs;
        }
    }

    fn process_outputs(
        &mut self,
        outputs: &mut Vec<replica::Output>,
        inputs: &mut VecDeque<replica::Input>,
        events: &mut VecDeque<Event>,
    ) {
        let mut writes = Vec::new();
        for output in outputs.drain(..) {
            match output {
                replica::Output::Persist(write) => writes.push(write),
                replica::Output::Send { to, message } => events.push_back(Event::Send(to, message)),
                replica::Output::Apply(entry) => self.apply(entry, inputs, events),
                replica::Output::Install(snapshot) => {
                    self.applied = snapshot.position.index;
                    self.snapshot_index = self.applied;
                    inputs.push_back(replica::Input::Applied { index: self.applied });
                    events.push_back(Event::Install(snapshot));
                }
                replica::Output::Committed { id, index } => {
                    self.committed.insert(index, id);
                }
                replica::Output::Rejected { id, reason } => events.push_back(Event::Rejected {
                    proposal: id,
                    never: reason != replica::Rejection::Unknown,
                }),
                replica::Output::Role(role) => self.set_role(role),
            }
        }
        self.write(writes, inputs);
    }

    fn apply(
        &mut self,
        entry: entries::Entry,
        inputs: &mut VecDeque<replica::Input>,
        events: &mut VecDeque<Event>,
    ) {
        let index = entry.position.index;
        self.applied = index;
        inputs.push_back(replica::Input::Applied { index });
        if let entries::Payload::Command(data) = &entry.payload {
            self.snapshot_bytes += data.len();
        }
        let proposal = self.committed.remove(&index);
        events.push_back(Event::Apply(entry));
        if let Some(proposal) = proposal {
            events.push_back(Event::Committed { proposal, index });
        }
    }

    fn write(&mut self, writes: Vec<write::Write>, inputs: &mut VecDeque<replica::Input>) {
        if writes.is_empty() || self.disk.write(writes) {
            return;
        }
        log::error!("belief=disk_failed reason=\"the disk does not keep up\"");
        self.failed = true;
        inputs.push_back(replica::Input::PersistFailed);
    }

    fn set_role(&mut self, role: replica::Role) {
        let status = self.replica.status();
        if role == replica::Role::Leader {
            self.lead_from = status.last.index;
        }
        log::info!(
            "belief=role role={role:?} term={} commit={} applied={}",
            status.term,
            status.commit,
            status.applied
        );
    }

    /// Returns the term in which this member leads with all earlier entries applied, whether or not it holds the lease.
    pub fn leading_term(&self) -> Option<u64> {
        let leads = self.replica.role() == replica::Role::Leader && self.applied >= self.lead_from;
        leads.then(|| self.replica.term())
    }

    /// Returns whether this member may answer reads and renew leases now.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.replica.holds_lease(now)
    }

    /// Returns whether the log has grown enough for a snapshot.
    pub const fn is_snapshot_due(&self) -> bool {
        self.applied - self.snapshot_index >= ENTRIES_PER_SNAPSHOT
            || self.snapshot_bytes >= BYTES_PER_SNAPSHOT
    }

    /// Stores a snapshot of the applied state and compacts the log.
    pub fn compact(&mut self, now: Duration, state: &cell::State, events: &mut VecDeque<Event>) {
        self.snapshot_index = self.applied;
        self.snapshot_bytes = 0;
        if let Some(snapshot) = self.replica.snapshot(self.applied, state.encode()) {
            self.step(now, replica::Input::Compact { snapshot }, events);
        }
    }

    /// Returns whether a write failed, so that the replica has to be reopened.
    pub const fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns the replica, for reads.
    pub const fn replica(&self) -> &replica::Replica {
        &self.replica
    }
}
