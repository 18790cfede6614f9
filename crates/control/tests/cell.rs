//! State machine of the cell: commands that are repeated, late or do not match the state have no effect.

use bronzespoke_control::cell::{Command, End, Outcome, Start, State};
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};

const KEY: job::Key = 5;

fn queue(attempts: u32) -> catalog::Queue {
    catalog::Queue {
        name: String::from("audit"),
        host: String::from("office"),
        prefix: String::from("/audit/"),
        pool: String::from("fleet"),
        timeout: std::time::Duration::from_secs(3),
        objective: std::time::Duration::from_secs(1),
        priority: 1,
        attempts,
        stretch: 2.0,
        advice: None,
        open: false,
    }
}

fn step(tasks: u32, gang: bool, after: &[u16]) -> job::Step {
    job::Step {
        tasks,
        size: resource::Amount::new(1, 1, 0),
        run_time: std::time::Duration::from_secs(1),
        after: after.to_vec(),
        checkpoints: true,
        gang,
        ..job::Step::default()
    }
}

fn submit(key: job::Key, steps: Vec<job::Step>) -> Command {
    submit_scheduled(key, steps, None)
}

/// Returns the submission of a job that is repeated every five minutes.
fn submit_repeated(key: job::Key, steps: Vec<job::Step>, times: u32) -> Command {
    let schedule = job::Schedule {
        first: std::time::Duration::from_secs(1),
        interval: std::time::Duration::from_mins(5),
        times,
    };
    submit_scheduled(key, steps, Some(schedule))
}

fn submit_scheduled(key: job::Key, steps: Vec<job::Step>, schedule: Option<job::Schedule>) -> Command {
    Command::Submit {
        key,
        queue: Box::new(queue(2)),
        team: Some(String::from("parish")),
        submission: Box::new(job::Submission {
            spec: Bytes::new(),
            steps,
            schedule,
        }),
    }
}

const fn task(step: u16, index: u32) -> directive::Task {
    task_of(0, step, index)
}

const fn task_of(occurrence: u32, step: u16, index: u32) -> directive::Task {
    directive::Task {
        job: KEY,
        occurrence,
        step,
        index,
    }
}

fn start(task: directive::Task, run: directive::Run, worker: u32) -> Command {
    Command::Start(vec![Start { task, run, worker }])
}

fn end(task: directive::Task, run: directive::Run, worker: u32, outcome: directive::Outcome) -> Command {
    Command::End(vec![End {
        task,
        run,
        worker,
        outcome,
        checkpoint: None,
    }])
}

fn phase(state: &State) -> job::Phase {
    state.job(KEY).expect("the job exists").phase
}

/// Guards against a resent submission that resets a job which has already started.
#[test]
fn a_repeated_submission_creates_one_job() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(1, false, &[])]));
    state.apply(2, start(task(0, 0), 1, 9));
    state.apply(3, submit(KEY, vec![step(1, false, &[])]));
    assert_eq!((phase(&state), state.pending("audit")), (job::Phase::Running, 0));
    state.verify().expect("the counters are consistent");
}

