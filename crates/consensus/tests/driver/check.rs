//! Invariants that are checked after every step.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_consensus::log;
use bronzespoke_consensus::replica::{Replica, Role};
use bronzespoke_model::id::VmId;

use super::node::{self, Node};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two members were leader in the same term.
    TwoLeaders,
    /// Two members applied different entries at the same index.
    LogsDiffer,
    /// Two members have different states at the same index.
    StatesDiffer,
    /// A new leader lacks a committed entry.
    CommittedLost,
    /// An entry was committed without being durable on a majority of the voters.
    CommittedWithoutMajority,
    AppliedWentBack,
    AppliedOutOfOrder,
    /// Two members hold a valid lease.
    TwoLeases,
    /// A member with a lease does not hold an acknowledged entry.
    StaleLease,
    /// A member reports a freshness although it has not applied an entry acknowledged before that time.
    OverstatedFreshness,
    /// A learner was promoted that lacks entries committed two election timeouts ago.
    PromotedTooEarly,
    /// The run exceeded its step limit, so messages or timers multiply.
    TooManySteps,
}

#[derive(Debug, Default)]
pub struct Check {
    leaders: BTreeMap<u64, VmId>,
    entries: BTreeMap<u64, log::Entry>,
    states: BTreeMap<u64, u64>,
    /// Last position that a leader reported as committed or a member applied.
    committed: log::Position,
    /// When each index was first acknowledged to a client.
    acknowledged: Vec<(Duration, u64)>,
    /// Last seen commit index of each incarnation of each member.
    commits: BTreeMap<(VmId, u32), u64>,
    /// Commit index over time.
    history: Vec<(Duration, u64)>,
}

impl Check {
    pub fn applied(&mut self, _node: VmId, entry: &log::Entry) -> Result<(), Violation> {
        let known = self
            .entries
            .entry(entry.position.index)
            .or_insert_with(|| entry.clone());
        if known != entry {
            return Err(Violation::LogsDiffer);
        }
        if entry.position.index > self.committed.index {
            self.committed = entry.position;
        }
        Ok(())
    }

    pub fn acknowledged(&mut self, now: Duration, index: u64) {
        let newest = self.acknowledged.last().map_or(0, |held| held.1);
        if index > newest {
            self.acknowledged.push((now, index));
        }
    }

    pub fn after_step(
        &mut self,
        now: Duration,
        id: VmId,
        nodes: &BTreeMap<VmId, Node>,
    ) -> Result<(), Violation> {
        let Some(node) = nodes.get(&id) else { return Ok(()) };
        let Some(replica) = &node.replica else {
            return Ok(());
        };
        self.check_state(node)?;
        self.check_commit(now, node, replica, nodes)?;
        self.check_leader(node, replica)?;
        self.check_freshness(now, node, replica)?;
        self.check_leases(now, nodes)
    }

    fn check_state(&mut self, node: &Node) -> Result<(), Violation> {
        let known = *self.states.entry(node.applied).or_insert(node.state);
        if known == node.state {
            Ok(())
        } else {
            Err(Violation::StatesDiffer)
        }
    }

    fn check_commit(
        &mut self,
        now: Duration,
        node: &Node,
        replica: &Replica,
        nodes: &BTreeMap<VmId, Node>,
    ) -> Result<(), Violation> {
        let status = replica.status();
        let before = self
            .commits
            .insert((node.id, node.incarnation), status.commit)
            .unwrap_or(0);
        if status.role != Role::Leader || status.commit <= before {
            return Ok(());
        }
        let Some(term) = replica.term_at(status.commit) else {
            return Ok(());
        };
        let position = log::Position {
            term,
            index: status.commit,
        };
        if position.index > self.committed.index {
            self.committed = position;
        }
        if self.history.last().is_none_or(|held| held.1 < position.index) {
            self.history.push((now, position.index));
        }
        let voters = &status.membership.voters;
        let holders = voters
            .iter()
            .filter(|voter| nodes.get(voter).is_some_and(|node| node.holds(position)));
        if holders.count() < status.membership.quorum() {
            return Err(Violation::CommittedWithoutMajority);
        }
        Ok(())
    }

    fn check_leader(&mut self, node: &Node, replica: &Replica) -> Result<(), Violation> {
        let status = replica.status();
        if status.role != Role::Leader {
            return Ok(());
        }
        if *self.leaders.entry(status.term).or_insert(node.id) != node.id {
            return Err(Violation::TwoLeaders);
        }
        let newest = self
            .leaders
            .last_key_value()
            .is_some_and(|(term, _)| *term == status.term);
        let committed = self.committed;
        let held = replica.term_at(committed.index);
        let lost = committed.index > status.base.index && held != Some(committed.term);
        if newest && lost {
            Err(Violation::CommittedLost)
        } else {
            Ok(())
        }
    }

    /// Checks that a promoted member has all entries committed two election timeouts ago.
    pub fn promoted(&self, now: Duration, member: &Node) -> Result<(), Violation> {
        let limit = now.saturating_sub(Duration::from_millis(1_250));
        let old = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at <= limit)
            .map_or(0, |held| held.1);
        let snapshot = member
            .disk
            .snapshot
            .as_ref()
            .map_or(0, |held| held.position.index);
        let last = member.disk.entries.last().map_or(0, |entry| entry.position.index);
        if last.max(snapshot) < old {
            Err(Violation::PromotedTooEarly)
        } else {
            Ok(())
        }
    }

    fn check_freshness(&self, now: Duration, node: &Node, replica: &Replica) -> Result<(), Violation> {
        let Some(freshness) = replica.freshness(node.local(now)) else {
            return Ok(());
        };
        let freshness = node.global(freshness);
        let before = self.acknowledged.iter().rev().find(|(at, _)| *at < freshness);
        match before {
            Some((_, index)) if *index > node.applied => Err(Violation::OverstatedFreshness),
            _ => Ok(()),
        }
    }

    fn check_leases(&self, now: Duration, nodes: &BTreeMap<VmId, Node>) -> Result<(), Violation> {
        let newest = self.acknowledged.last().map_or(0, |held| held.1);
        let mut holders = 0;
        for node in nodes.values() {
            let Some(replica) = &node.replica else { continue };
            if !replica.holds_lease(node.local(now)) {
                continue;
            }
            holders += 1;
            if replica.status().commit < newest {
                return Err(Violation::StaleLease);
            }
        }
        if holders > 1 {
            Err(Violation::TwoLeases)
        } else {
            Ok(())
        }
    }

    /// Returns the entries applied so far by any member.
    pub fn entries(&self) -> &BTreeMap<u64, log::Entry> {
        &self.entries
    }
}

/// Returns the hash chain over all known entries up to an index.
pub fn expected_state(entries: &BTreeMap<u64, log::Entry>, index: u64) -> u64 {
    entries
        .range(..=index)
        .fold(0, |state, (_, entry)| node::chain(state, entry))
}
