//! Queues of waiting jobs, grouped by what their tasks need.
//!
//! A lane holds the jobs of one team whose tasks have equal needs and equal urgency; a class groups the lanes of
//! all teams with equal needs. When no worker has room for a class, all its lanes are passed over at once, until
//! a worker with room for it is freed.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};

use crate::table;

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

/// Where a lane waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// In the list of its class, at this position.
    Class(usize),
    /// In the list of its team, at this position, until the team is further below its part.
    Team(usize),
}

/// Jobs of one team that wait with the same needs.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) team: table::Team,
    pub(crate) class: table::Class,
    pub(crate) tier: Tier,
    /// By order of submission; never empty.
    pub(crate) jobs: BTreeMap<u64, table::Job>,
    pub(crate) place: Place,
}

/// Whether workers have room for a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// No lane waits in the class.
    Idle,
    /// To be tried; position in the list of open classes.
    Open(usize),
    /// No worker has room; position in the list of blocked classes.
    Blocked(usize),
}

/// Needs that tasks have in common.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) size: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    pub(crate) lanes: Vec<table::Lane>,
    pub(crate) state: State,
    /// Lanes that refer to the class, listed here or held by their team.
    pub(crate) references: u32,
}
