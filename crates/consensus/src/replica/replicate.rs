//! Replication of the log and of snapshots to the other members.

use std::time::Duration;

use bronzespoke_model::id;

use super::progress::{Mode, Transfer};
use super::{Output, Replica, State};
use crate::message::{Append, AppendReply, Body, Item, Outcome};
use crate::{log, snapshot};

impl Replica {
    /// Sends new entries to the members once the batch delay has passed or the batch is full.
    pub(super) fn flush(&mut self, out: &mut Vec<Output>) {
        let last = self.log.last().index;
        let now = self.now;
        let batch = self.config.max_batch_bytes;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let due = leader.flush_at.is_some_and(|at| at <= now) || leader.unflushed_bytes >= batch;
        if !due || leader.flushed >= last {
            return;
        }
        leader.flushed = last;
        leader.flush_at = None;
        leader.unflushed_bytes = 0;
        let members: Vec<_> = leader.progress.keys().copied().collect();
        for member in members {
            self.replicate_to(member, out);
        }
    }

    /// Sends entries to a member as far as its in-flight window allows.
    fn replicate_to(&mut self, to: id::VmId, out: &mut Vec<Output>) {
        loop {
            let State::Leader(leader) = &self.state else {
                return;
            };
            let Some(progress) = leader.progress.get(&to) else {
                return;
            };
            let has_capacity = progress.has_capacity(
                self.config.max_in_flight_messages,
                self.config.max_in_flight_bytes,
            );
            if !matches!(progress.mode, Mode::Pipeline) || !has_capacity || progress.next > leader.flushed {
                return;
            }
            if progress.next <= self.log.base().index {
                self.start_snapshot(to, out);
                return;
            }
            let entries = self.log.slice(progress.next, self.config.max_batch_bytes);
            self.send_append(to, entries, out);
        }
    }

    fn send_append(&mut self, to: id::VmId, entries: Vec<log::Entry>, out: &mut Vec<Output>) {
        let age = self.leader_age();
        let commit = self.commit;
        let now = self.now;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let index = progress.next - 1;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let bytes = entries.iter().map(|entry| entry.payload.size()).sum();
        if let Some(last) = entries.last() {
            progress.record_sent(last.position.index, bytes);
        }
        progress.sent_at = now;
        let append = Append {
            previous: log::Position { term, index },
            entries: entries.into_iter().map(Item::from_entry).collect(),
            commit,
            sent: now.as_micros() as u64,
            token: progress.token,
            age,
        };
        self.send(to, Body::Append(append), out);
    }

    /// Sends a heartbeat to each member to which nothing was sent for one heartbeat interval.
    pub(super) fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let due = leader
            .progress
            .iter()
            .filter(|(_, progress)| self.now >= progress.sent_at + self.config.heartbeat_interval);
        let members: Vec<_> = due.map(|(member, _)| *member).collect();
        for member in members {
            self.send_heartbeat(member, out);
        }
    }

    fn send_heartbeat(&mut self, to: id::VmId, out: &mut Vec<Output>) {
        let (now, election) = (self.now, self.config.election_timeout);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let unresponsive = progress.acked.unwrap_or(leader.elected_at) + election < now;
        if unresponsive && matches!(progress.mode, Mode::Pipeline) {
            // An unresponsive member receives only heartbeats, so that a failed VM costs little bandwidth.
            progress.start_probe(progress.matched + 1, now);
        }
        match progress.mode {
            Mode::Snapshot(_) => self.send_chunk(to, true, out),
            Mode::Probe if progress.next <= self.log.base().index => self.start_snapshot(to, out),
            Mode::Probe | Mode::Pipeline => self.send_append(to, Vec::new(), out),
        }
    }

    pub(super) fn on_append_reply(&mut self, from: id::VmId, reply: &AppendReply, out: &mut Vec<Output>) {
        let (now, election, last) = (self.now, self.config.election_timeout, self.log.last().index);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        let sent = Duration::from_micros(reply.sent);
        let newest = progress.acked.is_none_or(|acked| sent >= acked);
        progress.record_ack(sent, now);
        progress.token = reply.token;
        match reply.outcome {
            Outcome::Accepted { matched } => {
                progress.record_match(matched.min(last), last, now, election);
                if matches!(progress.mode, Mode::Probe) {
                    progress.mode = Mode::Pipeline;
                }
            }
            Outcome::Refused { previous, hint } => {
                // Restart probing at most once per round trip: a restart for each refusal of reordered messages
                // would multiply the messages.
                let newer = reply.sent >= progress.probed_at;
                let known = previous <= progress.matched && !newest;
                if newer && !known && !matches!(progress.mode, Mode::Snapshot(_)) {
                    progress.record_rejection(previous, hint, now);
                    self.send_heartbeat(from, out);
                }
            }
        }
        self.after_reply(from, out);
    }

    fn after_reply(&mut self, from: id::VmId, out: &mut Vec<Output>) {
        self.advance_commit(out);
        self.record_leader_freshness();
        self.continue_transfer(out);
        self.replicate_to(from, out);
    }

    fn start_snapshot(&mut self, to: id::VmId, out: &mut Vec<Output>) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let label = snapshot.label();
        progress.mode = Mode::Snapshot(Transfer {
            snapshot,
            label,
            offset: 0,
            data_sent: None,
        });
        self.send_chunk(to, true, out);
    }

    /// Sends the next chunk. A probe carries no data and only queries how much has arrived.
    fn send_chunk(&mut self, to: id::VmId, probe: bool, out: &mut Vec<Output>) {
        let (now, size) = (self.now, self.config.snapshot_chunk_bytes);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let Mode::Snapshot(transfer) = &progress.mode else {
            return;
        };
        let bytes = if probe { 0 } else { size };
        let chunk = transfer.snapshot.chunk(transfer.label, transfer.offset, bytes);
        progress.sent_at = now;
        self.send(
            to,
            Body::Snapshot {
                chunk,
                sent: now.as_micros() as u64,
            },
            out,
        );
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: id::VmId,
        label: snapshot::Label,
        received: u64,
        sent: u64,
        out: &mut Vec<Output>,
    ) {
        let (now, election, last) = (self.now, self.config.election_timeout, self.log.last().index);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.record_ack(Duration::from_micros(sent), now);
        let Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.label != label {
            return;
        }
        if received < label.total {
            if received != transfer.offset {
                transfer.offset = received;
                transfer.data_sent = None;
            }
            // A reply to a message sent before the current chunk does not mean that the chunk was lost.
            if transfer.data_sent.is_none_or(|at| sent >= at) {
                self.send_chunk(from, false, out);
            }
            return;
        }
        progress.start_probe(label.position.index + 1, now);
        progress.record_match(label.position.index, last, now, election);
        progress.mode = Mode::Pipeline;
        self.after_reply(from, out);
    }
}
