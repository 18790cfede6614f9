//! Processing of messages from the leader.

use std::time::Duration;

use bronzespoke_model::id;

use super::{Output, Replica, State};
use crate::message::{Append, AppendReply, Body, Outcome};
use crate::{log, snapshot, write};

impl Replica {
    /// Records contact from the leader of the current term.
    fn record_leader_contact(&mut self, from: id::VmId, out: &mut Vec<Output>) {
        assert!(!matches!(self.state, State::Leader(_)), "a term has one leader");
        self.become_follower(Some(from), out);
        self.leader_contact = Some(self.now);
    }

    fn reply_append(
        &mut self,
        to: id::VmId,
        outcome: Outcome,
        sent: u64,
        sequence: u64,
        out: &mut Vec<Output>,
    ) {
        let token = self.freshness.token(self.now);
        self.send_once_durable(
            sequence,
            to,
            Body::AppendReply(AppendReply { outcome, sent, token }),
            out,
        );
    }

    pub(super) fn on_append(&mut self, from: id::VmId, mut append: Append, out: &mut Vec<Output>) {
        if self.removed {
            return;
        }
        if self.store_failed {
            // The entries cannot be stored, so the message is processed as a heartbeat.
            append.entries.clear();
        }
        self.record_leader_contact(from, out);
        let previous = append.previous;
        let covered = previous.index < self.log.base().index;
        if !covered && self.log.term_at(previous.index) != Some(previous.term) {
            let outcome = Outcome::Refused {
                previous: previous.index,
                hint: self.conflict_hint(previous.index),
            };
            self.reply_append(from, outcome, append.sent, self.vote_sequence, out);
            return;
        }
        let (age, token, commit, sent) = (append.age, append.token, append.commit, append.sent);
        let matched = previous.index + append.entries.len() as u64;
        let heartbeat = append.entries.is_empty();
        self.store_entries(append, out);
        self.set_commit(commit.min(matched), out);
        self.update_freshness(age, token, commit);
        // Entries covered by a snapshot are committed and therefore durable.
        let durable = matched.min(self.durable.max(self.log.base().index));
        let (matched, sequence) = match () {
            () if !self.config.rules.acknowledge_after_sync => (matched, 0),
            // Heartbeats are acknowledged immediately, so that a slow disk does not let the lease expire.
            () if heartbeat || durable == matched => (durable, self.vote_sequence),
            () => (matched, self.sequence),
        };
        self.reply_append(from, Outcome::Accepted { matched }, sent, sequence, out);
    }

    /// Returns the highest index at which the log may match the leader's, given that it does not match at `previous`.
    fn conflict_hint(&self, previous: u64) -> u64 {
        let last = self.log.last().index;
        if previous > last {
            return last;
        }
        (self.log.term_start(previous) - 1).max(self.commit.min(previous - 1))
    }

    fn store_entries(&mut self, append: Append, out: &mut Vec<Output>) {
        let mut new_entries = Vec::new();
        for (index, item) in (append.previous.index + 1..).zip(append.entries) {
            let entry = item.into_entry(index);
            if new_entries.is_empty() {
                if index <= self.log.base().index || self.log.term_at(index) == Some(entry.position.term) {
                    continue;
                }
                if index <= self.log.last().index {
                    self.truncate(index);
                }
            }
            new_entries.push(entry);
        }
        if !new_entries.is_empty() {
            self.append(new_entries, out);
        }
    }

    /// Subtracts the age of the leader's state, extended by the clock drift, from the send time of the reply that the
    /// leader received last.
    fn update_freshness(&mut self, age: Option<u64>, token: u32, commit: u64) {
        let (Some(age), Some(sent_at)) = (age, self.freshness.sent_at(token)) else {
            return;
        };
        let age = Duration::from_micros(age).mul_f64(1.0 + self.config.clock_drift);
        if let Some(freshness) = sent_at.checked_sub(age) {
            self.freshness.record(self.applied, commit, freshness);
        }
    }

    pub(super) fn on_snapshot(
        &mut self,
        from: id::VmId,
        chunk: &snapshot::Chunk,
        sent: u64,
        out: &mut Vec<Output>,
    ) {
        if self.removed {
            return;
        }
        self.record_leader_contact(from, out);
        let label = chunk.label;
        let reply = |received| Body::SnapshotReply {
            label,
            received,
            sent,
        };
        if label.total > snapshot::MAX_SNAPSHOT_BYTES || self.store_failed {
            return;
        }
        let older = label.position.index <= self.commit && self.config.rules.reject_older_snapshot;
        let held = self.log.term_at(label.position.index) == Some(label.position.term);
        if older || (held && self.config.rules.reject_older_snapshot) {
            self.partial = None;
            self.set_commit(label.position.index, out);
            // The leader may count these entries as replicated, so the reply waits until they are durable.
            self.send_once_durable(self.sequence, from, reply(label.total), out);
            return;
        }
        let mut partial = self.partial.take().filter(|partial| partial.label() == label);
        let progress = partial
            .get_or_insert_with(|| snapshot::Partial::new(label))
            .add(chunk);
        match progress {
            snapshot::Progress::More(received) => {
                self.partial = partial;
                self.send_once_durable(self.vote_sequence, from, reply(received), out);
            }
            snapshot::Progress::Corrupt => self.send_once_durable(self.vote_sequence, from, reply(0), out),
            snapshot::Progress::Complete(snapshot) => {
                self.install_snapshot(snapshot, out);
                self.send_once_durable(self.sequence, from, reply(label.total), out);
            }
        }
    }

    fn install_snapshot(&mut self, snapshot: snapshot::Snapshot, out: &mut Vec<Output>) {
        let log::Position { index, .. } = snapshot.position;
        self.log.reset(snapshot.position);
        self.memberships = vec![(index, snapshot.membership.clone())];
        self.durable = 0;
        for (_, last) in &mut self.pending {
            *last = None;
        }
        self.commit = index;
        self.emitted = index;
        self.snapshot = Some(snapshot.clone());
        self.persist(write::Kind::Install(snapshot.clone()), out);
        if self.waits_for_stored_commit() {
            // The write of the snapshot also stores its index. Before that, a crash would revert the applied index.
            self.requested_commit = self.requested_commit.max(index);
            self.pending_commits.push_back((self.sequence, index));
            self.pending_install = Some((self.sequence, snapshot));
        } else {
            out.push(Output::Install(snapshot));
        }
        if self.membership().removed.contains(&self.config.id) {
            self.on_removed(out);
        }
    }
}
