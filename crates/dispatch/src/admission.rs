//! Which submissions are accepted.
//!
//! Answers jobs that can never run: a task larger than every worker, or one that wants a label that no worker has, is
//! refused at once instead of waiting for good. Answers also a leader that does not keep up: what it accepts then waits
//! behind everything else, its callers give up and come again, and the load grows until nothing is served. New jobs are
//! refused before that, so that those that were accepted are finished.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{call, catalog, job, worker};

/// Longest time for which messages may wait for the leader while it accepts jobs. Callers repeat a call after 0.7 s, and
/// members of the group elect another leader after 0.6 s.
const LONGEST_LAG: Duration = Duration::from_millis(400);

/// Tells whether a leader for which messages wait this long takes no new jobs.
pub fn is_behind(lag: Duration) -> bool {
    lag > LONGEST_LAG
}

/// Decides on a submission. `lag` is how long its message waited for the leader.
pub fn admit(
    state: &cell::State,
    queue: &catalog::Queue,
    submission: &job::Submission,
    lag: Duration,
) -> Result<(), call::Refusal> {
    if is_behind(lag) {
        return Err(call::Refusal::Overload);
    }
    let mut workers = state
        .workers()
        .values()
        .filter(|registered| registered.worker.pool == queue.pool)
        .peekable();
    // Without any worker nothing is known about what fits.
    if workers.peek().is_none() {
        return Ok(());
    }
    let rooms: Vec<_> = workers.map(|registered| &registered.worker).collect();
    for step in &submission.steps {
        let fits = |worker: &&std::sync::Arc<worker::Worker>| {
            let label = step.label.as_ref();
            let labelled = label.is_none_or(|label| worker.labels.contains(label));
            labelled && (step.fills || step.size.fits(&worker.room))
        };
        if !rooms.iter().any(fits) {
            return Err(call::Refusal::NoRoom);
        }
    }
    Ok(())
}
