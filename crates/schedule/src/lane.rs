//! Queues of waiting jobs, grouped by what their tasks need.
//!
//! A lane holds the jobs of one team whose tasks have equal needs and equal urgency, so that each need is compared
//! once, however long the queue is. A class groups the lanes of all teams with equal needs. A lane is fresh when a
//! worker with room for it may exist; it is then looked up in the index of free capacity. Other lanes wait until a
//! worker is freed, and are compared with that worker only.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};

use crate::{index, table};

/// Order in which waiting work is considered; lower first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// Urgent jobs.
    Urgent,
    /// Service tasks that replace ended ones.
    Replacement,
    /// Everything else.
    Normal,
}

/// Number of tiers.
pub(crate) const TIERS: usize = 3;

/// Jobs of one team that wait with the same needs.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) team: table::Team,
    pub(crate) tier: Tier,
    /// By order of submission; never empty.
    pub(crate) jobs: BTreeMap<u64, table::Job>,
    /// Position in the team's list of the tier.
    pub(crate) position: usize,
    pub(crate) class: table::Class,
    /// Position in the list of the class; none while the team's limit holds the lane.
    pub(crate) listed: Option<usize>,
}

/// A lane in the list of its class, with what decides its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listed {
    pub(crate) lane: table::Lane,
    pub(crate) team: table::Team,
    pub(crate) tier: Tier,
}

/// Needs that lanes have in common.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) size: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    /// Lanes that are not held by their team's limit.
    pub(crate) lanes: Vec<Listed>,
    /// Lanes that refer to the class, held or not.
    pub(crate) references: u32,
    /// Whether it is known that no worker has room.
    pub(crate) full: bool,
    /// Place in the index of needs; none without lanes.
    pub(crate) slot: Option<index::Slot>,
}

/// A lane in the list of its team, with what a search compares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) size: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    /// Whether a worker with room may exist.
    pub(crate) fresh: bool,
    pub(crate) lane: table::Lane,
    /// Order of the first job.
    pub(crate) first: u64,
}

/// What makes lanes equal.
pub(crate) type Key = (table::Team, Tier, resource::Amount, id::AcceleratorKind);

/// Teams with waiting work in one tier, by turn, each with a lower bound of its needs.
pub(crate) type Order = BTreeMap<(u64, table::Team), resource::Amount>;
