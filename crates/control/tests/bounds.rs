//! Tables at their limits; guards against state that grows without bound and against unspecified outcomes at the
//! limits.

use bronzespoke_control::{dedupe, envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource, task, team, worker};

const DAY_MS: u64 = 24 * 3_600_000;

struct Zone {
    state: zone::State,
    at_ms: u64,
}

impl Zone {
    fn new() -> Self {
        let mut zone = Self {
            state: zone::State::new(1),
            at_ms: DAY_MS,
        };
        zone.run(zone::Command::Register(worker::Registration {
            worker: 1,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                accelerator: 0,
            },
        }));
        zone
    }

    fn run(&mut self, command: zone::Command) -> zone::Outcome {
        let index = self.state.applied() + 1;
        self.state
            .apply(index, &envelope::Envelope::new(self.at_ms, command))
    }

    fn claim(&mut self, number: usize) -> zone::Claimed {
        let key = request_id::Key::new(1, &number.to_string());
        match self.run(zone::Command::Claim { key, holder: 1 }) {
            zone::Outcome::Claim(claimed) => claimed,
            other => panic!("{other:?}"),
        }
    }

    fn answer(&mut self, number: u64, bytes: usize) {
        let answer = zone::StoredResponse {
            status: 200,
            content_type: String::new(),
            body: vec![1; bytes].into(),
        };
        let completion = zone::Completion::Answered(answer);
        self.run(zone::Command::Complete { number, completion });
    }

    fn submit(&mut self, tasks: u32, command: &str) -> Result<id::JobId, zone::Refusal> {
        let spec = job::Spec {
            kind: job::Kind::Batch,
            priority: job::Priority::Normal,
            tasks,
            size: resource::Amount::ZERO,
            accelerator: 0,
            run_time: std::time::Duration::ZERO,
            checkpoint: false,
            command: command.to_owned(),
        };
        let submission = None;
        match self.run(zone::Command::Submit {
            team: 1,
            submission,
            spec,
        }) {
            zone::Outcome::Job(job) => Ok(job),
            zone::Outcome::Refused(refusal) => Err(refusal),
            other => panic!("{other:?}"),
        }
    }

    fn succeed(&mut self, job: id::JobId, index: u32, result: &str) {
        let token = self.state.next_token();
        let task = task::Ref { job, index };
        self.run(zone::Command::Start(vec![zone::Start {
            task,
            worker: 1,
            token,
        }]));
        let outcome = task::Outcome::Succeeded(result.to_owned());
        self.run(zone::Command::End(vec![zone::End { task, token, outcome }]));
    }
}

#[test]
fn a_full_table_refuses_request_ids_until_some_expire() {
    let mut zone = Zone::new();
    for number in 0..zone::MAX_REQUEST_IDS {
        assert!(matches!(zone.claim(number), zone::Claimed::Granted(_)));
    }
    assert_eq!(zone.claim(usize::MAX), zone::Claimed::Full);
    assert_eq!(zone.claim(0), zone::Claimed::InProgress);
    zone.at_ms += DAY_MS + 2000;
    assert!(matches!(zone.claim(usize::MAX), zone::Claimed::Granted(_)));
    zone.state.verify().unwrap();
}

#[test]
fn the_oldest_answers_are_evicted_and_their_ids_retained() {
    let mut zone = Zone::new();
    let count = zone::MAX_RESPONSES_BYTES / zone::MAX_RESPONSE_BYTES + 2;
    for number in 0..count {
        zone.claim(number);
        zone.answer(number as u64 + 1, zone::MAX_RESPONSE_BYTES);
    }
    zone.state.verify().unwrap();
    assert_eq!(zone.claim(0), zone::Claimed::Unknown);
    assert!(matches!(zone.claim(count - 1), zone::Claimed::Answered(_)));
    assert_eq!(zone.state.claims().len(), count);
    zone.claim(count);
    zone.answer(count as u64 + 1, zone::MAX_RESPONSE_BYTES + 1);
    assert_eq!(zone.claim(count), zone::Claimed::Unknown);
}

