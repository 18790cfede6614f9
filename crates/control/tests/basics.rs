//! Basic use of each command; guards against outcomes that callers cannot interpret.

use bronzespoke_control::{envelope, escrow, request_id, root, zone};
use bronzespoke_model::{config, id, job, resource, task, team, vm, worker};
use bytes::Bytes;

const HOUR_MS: u64 = 3_600_000;

fn quota(cpu_milli: u32) -> team::Quota {
    team::Quota {
        weight: 1,
        limit: resource::Amount::new(cpu_milli, 1024, 0),
        requests: 10,
    }
}

fn spec(kind: job::Kind, tasks: u32) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(10, 1, 0),
        accelerator: 0,
        run_time: std::time::Duration::ZERO,
        checkpoint: false,
        command: String::from("run"),
    }
}

struct Zone {
    state: zone::State,
    at_ms: u64,
}

impl Zone {
    fn new() -> Self {
        let mut zone = Self {
            state: zone::State::new(3),
            at_ms: 1_000_000,
        };
        zone.run(zone::Command::Register(worker::Registration {
            worker: 7,
            incarnation: 2,
            rack: 0,
            capacity: resource::Capacity {
                amount: resource::Amount::new(50, 5, 0),
                accelerator: 0,
            },
        }));
        zone.run(zone::Command::Granted(vec![(
            1,
            resource::Amount::new(40, 4, 0).into(),
        )]));
        zone
    }

    fn run(&mut self, command: zone::Command) -> zone::Outcome {
        let index = self.state.applied() + 1;
        let outcome = self
            .state
            .apply(index, &envelope::Envelope::new(self.at_ms, command));
        self.state.verify().unwrap();
        outcome
    }

    fn submit(&mut self, kind: job::Kind, tasks: u32) -> id::JobId {
        let command = zone::Command::Submit {
            team: 1,
            submission: None,
            spec: spec(kind, tasks),
        };
        match self.run(command) {
            zone::Outcome::Job(job) => job,
            other => panic!("{other:?}"),
        }
    }

