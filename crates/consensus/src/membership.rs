//! Members of a group, changed one at a time so that any two consecutive majorities share a voter.

use std::collections::{BTreeSet, VecDeque};

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

/// Voters that a group may have; the target topology has one root voter in each of 17 availability zones.
pub const MAX_VOTERS: usize = 31;
/// Learners that a group may have at once.
pub const MAX_LEARNERS: usize = 31;
/// Removed ids that are remembered, so that a late return is refused. Ids are never used twice.
pub const MAX_REMOVED: usize = 512;

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose acknowledgements and votes count.
    pub voters: BTreeSet<id::VmId>,
    /// Members that receive the log and are never counted.
    pub learners: BTreeSet<id::VmId>,
    /// Former members, newest last.
    pub removed: VecDeque<id::VmId>,
}

/// One change of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner, which receives the log without being counted.
    AddLearner(id::VmId),
    /// Makes a learner that has caught up a voter.
    Promote(id::VmId),
    /// Removes a voter or learner for good.
    Remove(id::VmId),
}

/// Why a change does not fit the current members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Error {
    /// The VM is a member already.
    Member,
    /// The VM is not a member, or not a learner.
    NotMember,
    /// The VM was removed; it may only return under a new id.
    Removed,
    /// The last voter cannot be removed.
    LastVoter,
    /// The group has as many voters or learners as it may have.
    Full,
}

impl Membership {
    /// Returns a membership with voters only.
    pub fn from_voters(voters: impl IntoIterator<Item = id::VmId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Votes or acknowledgements that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether a VM is a voter or learner.
    pub fn contains(&self, vm: id::VmId) -> bool {
        self.voters.contains(&vm) || self.learners.contains(&vm)
    }

    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        (self.voters.len() + self.learners.len() + self.removed.len()) * size_of::<id::VmId>()
    }

    /// Returns the members after a change.
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
