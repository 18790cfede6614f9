//! Checks of the invariants of every data structure.

use bronzespoke_model::{job, resource};

use crate::amount::multiply;
use crate::scheduler::Scheduler;
use crate::{run, table};

fn check(holds: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(text()) }
}

impl Scheduler {
    /// Checks all invariants and returns a description of the first violation. The cost grows with the complete state, and
    /// with the product of teams and runs.
    pub fn verify(&self) -> Result<(), String> {
        self.verify_workers()?;
        self.verify_jobs()?;
        self.verify_teams()?;
        self.verify_lanes()?;
        self.verify_order()?;
        self.verify_classes()?;
        self.verify_waiting()?;
        self.verify_holds()?;
        self.verify_backlog()
    }

    fn verify_workers(&self) -> Result<(), String> {
        let mut total = resource::Amount::ZERO;
        for (index, worker) in self.workers.iter() {
            let id = worker.id;
            let mut used = resource::Amount::ZERO;
            for (position, &run) in worker.runs.iter().enumerate() {
                let run = &self.runs[run];
                check(run.worker == index && run.in_worker as usize == position, || {
                    format!("worker {id}: run {} has a wrong position in the list", run.token)
                })?;
                if !run.credited {
                    used = used.saturating_add(&run.size);
                }
            }
            used = used.saturating_add(&worker.launching_amount);
            check(used == worker.used, || {
                format!(
                    "worker {id}: debited {:?}, but its runs sum to {used:?}",
                    worker.used
                )
            })?;
            check(
                worker.slot.is_none_or(|slot| self.free.contains_at(slot, index)),
                || format!("worker {id} is not at its slot in the index"),
            )?;
            let listed = worker.usable() && worker.hold.is_none();
            check(listed == worker.slot.is_some(), || {
                format!("worker {id} is in the index although unusable or held, or missing from it")
            })?;
            total = total.saturating_add(&used);
        }
        check(total == self.used, || {
            format!("debited {:?} in total, but the sum is {total:?}", self.used)
        })
    }

    fn verify_jobs(&self) -> Result<(), String> {
        for (index, job) in self.jobs.iter() {
            let id = job.id;
            job.waiting.verify()?;
            for (position, &run) in job.runs.iter().enumerate() {
                let run = &self.runs[run];
                check(run.job == index && run.in_job as usize == position, || {
                    format!("job {id}: run {} has a wrong position in the list", run.token)
                })?;
                check(!job.waiting.contains(run.index), || {
                    format!("job {id}: task {} is both running and waiting", run.index)
                })?;
            }
            let known = job.waiting.len() + job.delayed + job.succeeded + job.runs.len() as u32;
            check(!job.is_active() || known == job.tasks, || {
                format!("job {id}: {known} of {} tasks are accounted for", job.tasks)
            })?;
        }
        Ok(())
    }

    fn verify_teams(&self) -> Result<(), String> {
        let mut weight = 0;
        for (index, team) in self.teams.iter() {
            let mut sums = [team.launching_amount, resource::Amount::ZERO];
            let mut runs = 0;
            for (_, run) in self.runs.iter() {
                if self.jobs[run.job].team != index {
                    continue;
                }
                runs += 1;
                if !run.credited {
                    sums[0] = sums[0].saturating_add(&run.size);
                    if run.is_ending() {
                        sums[1] = sums[1].saturating_add(&run.size);
                    }
                }
            }
            let waiting: u32 = self
                .jobs
                .iter()
                .filter(|(_, job)| job.team == index)
                .map(|(_, job)| job.waiting.len())
                .sum();
            check(sums == [team.used, team.ending], || {
                format!("team {index:?}: accounts differ from the sums of its runs")
            })?;
            check((runs, waiting) == (team.runs, team.waiting), || {
                format!("team {index:?}: numbers of runs or waiting tasks differ")
            })?;
            weight += if team.is_active() {
                u64::from(team.weight)
            } else {
                0
            };
        }
        check(weight == self.active_weight, || {
            format!(
                "active weight is {}, but the weights of active teams sum to {weight}",
                self.active_weight
            )
        })
    }

    fn verify_lanes(&self) -> Result<(), String> {
        for (index, job) in self.jobs.iter() {
            let id = job.id;
            let queued = job.kind != job::Kind::Gang && job.is_active() && !job.waiting.is_empty();
            check(job.lane.is_some() == queued, || {
                format!("job {id}: in a lane without need, or missing from its lane")
            })?;
            if let Some(lane) = job.lane {
                let listed = self.lanes[lane].jobs.get(&job.sequence) == Some(&index);
                check(listed, || format!("job {id}: not in its lane"))?;
                check(self.entry(lane).size == job.size, || {
                    format!("job {id}: its lane has another task size")
                })?;
            }
            let starts = !job.launch.is_empty() || job.waiting.is_empty();
            let urgent = job.priority == job::Priority::Urgent && job.is_active() && !starts;
            check(!urgent || self.urgent.contains_key(&job.sequence), || {
                format!("job {id}: missing from the list of urgent jobs")
            })?;
        }
        for (index, lane) in self.lanes.iter() {
            let entry = self.entry(index);
            let first = lane.jobs.first_key_value().map(|(&first, _)| first);
            let listed = entry.lane == index && Some(entry.first) == first;
            let at = lane
                .listed
                .map(|at| self.classes[lane.class].lanes.get(at).map(|listed| listed.lane) == Some(index));
            check(at != Some(false), || {
                format!("lane {index:?}: wrong position in the list of its class")
            })?;
            check(listed && !lane.jobs.is_empty(), || {
                format!("lane {index:?}: empty, or its entry in the list is wrong")
            })?;
        }
        Ok(())
    }

