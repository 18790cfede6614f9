//! Application of zone commands.

use std::sync::Arc;

use bronzespoke_model::{id, job, task};

use super::{
    Envelope, claims,
    command::{Command, End, Outcome, Refusal, Start},
    jobs::{Job, Run},
    state::State,
    workers,
};
use crate::request_id;

/// Time for which jobs in a terminal state are retained, in milliseconds.
pub const JOB_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum size of the jobs that have not ended, in bytes; a submission beyond it is refused.
pub const MAX_OPEN_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of the jobs in a terminal state, in bytes; the oldest are dropped first.
pub const MAX_ENDED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of tasks whose failed runs are recorded; for further tasks the count is lost at a change of leader.
pub const MAX_ATTEMPTS: usize = 16_384;
/// Maximum number of ended jobs that one command drops, which bounds the time to apply it.
const MAX_DROPPED_AT_ONCE: usize = 256;

impl State {
    /// Applies the commands of the log entry at `index`. An entry that was applied earlier is ignored.
    pub fn apply_all(&mut self, index: u64, envelopes: &[Envelope]) -> Vec<Outcome> {
        if index <= self.applied {
            return vec![Outcome::Ignored; envelopes.len()];
        }
        self.applied = index;
        envelopes
            .iter()
            .map(|envelope| self.apply_envelope(envelope))
            .collect()
    }

    /// Applies a log entry with a single command. An entry that was applied earlier is ignored.
    pub fn apply(&mut self, index: u64, envelope: &Envelope) -> Outcome {
        let outcome = self.apply_all(index, std::slice::from_ref(envelope)).pop();
        outcome.expect("each command has an outcome")
    }

    fn apply_envelope(&mut self, envelope: &Envelope) -> Outcome {
        self.now_ms = self.now_ms.max(envelope.at_ms);
        self.claims.expire(self.now_ms);
        self.drop_ended();
        let known = envelope.id.and_then(|id| self.commands.get(id));
        if let Some(outcome) = known
            && self.rules.dedupe
        {
            return outcome;
        }
        let outcome = self.execute(&envelope.command).unwrap_or_else(Outcome::Refused);
        if let Some(id) = envelope.id
            && is_retained(&outcome)
        {
            self.commands.insert(id, &outcome);
        }
        outcome
    }

    fn execute(&mut self, command: &Command) -> Result<Outcome, Refusal> {
        match command {
            Command::Start(starts) => return Ok(self.start_all(starts)),
            Command::End(ends) => return Ok(self.end_all(ends)),
            Command::Register(registration) => workers::register(&mut self.workers, registration)?,
            Command::WorkerGone { worker, incarnation } => {
                workers::mark_gone(&mut self.workers, *worker, *incarnation)?;
            }
            Command::Submit {
                team,
                submission,
                spec,
            } => return self.submit(*team, *submission, spec),
            Command::Cancel { job } => self.finish(*job, job::State::Cancelled)?,
            Command::Finish { job, state } => self.finish(*job, *state)?,
            Command::Claim { key, holder } => {
                let claimed = self
                    .claims
                    .claim(*key, *holder, self.now_ms, self.rules.claim_once);
                return Ok(Outcome::Claim(claimed));
            }
            Command::Complete { number, completion } => self.claims.complete(*number, completion),
            Command::HolderGone { holder, before } => self.claims.holder_gone(*holder, *before),
            Command::Granted(totals) => totals
                .iter()
                .for_each(|(team, granted)| self.holdings.set_granted(*team, granted)),
            Command::Release(totals) => totals
                .iter()
                .for_each(|(team, total)| self.holdings.release(*team, total, self.rules.keep_used)),
            Command::Expire => {}
            Command::Attempts { task, attempts } => self.record_attempts(*task, *attempts)?,
        }
        Ok(Outcome::Done)
    }

