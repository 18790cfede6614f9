//! Requests of durable writes, and their completion.

use super::{Output, Replica, State};
use crate::{log, snapshot, write};

impl Replica {
    pub(super) fn persist(&mut self, kind: write::Kind, out: &mut Vec<Output>) {
        self.sequence += 1;
        let last = match &kind {
            write::Kind::Append { entries, .. } => entries.last().map(|entry| entry.position.index),
            write::Kind::Install(snapshot) => Some(snapshot.position.index),
            write::Kind::Vote(_) | write::Kind::Commit(_) | write::Kind::Compact { .. } => None,
        };
        if matches!(kind, write::Kind::Vote(_)) {
            self.vote_sequence = self.sequence;
        }
        self.pending.push_back((self.sequence, last));
        if !self.store_failed {
            out.push(Output::Persist(write::Write {
                sequence: self.sequence,
                kind,
            }));
        }
    }

    pub(super) fn persist_vote(&mut self, out: &mut Vec<Output>) {
        self.persist(write::Kind::Vote(self.vote), out);
    }

    pub(super) fn on_persisted(&mut self, through: u64, out: &mut Vec<Output>) {
        if self.store_failed || through <= self.persisted {
            return;
        }
        self.persisted = through.min(self.sequence);
        while let Some((sequence, last)) = self.pending.front().copied() {
            if sequence > self.persisted {
                break;
            }
            self.pending.pop_front();
            self.durable = last.unwrap_or(self.durable).max(self.durable);
        }
        while let Some((_, commit)) = self.pending_commits.pop_front_if(|write| write.0 <= through) {
            self.stored_commit = self.stored_commit.max(commit);
        }
        if let Some((_, snapshot)) = self.pending_install.take_if(|received| received.0 <= through) {
            out.push(Output::Install(snapshot));
        }
        while let Some((_, to, message)) = self.deferred.pop_front_if(|held| held.0 <= through) {
            out.push(Output::Send { to, message });
        }
        if self.persisted >= self.vote_sequence {
            self.count_self_vote(out);
        }
        self.advance_commit(out);
    }

    pub(super) fn on_persist_failed(&mut self, out: &mut Vec<Output>) {
        if self.store_failed {
            return;
        }
        self.store_failed = true;
        self.deferred.clear();
        match self.state {
            State::Leader(_) => self.start_transfer(None, out),
            _ => self.state = State::Follower,
        }
    }

    pub(super) fn compact(&mut self, snapshot: snapshot::Snapshot, out: &mut Vec<Output>) {
        let index = snapshot.position.index;
        let newest = self.snapshot.as_ref().map_or(0, |held| held.position.index);
        let known = self.log.term_at(index) == Some(snapshot.position.term);
        if index <= newest || index > self.applied || !known || self.store_failed {
            return;
        }
        let first = (index + 1)
            .saturating_sub(self.config.retained_entries)
            .max(self.log.base().index + 1);
        self.snapshot = Some(snapshot.clone());
        self.log.compact(first);
        let base = self.log.base().index;
        let keep = self
            .memberships
            .iter()
            .rposition(|(index, _)| *index <= base)
            .unwrap_or(0);
        self.memberships.drain(..keep);
        self.persist(write::Kind::Compact { snapshot, first }, out);
    }

    /// Appends entries to the log and requests their write.
    pub(super) fn append(&mut self, entries: Vec<log::Entry>, out: &mut Vec<Output>) {
        for entry in &entries {
            if let log::Payload::Membership(members) = &entry.payload {
                self.memberships.push((entry.position.index, members.clone()));
            }
            self.log.push(entry.clone());
        }
        self.persist(
            write::Kind::Append {
                entries,
                commit: self.commit,
            },
            out,
        );
        if !self.config.rules.acknowledge_after_sync {
            self.durable = self.log.last().index;
        }
    }

    /// Removes uncommitted entries from an index on.
    pub(super) fn truncate(&mut self, from: u64) {
        assert!(from > self.commit, "committed entries are never truncated");
        self.log.truncate(from);
        self.memberships.retain(|(index, _)| *index < from);
        self.durable = self.durable.min(from - 1);
        for (_, last) in &mut self.pending {
            *last = last.map(|index| index.min(from - 1));
        }
    }

    /// Requests a write of the commit index if it is not stored and no write of it is pending.
    pub(super) fn store_commit(&mut self, out: &mut Vec<Output>) {
        if !self.config.store_commit || self.store_failed || self.requested_commit >= self.commit {
            return;
        }
        self.requested_commit = self.commit;
        self.persist(write::Kind::Commit(self.commit), out);
        self.pending_commits.push_back((self.sequence, self.commit));
    }
}
