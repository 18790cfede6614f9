//! Queues of waiting jobs, grouped by the requirements of their tasks.
//!
//! A lane is a first-in, first-out queue of the jobs of one team whose tasks have equal requirements and the same
//! tier, so that each requirement is compared once, however long the queue is. A class groups the lanes of all teams
//! with equal requirements. A lane is runnable when a worker with room for it may exist; it is then looked up in the
//! index of free capacity. Other lanes wait until capacity is freed on a worker, and are compared with that worker
//! only. A lane is blocked, and not listed in its class, while its team is at its allotment.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};

use crate::{index, table};

/// Priority tier of waiting work; lower tiers are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// Urgent jobs.
    Urgent,
    /// Service tasks that replace ended ones.
    Replacement,
    /// All other work.
    Normal,
}

/// Number of variants of [`Tier`].
pub(crate) const TIERS: usize = 3;

/// Waiting jobs of one team with equal requirements.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) team: table::Team,
    pub(crate) tier: Tier,
    /// Jobs by sequence number; never empty.
    pub(crate) jobs: BTreeMap<u64, table::Job>,
    /// Position in the team's list of the tier.
    pub(crate) position: usize,
    pub(crate) class: table::Class,
    /// Position in the list of the class; none while the lane is blocked by the team's allotment.
    pub(crate) listed: Option<usize>,
}

/// A lane in the list of its class, with the keys of its scheduling order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listed {
    pub(crate) lane: table::Lane,
    pub(crate) team: table::Team,
    pub(crate) tier: Tier,
}

/// Lanes of all teams with equal requirements.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) size: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    /// Lanes that are not blocked by their team's allotment.
    pub(crate) lanes: Vec<Listed>,
    /// Number of lanes that refer to the class, blocked or not.
    pub(crate) references: u32,
    /// Whether it is known that no worker has room for a task of the class.
    pub(crate) full: bool,
    /// Location in the index of demand; none without listed lanes.
    pub(crate) slot: Option<index::Slot>,
}

/// A lane in the list of its team, with the fields that a search compares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) size: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    /// Whether a worker with room may exist.
    pub(crate) runnable: bool,
    pub(crate) lane: table::Lane,
    /// Sequence number of the first job.
    pub(crate) first: u64,
}

/// Identity of a lane.
pub(crate) type Key = (table::Team, Tier, resource::Amount, id::AcceleratorKind);

/// Teams with waiting work in one tier in fair-share order, each with a lower bound of its task sizes in every
/// dimension.
pub(crate) type Order = BTreeMap<(u64, table::Team), resource::Amount>;
