//! Order in which waiting steps are placed.
//!
//! In a burst, more work is ready than fits, and jobs of little work and short objectives arrive among wide ones.
//! Steps of queues of the highest priority come first, and within a priority, when all is full, those of teams within
//! their share (`share`). The others are ordered by slack, the time that remains before a
//! job would miss its next goal. The first goal is the objective. A job that misses it is still useful until three
//! times the objective, so that becomes its goal; it is therefore not starved by jobs that arrived later. A job that
//! cannot meet this goal either is placed last.

use std::{cmp::Ordering, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_workload::catalog;

/// Multiple of its objective up to which a late job is still useful to its caller.
pub(crate) const USEFUL_MULTIPLE: u64 = 3;
/// Time since its begin after which a step is ordered by slack alone, whatever the share of its team, in milliseconds.
/// Before, it is deferred only while its job can still be useful. A burst and the backlog that it leaves take less, so
/// that the work of a team that sends too much does not pass that of others meanwhile.
const MAX_DEFERRAL_MS: u64 = 60_000;

/// Past use moves a step by at most the objective divided by this: a step of a heavy team precedes any that arrive later
/// than that with the same work.
const MAX_SHIFT_DIVISOR: f64 = 4.0;

/// Expected times of a step's job.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Length of the critical path of the complete job.
    pub chain: Duration,
    /// Length of the critical path from the start of the step.
    pub remaining: Duration,
    /// Objective of the job in milliseconds.
    pub objective_ms: u64,
}

impl Times {
    /// Returns the times of a job in a queue, whose critical path is `chain`, and `remaining` from the start of the step.
    pub fn new(queue: &catalog::Queue, chain: Duration, remaining: Duration) -> Self {
        // The operator's numbers are not limited; the conversion to an integer saturates.
        let stretched_ms = (chain.as_secs_f64() * 1_000.0 * queue.stretch.max(1.0)) as u64;
        let constant_ms = u64::try_from(queue.objective.as_millis()).unwrap_or(u64::MAX);
        Self {
            chain,
            remaining,
            objective_ms: stretched_ms.saturating_add(constant_ms),
        }
    }
}

/// Position of a step among the waiting ones; smaller comes first.
#[derive(Debug, Clone, Copy)]
pub struct Rank {
    /// Whether no goal can be met any more.
    pub useless: bool,
    /// 0 for the highest priority, 1 for others.
    pub tier: u8,
    /// Position of the job's team within the priority; smaller comes first.
    pub share: u32,
    /// Whether the share of the team may place the step after others; does not affect the order.
    pub is_deferrable: bool,
    /// Time by which the past use of the team makes the step less urgent, in milliseconds; contained in `latest_start`.
    pub shift_ms: u64,
    /// Times from which the rank was computed; they do not affect the order by themselves.
    pub times: Times,
    /// Latest start that meets the next goal, in milliseconds since the Unix epoch.
    pub latest_start: u64,
}

impl Rank {
    /// Makes the step less urgent by a portion of a quarter of its objective.
    pub fn shift(&mut self, portion: f64) {
        self.shift_ms = (self.times.objective_ms as f64 / MAX_SHIFT_DIVISOR * portion.clamp(0.0, 1.0)) as u64;
        self.latest_start = self.latest_start.saturating_add(self.shift_ms);
    }

    /// Returns the rank without the effect of past use.
    pub const fn without_shift(&self) -> Self {
        Self {
            shift_ms: 0,
            latest_start: self.latest_start - self.shift_ms,
            ..*self
        }
    }

    /// Returns whether the share of the team may place the step after others.
    pub const fn may_be_deferred(&self, begun_ms: u64, wall_ms: u64) -> bool {
        !self.useless && wall_ms < begun_ms.saturating_add(MAX_DEFERRAL_MS)
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |rank: &Self| (rank.useless, rank.tier, rank.share, rank.latest_start);
        key(self).cmp(&key(other))
    }
}

/// Returns the rank of a step whose job is expected to need `remaining` from its start to the end of the job.
///
/// `begun_ms` is the time of submission or the due time of the occurrence, and `chain` is the length of the critical
/// path of the complete job.
pub fn compute(job: &cell::Job, begun_ms: u64, chain: Duration, remaining: Duration, wall_ms: u64) -> Rank {
    let queue = &job.queue;
    let times = Times::new(queue, chain, remaining);
    let objective_ms = times.objective_ms;
    let remaining_ms = remaining.as_millis() as u64;
    let end_ms = wall_ms.saturating_add(remaining_ms);
    let useful_ms = begun_ms.saturating_add(objective_ms.saturating_mul(USEFUL_MULTIPLE));
    let first_goal_ms = begun_ms.saturating_add(objective_ms);
    let goal_ms = if end_ms <= first_goal_ms {
        first_goal_ms
    } else {
        useful_ms
    };
    Rank {
        useless: end_ms > useful_ms,
        tier: u8::from(queue.priority > 0),
        share: 0,
        is_deferrable: false,
        shift_ms: 0,
        times,
        latest_start: goal_ms.saturating_sub(remaining_ms),
    }
}
