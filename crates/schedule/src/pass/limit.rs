//! Team quotas, parts and shares.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, team as model};

use crate::amount::relieves;
use crate::message::{Output, Reason};
use crate::scheduler::Scheduler;
use crate::{table, team};

/// Retries that a team may start at once, in thousandths.
pub(crate) const RETRY_BUDGET: u32 = 100_000;
/// Time to checkpoint when a team's part is lowered; the release of the part waits for it.
const LIMIT_GRACE: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Returns the record of a team; a team without a quota may run nothing.
    pub(crate) fn team(&mut self, now: Duration, id: id::TeamId) -> table::Team {
        *self.team_ids.entry(id).or_insert_with(|| {
            self.keys.push(0);
            self.teams.insert(team::Record {
                weight: 1,
                limit: resource::Amount::ZERO,
                allotment: resource::Amount::ZERO,
                used: resource::Amount::ZERO,
                promised: resource::Amount::ZERO,
                ending: resource::Amount::ZERO,
                runs: 0,
                past: 0.0,
                past_at: now,
                share: 0.0,
                key: 0,
                lanes: Default::default(),
                limited: false,
                waiting: 0,
                retries_milli: RETRY_BUDGET,
            })
        })
    }

    /// Sets a team's quota and part; a lowered part stops runs.
    pub(crate) fn set_team(
        &mut self,
        now: Duration,
        id: id::TeamId,
        quota: &model::Quota,
        allotment: resource::Amount,
    ) {
        let team = self.team(now, id);
        let record = &mut self.teams[team];
        let old = u64::from(record.weight);
        let lowered = !record.limit.fits(&quota.limit);
        record.weight = quota.weight.max(1);
        record.limit = quota.limit;
        record.allotment = allotment;
        if record.is_active() {
            self.active_weight = self.active_weight - old + u64::from(record.weight);
        }
        self.refresh_team(now, team);
        self.release_lanes(team);
        self.gangs_dirty |= !self.gangs.is_empty();
        if self.config.rules.team_limit {
            self.shrink_team(team);
        }
        if lowered && self.restored.is_some() {
            self.check_possible(now);
        }
    }

    /// Queues a team that uses more than its part.
    pub(crate) fn shrink_team(&mut self, team: table::Team) {
        if !self.over_allotment(team).is_zero() && !self.backlog.shrinking.contains(&team) {
            self.backlog.shrinking.push_back(team);
        }
    }

    /// Returns what a team uses above its part, without the runs that have been told to end.
    fn over_allotment(&self, team: table::Team) -> resource::Amount {
        let record = &self.teams[team];
        record
            .used
            .saturating_sub(&record.ending)
            .saturating_sub(&record.allotment)
    }

    /// Stops the newest runs of the lowest value until the rest fits into the part, up to the bound of a tick.
    /// Returns whether it fits. Each call looks at all runs, which takes about 0.1 ms at 17,000.
    pub(crate) fn shrink_some(&mut self, now: Duration, team: table::Team, out: &mut Vec<Output>) -> bool {
        if self.over_allotment(team).is_zero() {
            return true;
        }
        self.break_launches_of(team);
        let over = self.over_allotment(team);
        let mut runs: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.is_ending() && relieves(&run.size, &over))
            .filter(|(_, run)| self.jobs[run.job].team == team)
            .map(|(index, run)| (self.value(run.job), std::cmp::Reverse(run.token), index))
            .collect();
        let bound = self.work as usize;
        if runs.len() > bound {
            runs.select_nth_unstable(bound);
            runs.truncate(bound);
        }
        runs.sort_unstable();
        let found = !runs.is_empty();
        for (_, _, run) in runs {
            let over = self.over_allotment(team);
            if over.is_zero() {
                return true;
            }
            if relieves(&self.runs[run].size, &over) {
                self.stop(now, run, Reason::Limit, Some(LIMIT_GRACE), out);
            }
        }
        !found || self.over_allotment(team).is_zero()
    }

    /// Returns the value of a job's runs; lower is stopped first.
    fn value(&self, index: table::Job) -> u8 {
        let job = &self.jobs[index];
        let urgent = if job.priority == job::Priority::Urgent {
            4
        } else {
            0
        };
        let kind = match job.kind {
            job::Kind::Batch => 0,
            job::Kind::Gang => 1,
            job::Kind::Service => 2,
        };
        urgent + kind
    }

    /// Brings a team's share and key up to date.
    pub(crate) fn refresh_team(&mut self, now: Duration, team: table::Team) {
        let record = &mut self.teams[team];
        let share = record.used.dominant_share(&self.total);
        let old = record.key;
        record.refresh(now, self.config.usage_decay, share);
        self.reorder(team, old);
    }

    /// Brings the shares of all teams up to date, so that past usage decays.
    pub(crate) fn refresh_shares(&mut self, now: Duration) {
        for slot in 0..self.teams.slots() {
            let team = table::Index::new(slot);
            if self.teams.get(team).is_some() {
                self.refresh_team(now, team);
            }
        }
    }
}
