//! Checks the invariants of every structure.

use bronzespoke_model::resource;

use crate::scheduler::Scheduler;

fn check(holds: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(text()) }
}

impl Scheduler {
    /// Checks the invariants; returns the first that is broken. Costs time in proportion to the whole state.
    pub fn verify(&self) -> Result<(), String> {
        self.verify_workers()?;
        self.verify_jobs()
    }

    fn verify_workers(&self) -> Result<(), String> {
        let mut total = resource::Amount::ZERO;
        for (index, worker) in self.workers.iter() {
            let id = worker.id;
            let mut used = resource::Amount::ZERO;
            for (position, &run) in worker.runs.iter().enumerate() {
                let run = &self.runs[run];
                check(run.worker == index && run.in_worker as usize == position, || {
                    format!("worker {id}: run {} is listed wrongly", run.token)
                })?;
                if !run.credited {
                    used = used.saturating_add(&run.size);
                }
            }
            check(used == worker.used, || {
                format!("worker {id}: account {:?}, runs {used:?}", worker.used)
            })?;
            check(
                worker.slot.is_none_or(|slot| self.free.holds(slot, index)),
                || format!("worker {id} is not at its slot"),
            )?;
            let listed = worker.usable() && worker.hold.is_none();
            check(listed == worker.slot.is_some(), || {
                format!("worker {id} is listed wrongly")
            })?;
            total = total.saturating_add(&used);
        }
        check(total == self.used, || {
            format!("used {:?}, runs {total:?}", self.used)
        })
    }

    fn verify_jobs(&self) -> Result<(), String> {
        for (index, job) in self.jobs.iter() {
            let id = job.id;
            job.waiting.verify()?;
            for (position, &run) in job.runs.iter().enumerate() {
                let run = &self.runs[run];
                check(run.job == index && run.in_job as usize == position, || {
                    format!("job {id}: run {} is listed wrongly", run.token)
                })?;
                check(!job.waiting.contains(run.index), || {
                    format!("job {id}: task {} runs and waits", run.index)
                })?;
            }
            let known = job.waiting.len() + job.delayed + job.succeeded + job.runs.len() as u32;
            check(!job.is_active() || known == job.tasks, || {
                format!("job {id}: {known} of {} tasks are accounted for", job.tasks)
            })?;
        }
        Ok(())
    }
}
