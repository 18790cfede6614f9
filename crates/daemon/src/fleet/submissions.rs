//! Admission of submitted jobs by the leader.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{admission, dispatch::Dispatch};
use bronzespoke_workload::{call, catalog, job};

use crate::fleet::{commands::Responder, controller::Controller, leader::refused};

/// Retry time for a caller whose job does not fit any worker: workers join and leave over minutes.
const NO_ROOM_RETRY: Duration = Duration::from_secs(30);

/// Retry time for a caller whose job was refused because the leader falls behind: the queued messages are handled
/// within about this time once no jobs are added.
pub(super) const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// Time beyond the timeout of a call in which a copy of it may arrive: connections that were cut deliver what they hold, and
/// the clocks of two leaders differ.
const COPY_DELAY: Duration = Duration::from_secs(15);

/// Returns the reply to a submission whose job was cancelled before.
pub(super) const fn withdrawn(wait_ms: u64) -> call::Reply {
    refused(call::Refusal::Withdrawn, Duration::from_millis(wait_ms))
}

impl Controller {
    /// Cancels a job. One that is not known is cancelled through the log too, in the order of its submission, which may be
    /// under way.
    pub(super) fn cancel(
        &mut self,
        queue: &catalog::Queue,
        team: Option<String>,
        key: job::Key,
        responder: Responder,
    ) {
        let job = self.state.job(key);
        if job.is_some_and(|job| job.is_visible(team.as_deref())) {
            log::info!("decision=cancel job={key:016x}");
            self.enqueue(cell::Command::Cancel { key }, responder);
            return;
        }
        log::info!("decision=withdraw job={key:016x} queue={}", queue.name);
        let keep_ms = (queue.timeout + COPY_DELAY).as_millis() as u64;
        self.enqueue(cell::Command::Withdraw { key, team, keep_ms }, responder);
    }

    /// Admits a job and proposes its record, or refuses it.
    pub(super) fn submit(
        &mut self,
        queue: &catalog::Queue,
        team: Option<String>,
        key: job::Key,
        submission: Box<job::Submission>,
        responder: Responder,
    ) {
        let now = self.now();
        if self.state.job(key).is_some() {
            self.respond(responder, call::Reply::Done);
            return;
        }
        let wall_ms = self.times().wall_ms;
        if let Some(wait_ms) = self.state.withdrawn_for(wall_ms, key, team.as_deref()) {
            log::info!(
                "decision=refuse job={key:016x} queue={} reason=withdrawn",
                queue.name
            );
            self.reject(responder, withdrawn(wait_ms));
            return;
        }
        // A submission whose first copy is being committed must not be refused.
        let is_known = admission::is_behind(self.lag) && self.commands.is_submitting(key);
        let lag = if is_known { Duration::ZERO } else { self.lag };
        if let Err(reason) = admission::admit(&self.state, queue, &submission, lag) {
            log::info!(
                "decision=refuse job={key:016x} queue={} reason={} lag_ms={}",
                queue.name,
                reason.name(),
                lag.as_millis()
            );
            let retry_after = match reason {
                call::Refusal::Overload => OVERLOAD_RETRY,
                _ => NO_ROOM_RETRY,
            };
            self.reject(responder, refused(reason, retry_after));
            return;
        }
        log::info!(
            "decision=accept job={key:016x} queue={} team={} steps={} waiting_steps={}",
            queue.name,
            team.as_deref().unwrap_or("-"),
            submission.steps.len(),
            self.dispatch.as_ref().map_or(0, Dispatch::waiting_steps)
        );
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.prefetch_eligibility(now, key, queue, &submission);
        }
        let command = cell::Command::Submit {
            key,
            queue: Box::new(queue.clone()),
            team,
            submission,
        };
        self.enqueue(command, responder);
    }
}
