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
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

impl Controller {
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
