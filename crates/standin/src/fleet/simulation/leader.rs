//! Model of a leader whose processor is limited: messages wait in lanes until it is free.

use std::time::Duration;

use bronzespoke_dispatch::{
    admission,
    dispatch::Dispatch,
    lane::{self, Lane},
    work,
};

use super::{Event, Simulation};

/// Processor time that a leader's work takes, on its share of a core.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// Time for each message, with the frames and records that it causes.
    pub message: Duration,
    /// Time for each scheduling pass.
    pub pass: Duration,
    /// Time for each waiting step that a pass evaluates.
    pub step: Duration,
    /// Time for each worker that a pass evaluates for a step.
    pub worker: Duration,
}

impl Costs {
    fn of_passes(&self, work: &work::Work) -> Duration {
        self.pass * work.passes as u32 + self.step * work.steps as u32 + self.worker * work.workers as u32
    }
}

/// A leader with limited processor time.
#[derive(Debug, Default)]
pub(super) struct Processor {
    waiting: lane::Queue<Event>,
    /// Time at which the leader has handled what it took.
    free_at: Duration,
    is_planned: bool,
    /// Work that is already charged.
    charged: work::Work,
}

const fn lane_of(event: &Event) -> Option<Lane> {
    match event {
        Event::Commit(_) => Some(Lane::Group),
        Event::Answer(..) | Event::QueryAnswered(..) => Some(Lane::Exchange),
        Event::Announce(_) | Event::Cancel(_) => Some(Lane::Control),
        Event::Submit(_) => Some(Lane::Work),
        _ => None,
    }
}

impl Simulation {
    /// Handles an event now, or when the leader is free.
    pub(super) fn receive(&mut self, event: Event) {
        let Some(lane) = self.plan.costs.and(lane_of(&event)) else {
            if matches!(event, Event::LeaderFree) {
                self.processor.is_planned = false;
            } else {
                self.handle(event);
            }
            self.serve_waiting();
            return;
        };
        if self.processor.waiting.push(self.now, lane, event).is_err() {
            self.refuse();
        }
        self.serve_waiting();
    }

    fn serve_waiting(&mut self) {
        let Some(costs) = self.plan.costs else {
            self.step_leader();
            return;
        };
        while self.now >= self.processor.free_at {
            let Some(waited) = self.processor.waiting.pop() else {
                self.step_leader();
                self.charge_passes(&costs);
                return;
            };
            let is_late = admission::is_behind(self.now.saturating_sub(waited.since));
            if is_late && matches!(waited.message, Event::Submit(_)) {
                self.refuse();
            } else {
                self.handle(waited.message);
            }
            self.processor.free_at = self.now + costs.message;
            self.step_leader();
            self.charge_passes(&costs);
        }
        if !self.processor.is_planned {
            self.processor.is_planned = true;
            let delay = self.processor.free_at.saturating_sub(self.now);
            self.schedule(delay, Event::LeaderFree);
        }
    }

    fn refuse(&mut self) {
        self.report.refused += 1;
        self.report.seconds.entry(self.now.as_secs()).or_default().0 += 1;
    }

    fn charge_passes(&mut self, costs: &Costs) {
        let work = self.dispatch.as_ref().map(Dispatch::work).unwrap_or_default();
        let new = work.since(&self.processor.charged);
        self.processor.charged = work;
        self.processor.free_at = self.processor.free_at.max(self.now) + costs.of_passes(&new);
    }
}