/// Guards against a task that is placed twice, or with a run number that does not increase.
#[test]
fn a_placed_task_is_not_placed_again() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(1, false, &[])]));
    assert_eq!(
        state.apply(2, start(task(0, 0), 1, 9)),
        Outcome::Started(vec![true])
    );
    assert_eq!(
        state.apply(2, start(task(0, 0), 2, 8)),
        Outcome::Started(vec![false])
    );
    state.apply(3, end(task(0, 0), 1, 9, directive::Outcome::Lost));
    assert_eq!(
        state.apply(4, start(task(0, 0), 1, 8)),
        Outcome::Started(vec![false])
    );
    assert_eq!(
        state.apply(4, start(task(0, 0), 2, 8)),
        Outcome::Started(vec![true])
    );
    // A failure of a run that was recorded as lost counts as one attempt, however often it is reported. A success of
    // such a run completes the task, and no start follows.
    state.apply(5, end(task(0, 0), 1, 9, directive::Outcome::Failed));
    state.apply(5, end(task(0, 0), 1, 9, directive::Outcome::Failed));
    assert_eq!(phase(&state), job::Phase::Running);
    assert_eq!(state.task(task(0, 0)).map(|task| task.failures), Some(1));
    let placed = state.task(task(0, 0)).and_then(|task| task.placed);
    assert_eq!(placed, Some(8), "the later run continues");
    state.apply(6, end(task(0, 0), 1, 9, directive::Outcome::Done));
    assert_eq!(phase(&state), job::Phase::Completed);
    state.apply(7, end(task(0, 0), 2, 8, directive::Outcome::Stopped));
    assert_eq!(phase(&state), job::Phase::Completed);
    assert_eq!(
        state.apply(8, start(task(0, 0), 3, 8)),
        Outcome::Started(vec![false])
    );
    state.verify().expect("the counters are consistent");
}

/// Guards against a step that is ready before the steps it depends on, and a job that completes before its last step.
#[test]
fn a_step_waits_for_its_dependencies() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(1, false, &[]), step(1, false, &[0])]));
    let ready = |state: &State| state.job(KEY).expect("the job exists").is_ready(0, 1);
    assert!(!ready(&state));
    state.apply(2, start(task(0, 0), 1, 9));
    state.apply(3, end(task(0, 0), 1, 9, directive::Outcome::Done));
    assert!(ready(&state) && phase(&state) == job::Phase::Running);
}

/// Guards against failures of a gang that count once per member instead of once per run, and against other ends that
/// count as failures.
#[test]
fn a_gang_counts_each_run_once() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(2, true, &[])]));
    for run in 1..=2 {
        for index in 0..2 {
            state.apply(2, start(task(0, index), run, 9));
        }
        state.apply(3, end(task(0, 0), run, 9, directive::Outcome::Failed));
        state.apply(3, end(task(0, 1), run, 9, directive::Outcome::Failed));
        let expected = if run == 1 {
            job::Phase::Running
        } else {
            job::Phase::Failed
        };
        assert_eq!(phase(&state), expected, "run {run}");
    }
}

/// Guards against a gang that waits indefinitely for members whose end is never reported.
#[test]
fn the_success_of_one_member_completes_the_gang() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(3, true, &[])]));
    for index in 0..3 {
        state.apply(2, start(task(0, index), 1, 9));
    }
    state.apply(3, end(task(0, 1), 1, 9, directive::Outcome::Done));
    assert_eq!(phase(&state), job::Phase::Completed);
    state.verify().expect("the counters are consistent");
}

/// Guards against a start after a cancellation, and against a cancelled job that changes to another phase.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(2, false, &[])]));
    state.apply(2, start(task(0, 0), 1, 9));
    assert_eq!(state.apply(3, Command::Cancel { key: KEY }), Outcome::Done);
    assert_eq!(
        state.apply(4, start(task(0, 1), 1, 9)),
        Outcome::Started(vec![false])
    );
    state.apply(5, end(task(0, 0), 1, 9, directive::Outcome::Failed));
    assert_eq!(phase(&state), job::Phase::Cancelled);
    assert_eq!(state.apply(6, Command::Cancel { key: 77 }), Outcome::NoJob);
}

fn withdraw(key: job::Key, team: Option<&str>) -> Command {
    Command::Withdraw {
        key,
        team: team.map(String::from),
        keep_ms: 1_000,
    }
}

/// Guards against a job that runs although its cancellation was answered with "no such job": its submission was on its way
/// behind the cancellation.
#[test]
fn a_submission_behind_its_cancellation_is_refused() {
    let mut state = State::default();
    assert_eq!(state.apply(10, withdraw(KEY, Some("parish"))), Outcome::NoJob);
    let submission = || submit(KEY, vec![step(1, false, &[])]);
    assert_eq!(state.apply(10, submission()), Outcome::Withdrawn(1_000));
    let mut state = State::decode(&state.encode()).expect("the snapshot is valid");
    assert_eq!(state.apply(1_009, submission()), Outcome::Withdrawn(1));
    assert!(state.job(KEY).is_none());
    state.verify().expect("the counters are consistent");
    assert_eq!(state.apply(1_010, submission()), Outcome::Done);
    assert_eq!(phase(&state), job::Phase::Queued);
}

