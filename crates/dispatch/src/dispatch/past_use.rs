//! Past use of the teams: counted by the leader, recorded for the next one, and part of the order of waiting work.
//!
//! Load: a team stays far beyond its share for hours, and slack alone gives it the same turn as teams that used little.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::eligibility;

use super::{Dispatch, Event, Output, event, shares};
use crate::rank;

/// Part of the half-life after which changes are recorded. A new leader lacks at most one interval.
const RECORDS_PER_HALF_LIFE: u32 = 128;
/// Bounds of the interval between two records.
const RECORD_INTERVAL: std::ops::RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_mins(1);
/// A change is recorded from one part in this many of the recorded value on.
const RECORDED_RATIO: u64 = 100;
/// Smallest change that is recorded, in millionths of the fleet.
const MIN_RECORDED_MICRO: u64 = 10;

impl Dispatch {
    /// Continues with the past use that earlier leaders recorded.
    pub(super) fn inherit_past_use(&mut self, state: &cell::State, now: Duration) {
        if self.config.past_use.is_none() {
            return;
        }
        self.shares.configure(self.limits.as_deref());
        for (team, past) in state.past_use() {
            let value = past.share_micro as f64 / 1e6;
            self.shares.inherit_past(team, value, now);
        }
    }

    /// Records the past use that has changed, when it is time.
    pub(super) fn record_past_use(&mut self, state: &cell::State, now: Duration) {
        let Some(half_life) = self.config.past_use else {
            return;
        };
        if now < self.past_use_at {
            return;
        }
        let interval = half_life / RECORDS_PER_HALF_LIFE;
        let is_first = self.past_use_at.is_zero();
        self.past_use_at = now + interval.clamp(*RECORD_INTERVAL.start(), *RECORD_INTERVAL.end());
        if is_first {
            return;
        }
        self.shares.count_past(now, half_life);
        let mut changes = Vec::new();
        for (team, past) in self.shares.past() {
            let recorded = state.past_use().get(team).map(|past| past.share_micro);
            let micro = shares::micro(past);
            let change = recorded.unwrap_or_default().abs_diff(micro);
            let threshold = (recorded.unwrap_or_default() / RECORDED_RATIO).max(MIN_RECORDED_MICRO);
            if micro < MIN_RECORDED_MICRO {
                if recorded.is_some() {
                    changes.push((String::from(team), None));
                }
            } else if change >= threshold {
                let past = cell::PastUse { share_micro: micro };
                changes.push((String::from(team), Some(past)));
            }
        }
        let configured = |name: &str| {
            self.limits
                .as_ref()
                .is_none_or(|limits| limits.team(name).is_some())
        };
        let removed = state.past_use().keys().filter(|name| !configured(name));
        changes.extend(removed.map(|name| (name.clone(), None)));
        if !changes.is_empty() {
            changes.sort_by(|left, right| left.0.cmp(&right.0));
            self.outputs.push(Output::Propose(cell::Command::Learn {
                speeds: Vec::new(),
                past_use: changes,
            }));
        }
    }

    /// Logs the teams whose steps past use has moved behind others in this pass.
    pub(super) fn report_moved(
        &mut self,
        state: &cell::State,
        now: Duration,
        steps: &[(rank::Rank, eligibility::Step)],
    ) {
        if steps.iter().all(|(rank, _)| rank.shift_ms == 0) {
            return;
        }
        let mut by_slack: Vec<(rank::Rank, eligibility::Step)> = steps
            .iter()
            .map(|(rank, id)| (rank.without_shift(), *id))
            .collect();
        by_slack.sort_unstable();
        let mut shifted = steps.to_vec();
        shifted.sort_unstable();
        let positions: std::collections::HashMap<eligibility::Step, usize> = by_slack
            .into_iter()
            .enumerate()
            .map(|(position, (_, id))| (id, position))
            .collect();
        for (position, (rank, id)) in shifted.into_iter().enumerate() {
            let is_moved = rank.shift_ms > 0 && position > positions[&id];
            let team = state.job(id.job).and_then(|job| job.team.as_deref());
            let Some(team) = team.filter(|_| is_moved) else {
                continue;
            };
            if let Some(past) = self.shares.take_moved(team, now) {
                self.outputs.push(Output::Event(Event::PastUse(event::PastUse {
                    team: String::from(team),
                    step: id,
                    past_micro: shares::micro(past),
                    shift_ms: rank.shift_ms,
                })));
            }
        }
    }
}
