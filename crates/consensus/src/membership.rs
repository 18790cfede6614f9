//! Group membership. Members change one at a time, so any two consecutive majorities share a voter.

use std::collections::{BTreeSet, VecDeque};

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

/// Maximum number of voters of a group. The target topology has one root voter in each of 17 availability zones.
pub const MAX_VOTERS: usize = 31;
/// Maximum number of learners of a group.
pub const MAX_LEARNERS: usize = 31;
/// Maximum number of removed ids that are retained to refuse a returning member. Ids are never reused.
pub const MAX_REMOVED: usize = 512;

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose acknowledgements and votes count towards a quorum.
    pub voters: BTreeSet<id::VmId>,
    /// Members that receive the log but do not count towards a quorum.
    pub learners: BTreeSet<id::VmId>,
    /// Ids of removed members, most recently removed last.
    pub removed: VecDeque<id::VmId>,
}

/// A single-member change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner, which receives the log but does not count towards a quorum.
    AddLearner(id::VmId),
    /// Promotes a learner that has caught up to a voter.
    Promote(id::VmId),
    /// Permanently removes a voter or learner.
    Remove(id::VmId),
}

/// Reason for which a change is not valid for the current membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Error {
    /// The VM is already a member.
    Member,
    /// The VM to remove is not a member, or the VM to promote is not a learner.
    NotMember,
    /// The VM was removed; it may rejoin only under a new id.
    Removed,
    /// The last voter cannot be removed.
    LastVoter,
    /// The group already has the maximum number of voters or learners.
    Full,
}

impl Membership {
    /// Returns a membership with the given voters and no learners.
    pub fn from_voters(voters: impl IntoIterator<Item = id::VmId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a VM is a voter or learner.
    pub fn contains(&self, vm: id::VmId) -> bool {
        self.voters.contains(&vm) || self.learners.contains(&vm)
    }

    /// Returns the approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        (self.voters.len() + self.learners.len() + self.removed.len()) * size_of::<id::VmId>()
    }

    /// Returns the membership after a change, or why the change is not valid.
    pub fn with_change(&self, change: Change) -> Result<Self, Error> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(vm) => next.add(vm)?,
            Change::Promote(vm) => next.promote(vm)?,
            Change::Remove(vm) => next.remove(vm)?,
        }
        Ok(next)
    }

    fn add(&mut self, vm: id::VmId) -> Result<(), Error> {
        if self.contains(vm) {
            return Err(Error::Member);
        }
        if self.removed.contains(&vm) {
            return Err(Error::Removed);
        }
        if self.learners.len() >= MAX_LEARNERS {
            return Err(Error::Full);
        }
        self.learners.insert(vm);
        Ok(())
    }

    fn promote(&mut self, vm: id::VmId) -> Result<(), Error> {
        if self.voters.len() >= MAX_VOTERS {
            return Err(Error::Full);
        }
        if !self.learners.remove(&vm) {
            return Err(Error::NotMember);
        }
        self.voters.insert(vm);
        Ok(())
    }

    fn remove(&mut self, vm: id::VmId) -> Result<(), Error> {
        if self.voters.len() == 1 && self.voters.contains(&vm) {
            return Err(Error::LastVoter);
        }
        if !self.voters.remove(&vm) && !self.learners.remove(&vm) {
            return Err(Error::NotMember);
        }
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(vm);
        Ok(())
    }
}