/// Guards against a job that runs although it was cancelled: the leader did not know its submission yet, which was recorded
/// before the cancellation.
#[test]
fn a_cancellation_behind_an_unknown_submission_cancels() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(1, false, &[])]));
    assert_eq!(state.apply(1, withdraw(KEY, Some("parish"))), Outcome::Done);
    assert_eq!(phase(&state), job::Phase::Cancelled);
}

/// Guards against a team that cancels the jobs of another one.
#[test]
fn a_cancellation_concerns_the_jobs_of_its_team() {
    let mut state = State::default();
    state.apply(1, withdraw(KEY, Some("other")));
    state.apply(1, withdraw(KEY, None));
    assert_eq!(
        state.apply(2, submit(KEY, vec![step(1, false, &[])])),
        Outcome::Done
    );
    assert_eq!(state.apply(3, withdraw(KEY, Some("other"))), Outcome::NoJob);
    assert_eq!(phase(&state), job::Phase::Queued);
}

/// Guards against cancellations of jobs that do not exist which take ever more memory, and against a reply that promises
/// more than is remembered.
#[test]
fn cancellations_beyond_the_bound_are_not_answered_with_no_job() {
    let mut state = State::default();
    let refused = (0..100_000).find(|key| state.apply(1, withdraw(*key, None)) == Outcome::Full);
    let refused = refused.expect("there is a bound");
    assert!(state.encode().len() < 2_000_000, "{refused}");
    assert_eq!(state.apply(1, withdraw(0, None)), Outcome::NoJob);
    assert_eq!(state.apply(1_001, withdraw(refused, None)), Outcome::NoJob);
    assert!(state.encode().len() < 100, "the expired cancellations are kept");
}

/// Guards against accepted jobs that are lost in an upgrade: the daemon starts from a snapshot without cancellations.
#[test]
fn a_snapshot_in_the_third_format_is_read() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(2, false, &[])]));
    let encoded = state.encode();
    let mut bytes = encoded[..encoded.len() - 2].to_vec();
    bytes[0] = 3;
    assert_eq!(State::decode(&bytes).expect("the snapshot is valid"), state);
}

/// Guards against a configuration that reverts to an older version or changes under the same version.
#[test]
fn the_highest_configuration_version_is_retained() {
    let configure = |version: u64, document: &'static [u8]| Command::Configure {
        catalog: Box::new(catalog::Catalog {
            version,
            queues: Vec::new(),
            pools: Vec::new(),
            teams: Vec::new(),
        }),
        document: Bytes::from_static(document),
    };
    let mut state = State::default();
    state.apply(1, configure(7, b"seven"));
    state.apply(2, configure(5, b"five"));
    state.apply(3, configure(7, b"other"));
    assert_eq!(state.document(), &Bytes::from_static(b"seven"));
    assert_eq!(state.catalog().map(|catalog| catalog.version), Some(7));
}

/// Guards against a delayed announcement that makes a draining worker ready again.
#[test]
fn a_draining_worker_stays_draining() {
    let register = |draining: bool| Command::Register {
        incarnation: worker::Incarnation {
            name: String::from("w"),
            started_ms: 1,
        },
        worker: Box::new(worker::Worker {
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            pool: String::new(),
            zone: String::new(),
            kind: String::new(),
            rack: String::new(),
            labels: Vec::new(),
            room: resource::Amount::ZERO,
            machine: None,
        }),
        draining,
    };
    let mut state = State::default();
    for draining in [false, true, false] {
        state.apply(1, register(draining));
    }
    assert_eq!(state.workers().len(), 1);
    assert!(state.workers()[&0].draining);
}