    fn start(&mut self, job: id::JobId, index: u32, token: u64) -> Option<zone::Refusal> {
        let start = zone::Start {
            task: task::Ref { job, index },
            worker: 7,
            token,
        };
        match self.run(zone::Command::Start(vec![start])) {
            zone::Outcome::Started(refused) => refused.first().map(|(_, refusal)| *refusal),
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, job: id::JobId, index: u32, token: u64, outcome: task::Outcome) -> zone::Outcome {
        self.run(zone::Command::End(vec![zone::End {
            task: task::Ref { job, index },
            token,
            outcome,
        }]))
    }

    fn found(&self, job: id::JobId) -> zone::Status {
        match self.state.lookup(job, true) {
            zone::Lookup::Found(status) => status,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards the capacity of workers against a scheduler with wrong accounting: the zone state refuses the excess start.
#[test]
fn a_start_over_the_capacity_of_a_worker_is_refused() {
    let mut zone = Zone::new();
    zone.run(zone::Command::Granted(vec![(
        1,
        resource::Amount::new(1000, 100, 0).into(),
    )]));
    let job = zone.submit(job::Kind::Batch, 6);
    for index in 0..5 {
        assert_eq!(zone.start(job, index, u64::from(index) + 1), None);
    }
    assert_eq!(zone.start(job, 5, 6), Some(zone::Refusal::OverCapacity));
}

#[test]
fn a_batch_job_runs_to_its_end_and_its_record_expires() {
    let mut zone = Zone::new();
    let job = zone.submit(job::Kind::Batch, 2);
    assert_eq!(id::job_zone(job), 3);
    assert_eq!(zone.start(job, 0, 1), None);
    assert_eq!(zone.start(job, 0, 2), Some(zone::Refusal::Running));
    assert_eq!(zone.start(job, 1, 1), Some(zone::Refusal::StaleToken));
    assert_eq!(zone.start(job, 1, 5), None);
    assert_eq!(zone.state.next_token(), 6);
    zone.end(job, 0, 1, task::Outcome::Failed);
    assert_eq!(zone.start(job, 0, 6), None);
    zone.end(job, 0, 6, task::Outcome::Succeeded("a".into()));
    let outcome = zone.end(job, 1, 5, task::Outcome::Succeeded("b".into()));
    assert_eq!(
        outcome,
        zone::Outcome::Ended {
            stale: vec![],
            succeeded: vec![job]
        }
    );
    let status = zone.found(job);
    assert_eq!(status.state, job::State::Succeeded);
    assert_eq!(status.results, [(0, "a".to_owned()), (1, "b".to_owned())]);
    zone.at_ms += 25 * HOUR_MS;
    zone.run(zone::Command::Expire);
    assert_eq!(zone.state.lookup(job, false), zone::Lookup::Expired);
    assert_eq!(zone.state.lookup(job + 1, false), zone::Lookup::Unknown);
}

#[test]
fn all_members_of_a_gang_restart_after_a_loss() {
    let mut zone = Zone::new();
    let job = zone.submit(job::Kind::Gang, 3);
    for index in 0..3 {
        assert_eq!(zone.start(job, index, u64::from(index) + 1), None);
    }
    zone.end(job, 0, 1, task::Outcome::Succeeded("early".into()));
    zone.end(job, 1, 2, task::Outcome::LeaseExpired);
    assert_eq!(zone.start(job, 1, 10), Some(zone::Refusal::GangEnding));
    zone.end(job, 2, 3, task::Outcome::Succeeded("late".into()));
    assert_eq!(zone.found(job).waiting, 3);
    assert_eq!(zone.start(job, 0, 10), None);
}

#[test]
fn starts_stay_within_the_allotment_and_releases_keep_what_is_in_use() {
    let mut zone = Zone::new();
    let job = zone.submit(job::Kind::Service, 10);
    for index in 0..4 {
        assert_eq!(zone.start(job, index, u64::from(index) + 1), None);
    }
    assert_eq!(zone.start(job, 4, 5), Some(zone::Refusal::OverPart));
    zone.end(job, 0, 1, task::Outcome::Stopped);
    let releases = zone.state.releases(|_| resource::Amount::ZERO);
    assert_eq!(
        releases,
        [(1, escrow::Total::from(resource::Amount::new(10, 1, 0)))]
    );
    let all = escrow::Total::from(resource::Amount::new(40, 4, 0));
    zone.run(zone::Command::Release(vec![(1, all)]));
    assert_eq!(zone.state.holdings().get(1).allotment().cpu_milli, 30);
    assert_eq!(zone.state.runs_of_worker(7).count(), 3);
    assert_eq!(zone.state.runs_of_team(1).count(), 3);
    assert_eq!(zone.state.runs_of_job(job).count(), 3);
}

#[test]
fn a_request_id_is_granted_once_and_answers_a_resent_request() {
    let mut zone = Zone::new();
    let key = request_id::Key::new(1, "r-1");
    let claim = || zone::Command::Claim { key, holder: 9 };
    assert_eq!(zone.run(claim()), zone::Outcome::Claim(zone::Claimed::Granted(1)));
    assert_eq!(zone.run(claim()), zone::Outcome::Claim(zone::Claimed::InProgress));
    zone.run(zone::Command::HolderGone { holder: 9, before: 2 });
    assert_eq!(zone.run(claim()), zone::Outcome::Claim(zone::Claimed::Unknown));
    let answer = zone::StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: "done".into(),
    };
    zone.run(zone::Command::Complete {
        number: 1,
        completion: zone::Completion::Answered(answer.clone()),
    });
    assert_eq!(
        zone.run(claim()),
        zone::Outcome::Claim(zone::Claimed::Answered(answer))
    );
    let copy = zone::State::decode(&zone.state.encode()).unwrap();
    assert_eq!(copy.encode(), zone.state.encode());
    zone.at_ms += 25 * HOUR_MS;
    assert_eq!(zone.run(claim()), zone::Outcome::Claim(zone::Claimed::Granted(2)));
    zone.run(zone::Command::Complete {
        number: 2,
        completion: zone::Completion::NotRun,
    });
    assert_eq!(zone.run(claim()), zone::Outcome::Claim(zone::Claimed::Granted(3)));
}

#[test]
fn root_commands_build_the_view() {
    let mut state = root::State::new();
    let mut run = |command| {
        let index = state.applied() + 1;
        state.apply(index, &envelope::Envelope::new(1, command))
    };
    let place = vm::Place { region: 1, zone: 1 };
    run(root::Command::AddZone { place });
    let create = || root::Command::CreateTeam {
        name: "judo".into(),
        quota: quota(100),
    };
    assert_eq!(run(create()), root::Outcome::Team(1));
    assert_eq!(run(create()), root::Outcome::Refused(root::Refusal::NameTaken));
    let key = [7; 32];
    run(root::Command::GrantKey { hash: key, team: 1 });
    run(root::Command::CreateService {
        name: "checks".into(),
    });
    run(root::Command::CreateQueue {
        name: "public".into(),
        service: 1,
        requests: 5,
    });
    let set = || root::Command::SetConfig {
        expected: 0,
        config: config::Config::default(),
    };
    assert_eq!(run(set()), root::Outcome::Config(1));
    assert_eq!(
        run(set()),
        root::Outcome::Conflict {
            version: 1,
            winner: None
        }
    );
    let demand = root::Demand::from([((1, 1), resource::Amount::new(60, 10, 0))]);
    let grants = root::rebalance(&state, &demand);
    let index = state.applied() + 1;
    let outcome = state.apply(index, &envelope::Envelope::new(2, root::Command::Grant(grants)));
    assert_eq!(outcome, root::Outcome::Granted(vec![]));
    let view = state.view();
    assert_eq!(view.team_of_key(&key), Some(1));
    assert_eq!(view.team("judo").unwrap().id, 1);
    assert_eq!(view.queues["public"].service, view.services["checks"].id);
    // The demand of 60 plus half of the remaining 40.
    assert_eq!(view.allotment(1, 1).unwrap().outstanding().cpu_milli, 80);
    let copy = root::State::decode(&state.encode()).unwrap();
    assert_eq!(copy.encode(), state.encode());
    state.verify().unwrap();
}

/// Guards against a batch that the log refuses because its responses together exceed the size limit of an entry.
#[test]
fn a_large_batch_is_split_into_entries_within_the_limit_and_in_order() {
    let complete = |number| {
        let answer = zone::StoredResponse {
            status: 200,
            content_type: String::new(),
            body: Bytes::from(vec![0; zone::MAX_RESPONSE_BYTES]),
        };
        let completion = zone::Completion::Answered(answer);
        envelope::Envelope::new(0, zone::Command::Complete { number, completion })
    };
    let batch: Vec<_> = (0..9).map(complete).collect();
    let limit = 256 * 1024;
    let mut decoded = Vec::new();
    for (data, commands) in envelope::encode_within(&batch, limit) {
        assert!(data.len() <= limit);
        let entry = envelope::decode::<zone::Command>(&data).expect("the entry is valid");
        assert_eq!(entry.len(), commands);
        decoded.extend(entry);
    }
    assert_eq!(decoded, batch);
}

/// Guards against retries that are reset by a change of leader or a snapshot, counts of attempts that decrease, and
/// counts that are retained after the job ended.
#[test]
fn failed_runs_are_counted_until_the_job_ends() {
    let mut zone = Zone::new();
    let job = zone.submit(job::Kind::Batch, 2);
    let task = task::Ref { job, index: 1 };
    let count = |attempts| zone::Command::Attempts { task, attempts };
    assert_eq!(zone.run(count(2)), zone::Outcome::Done);
    assert_eq!(zone.run(count(1)), zone::Outcome::Done);
    assert_eq!(zone.state.attempts(task), 2);
    let beyond = zone::Command::Attempts {
        task: task::Ref { job, index: 2 },
        attempts: 1,
    };
    let refused = zone::Outcome::Refused(zone::Refusal::NoSuchTask);
    assert_eq!(zone.run(beyond), refused);
    zone.state = zone::State::decode(&zone.state.encode()).expect("the state is valid");
    assert_eq!(zone.state.attempts(task), 2);

    zone.run(zone::Command::Cancel { job });
    assert_eq!(zone.state.attempts(task), 0);
    let ended = zone::Outcome::Refused(zone::Refusal::JobEnded);
    assert_eq!(zone.run(count(3)), ended);
    zone.state.verify().expect("the state is valid");
}

/// Guards against a build that cannot read the snapshots of an earlier build, which lack the table of attempts.
#[test]
fn a_snapshot_without_attempts_is_read() {
    let mut zone = Zone::new();
    let job = zone.submit(job::Kind::Batch, 2);
    let bytes = zone.state.encode();
    let earlier = &bytes[..bytes.len() - 1];
    let state = zone::State::decode(earlier).expect("the state is valid");
    assert_eq!(state.encode(), bytes);
    assert!(state.job(job).is_some());
}
