//! Admission of submissions.
//!
//! Jobs that can never run are refused immediately instead of waiting forever: a task that is larger than every
//! worker, or that requires a label that no worker has.
//!
//! Admission also guards against a leader that does not keep up. If it went on accepting jobs, they would wait behind
//! everything else, callers would time out and retry, and the load would grow until nothing is served. New jobs are
//! refused before that point, so that accepted jobs complete.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{call, catalog, job, worker};

/// Maximum time that messages may wait for the leader while it accepts jobs. Callers retry a call after 0.7 s, and
/// members of the group elect another leader after 0.6 s.
const MAX_LAG: Duration = Duration::from_millis(400);

/// Returns whether a leader for which messages wait as long as `lag` refuses new jobs.
pub fn is_behind(lag: Duration) -> bool {
    lag > MAX_LAG
}

/// Decides whether a submission is accepted. `lag` is how long its message waited for the leader.
pub fn admit(
    state: &cell::State,
    queue: &catalog::Queue,
    submission: &job::Submission,
    lag: Duration,
) -> Result<(), call::Refusal> {
    if is_behind(lag) {
        return Err(call::Refusal::Overload);
    }
    let in_pool = || {
        let workers = state.workers().values();
        workers
            .map(|registered| &registered.worker)
            .filter(|worker| worker.pool == queue.pool)
    };
    // Without any worker, it is unknown what fits.
    if in_pool().next().is_none() {
        return Ok(());
    }
    for step in &submission.steps {
        let fits = |worker: &&std::sync::Arc<worker::Worker>| {
            let label = step.label.as_ref();
            let has_label = label.is_none_or(|label| worker.labels.contains(label));
            has_label && (step.fills || step.size.fits(&worker.room))
        };
        if !in_pool().any(|worker| fits(&worker)) {
            return Err(call::Refusal::NoRoom);
        }
    }
    Ok(())
}