#[test]
fn results_beyond_the_limit_of_a_job_are_counted() {
    let mut zone = Zone::new();
    let job = zone.submit(70, "").unwrap();
    let result = "r".repeat(task::MAX_RESULT_BYTES);
    for index in 0..70 {
        zone.succeed(job, index, &result);
    }
    zone.state.verify().unwrap();
    let zone::Lookup::Found(status) = zone.state.lookup(job, true) else {
        panic!("the job was dropped");
    };
    assert_eq!(status.state, job::State::Succeeded);
    assert_eq!(status.results.len() as u32 + status.results_dropped, 70);
    assert_eq!(status.results.len(), 63);
}

#[test]
fn at_their_limits_open_jobs_are_refused_and_ended_jobs_dropped() {
    let mut zone = Zone::new();
    let command = "c".repeat(job::MAX_COMMAND_BYTES);
    let refused = (0..10_000).find_map(|_| zone.submit(1, &command).err());
    assert_eq!(refused, Some(zone::Refusal::Full));
    let jobs: Vec<id::JobId> = zone.state.jobs().map(|(job, _)| job).collect();
    let result = "r".repeat(8 * 1024);
    for job in &jobs {
        zone.succeed(*job, 0, &result);
    }
    zone.run(zone::Command::Expire);
    zone.state.verify().unwrap();
    assert_eq!(zone.state.lookup(jobs[0], false), zone::Lookup::Expired);
    let last = jobs.last().copied().unwrap();
    assert!(matches!(zone.state.lookup(last, false), zone::Lookup::Found(_)));
    assert!(zone.submit(1, &command).is_ok());
}

#[yare::parameterized(
    no_tasks = { 0, 1 },
    too_many_tasks = { job::MAX_TASKS + 1, 1 },
    too_long_command = { 1, job::MAX_COMMAND_BYTES + 1 },
)]
fn bad_specs_are_refused(tasks: u32, command: usize) {
    let refused = Zone::new().submit(tasks, &"c".repeat(command));
    assert_eq!(refused, Err(zone::Refusal::BadSpec));
}

#[test]
fn the_newest_command_ids_are_retained() {
    let mut state = root::State::new();
    let ids = dedupe::MAX_IDS as u128;
    for id in 0..=ids {
        let envelope = envelope::Envelope {
            id: Some(id),
            at_ms: 1,
            command: root::Command::RemoveVm(1),
        };
        let index = state.applied() + 1;
        state.apply(index, &envelope);
    }
    let copy = root::State::decode(&state.encode()).unwrap();
    assert_eq!(copy.outcome(0), None);
    for id in [1, ids] {
        assert_eq!(
            copy.outcome(id),
            Some(root::Outcome::Refused(root::Refusal::NoSuchVm))
        );
    }
}

#[test]
fn an_index_is_applied_once() {
    let mut state = root::State::new();
    let quota = team::Quota {
        weight: 1,
        limit: resource::Amount::ZERO,
        requests: 1,
    };
    let create = |name: &str| {
        let name = name.to_owned();
        envelope::Envelope::new(1, root::Command::CreateTeam { name, quota })
    };
    assert_eq!(state.apply(5, &create("judo")), root::Outcome::Team(1));
    for index in [5, 4] {
        assert_eq!(state.apply(index, &create("karate")), root::Outcome::Ignored);
    }
    assert_eq!((state.applied(), state.teams().len()), (5, 1));
}

/// Guards against a table of failed runs that grows with the number of tasks of all open jobs.
#[test]
fn failed_runs_are_recorded_for_a_limited_number_of_tasks() {
    let mut zone = Zone::new();
    let per_job = job::MAX_TASKS as usize;
    let mut outcomes = Vec::new();
    for _ in 0..=zone::MAX_ATTEMPTS / per_job {
        let job = zone
            .submit(job::MAX_TASKS, "")
            .expect("there is space for the job");
        for index in 0..job::MAX_TASKS {
            let task = task::Ref { job, index };
            outcomes.push(zone.run(zone::Command::Attempts { task, attempts: 1 }));
        }
    }
    let refused = zone::Outcome::Refused(zone::Refusal::Full);
    let counted = outcomes.iter().filter(|outcome| **outcome != refused).count();
    assert_eq!(counted, zone::MAX_ATTEMPTS);
    zone.state.verify().expect("the state is valid");
}