/// Guards against counters that drift and snapshots that differ from the state, under random sequences of commands.
#[test]
fn counters_are_consistent_after_random_commands() {
    for seed in 0..200 {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut state = State::default();
        state.apply(1, submit(KEY, vec![step(3, false, &[]), step(2, true, &[0])]));
        for _ in 0..60 {
            let target = task(rng.random_range(0..2), rng.random_range(0..3));
            let run = rng.random_range(1..4);
            let worker = rng.random_range(0..2);
            let outcomes = [
                directive::Outcome::Done,
                directive::Outcome::Failed,
                directive::Outcome::Stopped,
                directive::Outcome::Lost,
            ];
            let command = match rng.random_range(0..12) {
                0..5 => start(target, run, worker),
                5..10 => end(target, run, worker, outcomes[rng.random_range(0..4)]),
                10 => submit(rng.random_range(4..7), vec![step(1, false, &[])]),
                _ => Command::Forget(vec![KEY, 4]),
            };
            state.apply(2, command);
            state
                .verify()
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        let decoded = State::decode(&state.encode()).expect("the snapshot is valid");
        assert_eq!(decoded, state, "seed {seed}");
    }
}

/// Guards against a task that is started again after its last attempt. A later incarnation of the worker receives a
/// resent start and reports the failure, which must count although the worker index differs from the placement.
#[test]
fn an_end_reported_by_a_later_incarnation_counts() {
    let mut state = State::default();
    state.apply(1, submit(KEY, vec![step(1, false, &[])]));
    state.apply(2, start(task(0, 0), 1, 9));
    state.apply(3, end(task(0, 0), 1, 12, directive::Outcome::Failed));
    let entry = state.task(task(0, 0)).expect("the task exists");
    assert_eq!((entry.placed, entry.failures), (None, 1));
    state.apply(4, end(task(0, 0), 1, 9, directive::Outcome::Lost));
    state.verify().expect("the counters are consistent");
}

/// Guards against replicas that run out of memory: a job that was repeated every five minutes for a year took 36 MB on
/// each of them, in the log's replay as well as at the submission.
#[test]
fn a_schedule_takes_the_room_of_its_open_occurrences() {
    let size = |times: u32| {
        let mut state = State::default();
        state.apply(1, submit_repeated(KEY, vec![step(4, false, &[])], times));
        state.encode().len()
    };
    // The number of times itself takes a few bytes more.
    assert!(size(u32::MAX) <= size(1) + 4, "{} {}", size(u32::MAX), size(1));

    let mut state = State::default();
    state.apply(1, submit_repeated(KEY, vec![step(1, false, &[])], 105_120));
    let mut largest = 0;
    for occurrence in 0..1_000 {
        let task = task_of(occurrence, 0, 0);
        let started = state.apply(2, start(task, 1, 9));
        assert_eq!(started, Outcome::Started(vec![true]), "{occurrence}");
        largest = largest.max(state.encode().len());
        state.apply(3, end(task, 1, 9, directive::Outcome::Done));
        state.verify().expect("the counters are consistent");
    }
    let job = state.job(KEY).expect("the job exists");
    assert!(job.open.is_empty(), "{job:?}");
    assert!(largest < 400, "{largest} bytes");
}

/// Guards against a repeated job that never ends, ends early, or runs an occurrence again: occurrences may be completed in
/// any order, and their progress is dropped then.
#[test]
fn a_repeated_job_is_completed_after_all_its_occurrences() {
    let mut state = State::default();
    state.apply(1, submit_repeated(KEY, vec![step(1, false, &[])], 3));
    // The start of the last occurrence begins the earlier ones.
    for occurrence in [2, 0, 1] {
        assert_ne!(phase(&state), job::Phase::Completed);
        let task = task_of(occurrence, 0, 0);
        state.apply(2, start(task, 1, 9));
        state.apply(3, end(task, 1, 9, directive::Outcome::Done));
        state.verify().expect("the counters are consistent");
        let again = state.apply(4, start(task, 2, 9));
        assert_eq!(again, Outcome::Started(vec![false]), "{occurrence}");
    }
    assert_eq!(phase(&state), job::Phase::Completed);
    let beyond = state.apply(5, start(task_of(3, 0, 0), 1, 9));
    assert_eq!(beyond, Outcome::Started(vec![false]));
}

/// Guards against occurrences that pile up: all that have begun together take no more room than the largest job without
/// a schedule, and one start begins a limited number.
#[test]
fn the_open_occurrences_of_a_job_are_limited() {
    let begin = |tasks: u32, occurrence: u32| {
        let mut state = State::default();
        state.apply(1, submit_repeated(KEY, vec![step(tasks, false, &[])], u32::MAX));
        let started = state.apply(2, start(task_of(occurrence, 0, 0), 1, 9));
        started == Outcome::Started(vec![true])
    };
    assert!(begin(job::MAX_TASKS, 0));
    assert!(!begin(job::MAX_TASKS, 1));
    assert!(begin(1, 255));
    assert!(!begin(1, 256));
}

/// Mirror of the former format of snapshots, in which each job had a list of all its occurrences.
mod former {
    use std::collections::{BTreeMap, BTreeSet};

    use super::{Bytes, catalog, job, worker};

    #[derive(serde::Serialize)]
    pub struct State {
        pub catalog: Option<catalog::Catalog>,
        pub document: Bytes,
        pub workers: BTreeMap<u32, (worker::Incarnation, worker::Worker, bool)>,
        pub next_worker: u32,
        pub jobs: BTreeMap<job::Key, Job>,
        pub active: BTreeSet<job::Key>,
        pub pending: BTreeMap<String, u64>,
        pub peers: BTreeMap<u64, std::net::SocketAddr>,
    }

    #[derive(serde::Serialize)]
    pub struct Job {
        pub key: job::Key,
        pub queue: catalog::Queue,
        pub team: Option<String>,
        pub submission: job::Submission,
        pub submitted_ms: u64,
        pub finished_ms: u64,
        pub phase: job::Phase,
        pub occurrences: Vec<bronzespoke_control::cell::Occurrence>,
        pub placed: u32,
    }
}

/// Guards against accepted jobs that are lost in an upgrade: the daemon starts from a snapshot in the former format.
#[test]
fn a_snapshot_in_the_former_format_is_read() {
    let once = 6;
    let mut state = State::default();
    state.apply(1, submit_repeated(KEY, vec![step(1, false, &[])], 4));
    state.apply(1, submit(once, vec![step(2, false, &[])]));
    state.apply(2, start(task_of(1, 0, 0), 1, 9));
    let fresh = state.job(KEY).expect("the job exists").open[&0].clone();
    let job = |key: job::Key, occurrences| {
        let job = state.job(key).expect("the job exists");
        former::Job {
            key,
            queue: catalog::Queue::clone(&job.queue),
            team: job.team.clone(),
            submission: job::Submission::clone(&job.submission),
            submitted_ms: job.submitted_ms,
            finished_ms: job.finished_ms,
            phase: job.phase,
            occurrences,
            placed: job.placed,
        }
    };
    let open = |key: job::Key, index: u32| state.job(key).expect("the job exists").open[&index].clone();
    let repeated = vec![fresh.clone(), open(KEY, 1), fresh.clone(), fresh];
    let bytes = postcard::to_stdvec(&former::State {
        catalog: None,
        document: Bytes::new(),
        workers: [].into(),
        next_worker: 0,
        jobs: [(KEY, job(KEY, repeated)), (once, job(once, vec![open(once, 0)]))].into(),
        active: [KEY, once].into(),
        pending: [(String::from("audit"), 1)].into(),
        peers: [].into(),
    });
    let decoded = State::decode(&bytes.expect("the state can be encoded")).expect("the snapshot is valid");
    assert_eq!(decoded, state);
    decoded.verify().expect("the counters are consistent");
    State::decode(&[9]).expect_err("a later format is refused");
}