    fn submit(
        &mut self,
        team: id::TeamId,
        submission: Option<request_id::Key>,
        spec: &job::Spec,
    ) -> Result<Outcome, Refusal> {
        if let Some(sequence) = submission.and_then(|key| self.submissions.get(&key)) {
            return Ok(Outcome::Job(id::job(self.zone, *sequence)));
        }
        if spec.tasks == 0 || spec.tasks > job::MAX_TASKS || spec.command.len() > job::MAX_COMMAND_BYTES {
            return Err(Refusal::BadSpec);
        }
        let job = Job::new(team, submission, spec, self.now_ms);
        if self.open_bytes + job.bytes() > MAX_OPEN_BYTES {
            return Err(Refusal::Full);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.open_bytes += job.bytes();
        self.jobs.insert(sequence, Arc::new(job));
        if let Some(key) = submission {
            self.submissions.insert(key, sequence);
        }
        Ok(Outcome::Job(id::job(self.zone, sequence)))
    }

    fn start_all(&mut self, starts: &[Start]) -> Outcome {
        let refused = starts
            .iter()
            .enumerate()
            .filter_map(|(number, start)| Some((number as u32, self.start(start).err()?)))
            .collect();
        Outcome::Started(refused)
    }

    fn start(&mut self, start: &Start) -> Result<(), Refusal> {
        let sequence = self.sequence(start.task.job).ok_or(Refusal::NoSuchJob)?;
        let key = (sequence, start.task.index);
        let job = self
            .jobs
            .get_mut(&sequence)
            .map(Arc::make_mut)
            .ok_or(Refusal::NoSuchJob)?;
        if job.state.is_terminal() {
            return Err(Refusal::JobEnded);
        }
        if start.task.index >= job.spec.tasks {
            return Err(Refusal::NoSuchTask);
        }
        if job.is_done(start.task.index) {
            return Err(Refusal::Succeeded);
        }
        if job.ending {
            return Err(Refusal::GangEnding);
        }
        if self.rules.single_run && self.runs.contains_key(&key) {
            return Err(Refusal::Running);
        }
        if self.rules.token && start.token < self.next_token {
            return Err(Refusal::StaleToken);
        }
        let worker = self
            .workers
            .get_mut(&start.worker)
            .filter(|worker| !worker.gone)
            .ok_or(Refusal::NoSuchWorker)?;
        if self.rules.capacity && !worker.has_room(&job.spec) {
            return Err(Refusal::OverCapacity);
        }
        if !self.holdings.start(job.team, job.spec.size, self.rules.allotment) {
            return Err(Refusal::OverPart);
        }
        worker.runs.insert(key);
        worker.held = worker.held.saturating_add(&job.spec.size);
        let incarnation = worker.registration.incarnation;
        job.running += 1;
        job.state = job::State::Running;
        self.next_token = self.next_token.max(start.token.saturating_add(1));
        self.runs.insert(
            key,
            Run {
                worker: start.worker,
                token: start.token,
                incarnation,
            },
        );
        Ok(())
    }

    fn end_all(&mut self, ends: &[End]) -> Outcome {
        let mut stale = Vec::new();
        let mut succeeded = Vec::new();
        for (number, end) in ends.iter().enumerate() {
            match self.end(end) {
                Some(true) => succeeded.push(end.task.job),
                Some(false) => {}
                None => stale.push(number as u32),
            }
        }
        Outcome::Ended { stale, succeeded }
    }

    /// Ends a run. Returns whether its job succeeded as a result; `None` when there is no run with the token.
    fn end(&mut self, end: &End) -> Option<bool> {
        let sequence = self.sequence(end.task.job)?;
        let key = (sequence, end.task.index);
        let run = *self.runs.get(&key).filter(|run| run.token == end.token)?;
        self.runs.remove(&key);
        let job = self.jobs.get_mut(&sequence).map(Arc::make_mut)?;
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.remove(&key);
            worker.held = worker.held.saturating_sub(&job.spec.size);
        }
        self.holdings.end(job.team, job.spec.size);
        let before = job.bytes();
        let succeeded = job.end(end.task.index, &end.outcome);
        let bytes = if job.state.is_terminal() {
            &mut self.ended_bytes
        } else {
            &mut self.open_bytes
        };
        *bytes = *bytes + job.bytes() - before;
        if succeeded {
            self.enter_terminal_state(sequence, job::State::Succeeded);
        }
        Some(succeeded)
    }

