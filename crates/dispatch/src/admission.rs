//! Which submissions are accepted.
//!
//! Answers jobs that can never run: a task larger than every worker, or one that wants a label that no worker has, is
//! refused at once instead of waiting for good.

use bronzespoke_control::cell;
use bronzespoke_workload::{call, catalog, job};

/// Decides on a submission.
pub fn admit(
    state: &cell::State,
    queue: &catalog::Queue,
    submission: &job::Submission,
) -> Result<(), call::Refusal> {
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
        let fits = |worker: &&std::sync::Arc<bronzespoke_workload::worker::Worker>| {
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
