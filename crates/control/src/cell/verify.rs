//! Invariants of the cell state, checked by tests and simulations.

use super::state::{Job, State};

impl State {
    /// Checks the counters and indices against the tasks and jobs that they summarize.
    pub fn verify(&self) -> Result<(), String> {
        for job in self.jobs.values() {
            verify_job(job)?;
            let active = self.active.contains(&job.key);
            let expected = !job.is_final() || job.placed > 0;
            if active != expected {
                return Err(format!(
                    "job {:016x}: active is {active}, expected {expected}",
                    job.key
                ));
            }
        }
        for (queue, count) in &self.pending {
            let queued = |job: &&Job| {
                job.phase == bronzespoke_workload::job::Phase::Queued && job.queue.name == *queue
            };
            let expected = self.jobs.values().filter(queued).count() as u64;
            if *count != expected {
                return Err(format!(
                    "queue {queue}: {count} jobs are pending, expected {expected}"
                ));
            }
        }
        Ok(())
    }
}

fn verify_job(job: &Job) -> Result<(), String> {
    let mut placed = 0;
    let last = job.open.keys().next_back();
    if last.is_some_and(|last| *last >= job.begun) || job.begun > job.submission.occurrences() {
        return Err(format!(
            "job {:016x}: {} of {} occurrences have begun, and {last:?} is open",
            job.key,
            job.begun,
            job.submission.occurrences()
        ));
    }
    for step in job.open.values().flat_map(|occurrence| &occurrence.steps) {
        let remaining = step.tasks.iter().filter(|task| !task.done).count() as u32;
        let step_placed = step.tasks.iter().filter(|task| task.placed.is_some()).count() as u32;
        if (remaining, step_placed) != (step.remaining, step.placed) {
            return Err(format!(
                "job {:016x}: a step counts {} remaining and {} placed, expected {remaining} and {step_placed}",
                job.key, step.remaining, step.placed
            ));
        }
        placed += step_placed;
    }
    if placed != job.placed {
        return Err(format!(
            "job {:016x}: {} runs are placed, expected {placed}",
            job.key, job.placed
        ));
    }
    Ok(())
}