    fn verify_order(&self) -> Result<(), String> {
        for (index, team) in self.teams.iter() {
            for (order, lanes) in self.team_order.iter().zip(&team.lanes) {
                check(self.team_keys[table::Index::slot(index)] == team.key, || {
                    format!("team {index:?}: cached key differs")
                })?;
                let least = order.get(&(team.key, index));
                check(least.is_some() != lanes.is_empty(), || {
                    format!("team {index:?}: in the order without lanes, or missing from it")
                })?;
                let bound = lanes
                    .iter()
                    .all(|entry| least.is_some_and(|least| least.fits(&entry.size)));
                check(bound, || {
                    format!("team {index:?}: a lane is smaller than the lower bound")
                })?;
            }
        }
        let teams: usize = self.team_order.iter().map(std::collections::BTreeMap::len).sum();
        let listed = self.teams.iter().flat_map(|(_, team)| &team.lanes);
        check(teams == listed.filter(|lanes| !lanes.is_empty()).count(), || {
            String::from("an order contains unknown teams")
        })
    }

    /// Checks that, after a step that stayed within its budgets, a lane waits only if no worker has room for it or its
    /// team is at its allotment.
    fn verify_waiting(&self) -> Result<(), String> {
        if self.has_more || self.restored.is_none() {
            return Ok(());
        }
        for (index, _) in self.lanes.iter() {
            let entry = self.entry(index);
            let (_, &job) = self.lanes[index]
                .jobs
                .first_key_value()
                .expect("a lane is never empty");
            let job = &self.jobs[job];
            if !self.teams[job.team].admits(&entry.size) || !job.avoided_racks().is_empty() {
                continue;
            }
            let free = self
                .workers
                .iter()
                .find(|(_, worker)| worker.slot.is_some() && worker.has_room(&entry.size, entry.accelerator));
            if let Some((worker, _)) = free {
                return Err(format!(
                    "job {} waits although {} has room for it",
                    job.id, self.workers[worker].id
                ));
            }
        }
        Ok(())
    }

    /// Checks that the amounts of gangs being launched are debited, and that only jobs in the backlog have runs still to be
    /// stopped.
    fn verify_backlog(&self) -> Result<(), String> {
        let mut launching = resource::Amount::ZERO;
        for (index, job) in self.jobs.iter() {
            let tasks: u32 = job.launch.iter().map(|entry| entry.1).sum();
            let sum =
                multiply(&job.size, tasks).ok_or_else(|| format!("job {}: launch overflows", job.id))?;
            launching = launching.saturating_add(&sum);
            check(
                job.launch.is_empty() || (job.is_active() && self.backlog.launching.contains(&index)),
                || {
                    format!(
                        "job {}: has a launch without being active and in the backlog",
                        job.id
                    )
                },
            )?;
            let stopped = |run: &table::Run| matches!(self.runs[*run].phase, run::Phase::Stopping(_));
            let remaining = job
                .stop
                .filter(|stop| stop.queued)
                .map_or(0, |stop| stop.remaining);
            let rest = job.runs.get(remaining..).unwrap_or_default();
            check(job.is_active() || rest.iter().all(stopped), || {
                format!(
                    "job {}: it is ending, but has runs that are neither stopped nor in the backlog",
                    job.id
                )
            })?;
        }
        let workers = self.workers.iter();
        let on_workers = workers.fold(resource::Amount::ZERO, |sum, (_, worker)| {
            sum.saturating_add(&worker.launching_amount)
        });
        let teams = self.teams.iter();
        let of_teams = teams.fold(resource::Amount::ZERO, |sum, (_, team)| {
            sum.saturating_add(&team.launching_amount)
        });
        check(launching == on_workers && launching == of_teams, || {
            format!("launching {launching:?}, {on_workers:?} on workers, {of_teams:?} to teams")
        })
    }

    fn verify_classes(&self) -> Result<(), String> {
        for (index, class) in self.classes.iter() {
            let placed = match class.slot {
                Some(slot) => self.demand.contains_at(slot, index) && !class.lanes.is_empty(),
                None => class.lanes.is_empty(),
            };
            check(placed && class.references > 0, || {
                format!("class {index:?}: unreferenced, or wrong in the index of demand")
            })?;
        }
        Ok(())
    }

    fn verify_holds(&self) -> Result<(), String> {
        for &worker in &self.held {
            let record = &self.workers[worker];
            let listed = record.hold.is_some_and(|hold| {
                self.jobs
                    .get(hold.job)
                    .is_some_and(|job| job.holds.contains(&worker))
            });
            check(listed, || {
                format!("worker {}: held, but not for a job that lists it", record.id)
            })?;
        }
        let held = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.hold.is_some())
            .count();
        check(held == self.held.len(), || {
            format!("{held} holds, but {} are listed", self.held.len())
        })
    }
}