    fn record_attempts(&mut self, task: task::Ref, attempts: u32) -> Result<(), Refusal> {
        let sequence = self.sequence(task.job).ok_or(Refusal::NoSuchJob)?;
        let job = self.jobs.get(&sequence).ok_or(Refusal::NoSuchJob)?;
        if job.state.is_terminal() {
            return Err(Refusal::JobEnded);
        }
        if task.index >= job.spec.tasks {
            return Err(Refusal::NoSuchTask);
        }
        let key = (sequence, task.index);
        if self.attempts.len() >= MAX_ATTEMPTS && !self.attempts.contains_key(&key) {
            return Err(Refusal::Full);
        }
        let recorded = self.attempts.entry(key).or_default();
        *recorded = attempts.max(*recorded);
        Ok(())
    }

    fn finish(&mut self, job: id::JobId, state: job::State) -> Result<(), Refusal> {
        if !state.is_terminal() {
            return Err(Refusal::BadState);
        }
        let sequence = self.sequence(job).ok_or(Refusal::NoSuchJob)?;
        let record = self.jobs.get(&sequence).ok_or(Refusal::NoSuchJob)?;
        if record.state == state {
            return Ok(());
        }
        if record.state.is_terminal() {
            return Err(Refusal::JobEnded);
        }
        self.enter_terminal_state(sequence, state);
        Ok(())
    }

    fn enter_terminal_state(&mut self, sequence: u64, state: job::State) {
        let Some(job) = self.jobs.get_mut(&sequence).map(Arc::make_mut) else {
            return;
        };
        let recorded = self
            .attempts
            .range((sequence, 0)..=(sequence, id::TaskIndex::MAX))
            .map(|(key, _)| *key);
        for key in recorded.collect::<Vec<_>>() {
            self.attempts.remove(&key);
        }
        self.open_bytes -= job.bytes();
        job.finish(state, self.now_ms);
        self.ended_bytes += job.bytes();
        self.ended.push_back(sequence);
    }

    /// Drops jobs whose retention has expired, and the oldest ones while ended jobs exceed [`MAX_ENDED_BYTES`].
    ///
    /// A job with runs is retained, since its runs still count against the allotment of its team.
    fn drop_ended(&mut self) {
        for _ in 0..MAX_DROPPED_AT_ONCE {
            let Some(job) = self.ended.front().and_then(|sequence| self.jobs.get(sequence)) else {
                break;
            };
            let expired = self.now_ms >= job.ended_ms.saturating_add(JOB_RETENTION_MS);
            if job.running > 0 || !(expired || self.ended_bytes > MAX_ENDED_BYTES) {
                break;
            }
            self.ended_bytes -= job.bytes();
            if let Some(key) = job.submission {
                self.submissions.remove(&key);
            }
            if let Some(sequence) = self.ended.pop_front() {
                self.jobs.remove(&sequence);
            }
        }
    }
}

/// Returns whether an outcome is retained for resent commands.
///
/// The outcomes of starts, ends and answered claims may be large. Applying these commands again is harmless, since
/// tokens fence starts and ends, and request ids fence claims.
const fn is_retained(outcome: &Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Started(_) | Outcome::Ended { .. } | Outcome::Claim(claims::Claimed::Answered(_))
    )
}

const _: () = assert!(task::MAX_RESULT_BYTES <= super::jobs::MAX_RESULTS_BYTES);
