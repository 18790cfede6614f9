//! Invariants of the state, for tests and for the decoding of snapshots.

use super::state::{Job, State};

impl State {
    /// Checks the counters against what they count.
    pub fn verify(&self) -> Result<(), String> {
        for job in self.jobs.values() {
            verify_job(job)?;
            let active = self.active.contains(&job.key);
            let wanted = !job.is_final() || job.placed > 0;
            if active != wanted {
                return Err(format!(
                    "job {:016x}: active is {active}, expected {wanted}",
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
    for step in job.occurrences.iter().flat_map(|occurrence| &occurrence.steps) {
        let remaining = step.tasks.iter().filter(|task| !task.done).count() as u32;
        let here = step.tasks.iter().filter(|task| task.placed.is_some()).count() as u32;
        if (remaining, here) != (step.remaining, step.placed) {
            return Err(format!(
                "job {:016x}: a step counts {} remaining and {} placed, expected {remaining} and {here}",
                job.key, step.remaining, step.placed
            ));
        }
        placed += here;
    }
    if placed != job.placed {
        return Err(format!(
            "job {:016x}: {} runs are placed, expected {placed}",
            job.key, job.placed
        ));
    }
    Ok(())
}
