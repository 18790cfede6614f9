//! Single decisions, each against the load that it answers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    admission,
    estimate::Estimates,
    place,
    progress::Progress,
    query_queue::Queue,
    rank, reserve,
    slowness::Slowness,
    worker::{self, Worker},
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{advice, call, catalog, directive, job, worker as announced};
use bytes::Bytes;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn step(job: u64) -> advice::Step {
    advice::Step {
        job,
        occurrence: 0,
        step: 0,
    }
}

fn cost(decision: u64) -> catalog::Advice {
    catalog::Advice {
        decision: at(decision),
        per_worker: Duration::ZERO,
        valid: at(2_500),
    }
}

fn named(count: u32) -> Vec<(cell::WorkerIndex, String)> {
    (0..count).map(|index| (index, format!("w-{index}"))).collect()
}

/// A burst of long questions must not hold up a short one: a third of the helpers stays free of them.
#[test]
fn short_questions_do_not_wait_behind_long_ones() {
    let mut queries = Queue::default();
    queries.set_proxies(&[1, 2, 3]);
    for job in 0..10 {
        assert!(queries.enqueue(at(0), step(job), &cost(500), named(4)));
    }
    let mut assignments = Vec::new();
    let ranked: Vec<_> = (0..11).map(step).collect();
    queries.assign(at(0), &ranked, &mut assignments);
    assert_eq!(assignments.len(), 2);
    assert!(queries.enqueue(at(1), step(10), &cost(10), named(4)));
    queries.assign(at(1), &ranked, &mut assignments);
    assert_eq!(
        assignments.last().map(|assignment| assignment.query.step),
        Some(step(10))
    );
}

/// A ticket that would run out on its way is not used, and who is not eligible is never asked about again.
#[test]
fn tickets_run_out_and_eligibility_stays() {
    let mut queries = Queue::default();
    queries.set_proxies(&[1]);
    queries.enqueue(at(0), step(1), &cost(10), named(2));
    let mut assignments = Vec::new();
    queries.assign(at(0), &[step(1)], &mut assignments);
    let answer = advice::Answer::Eligible {
        workers: vec![(String::from("w-0"), Bytes::from_static(b"t"))],
        valid: Some(at(1_000)),
    };
    queries.record_answer(at(20), assignments[0].number, &answer);
    let known = queries.eligibility(step(1)).expect("it was asked");
    assert!(known.is_permitted(0, at(700)) && !known.is_permitted(0, at(800)));
    assert!(known.is_denied(1) && !known.is_denied(0));
}

/// A wide gang on a large fleet needs to know most workers that may run it. One question after the other took seconds, in
/// which the tickets of the first answers ran out and small gangs waited as long as wide ones; the parts of one question
/// are asked at the same time.
#[test]
fn a_question_about_many_workers_is_asked_in_parts() {
    let mut queries = Queue::default();
    queries.set_proxies(&[1, 2, 3, 4, 5, 6]);
    assert!(queries.enqueue(at(0), step(1), &cost(500), named(150)));
    let mut assignments = Vec::new();
    queries.assign(at(0), &[step(1)], &mut assignments);
    let sizes: Vec<usize> = assignments
        .iter()
        .map(|assignment| assignment.query.workers.len())
        .collect();
    assert_eq!(sizes, [60, 60, 30]);
    assert!(
        !queries.enqueue(at(0), step(1), &cost(500), named(4)),
        "parts are under way"
    );
    for assignment in &assignments {
        let workers = assignment.query.workers.iter().take(2);
        let answer = advice::Answer::Eligible {
            workers: workers
                .map(|name| (name.clone(), Bytes::from_static(b"t")))
                .collect(),
            valid: None,
        };
        queries.record_answer(at(600), assignment.number, &answer);
    }
    let known = queries.eligibility(step(1)).expect("the step was asked about");
    assert!(!known.is_outstanding());
    let eligible = (0..150).filter(|worker| known.is_eligible(*worker)).count();
    assert_eq!(eligible, 6);
}

/// A helper that never answers is given up, and the step is asked about again.
#[test]
fn unanswered_questions_are_asked_again() {
    let mut queries = Queue::default();
    queries.set_proxies(&[1]);
    queries.enqueue(at(0), step(1), &cost(10), named(2));
    let mut assignments = Vec::new();
    queries.assign(at(0), &[step(1)], &mut assignments);
    queries.assign(at(2_000), &[step(1)], &mut assignments);
    assert_eq!(queries.in_flight(), 0);
    assert!(queries.enqueue(at(2_300), step(1), &cost(10), named(2)));
}

fn candidate(worker: u32, free_cpu: u32) -> place::Candidate {
    place::Candidate {
        worker,
        free: resource::Amount::new(free_cpu, 100_000, 0),
        room: resource::Amount::new(64_000, 100_000, 0),
        slots: u32::MAX,
        remote: false,
        reserved: false,
    }
}

/// Small tasks on a fleet with one empty worker: first fit takes it and leaves no room for a wide task, best fit keeps it.
#[test]
fn small_tasks_leave_whole_workers_free() {
    let mut candidates = [candidate(0, 64_000), candidate(1, 9_000), candidate(2, 8_000)];
    let small = resource::Amount::new(4_000, 0, 0);
    let placed = place::best_fit(&mut candidates, &small, &[0, 1, 2, 3], &BTreeMap::new());
    assert!(placed.iter().all(|(_, worker)| *worker != 0), "{placed:?}");
    let wide = resource::Amount::new(60_000, 0, 0);
    assert_eq!(place::fitting(&candidates, &wide), 1);
    let first_fit_leaves = 64_000 - 4 * 4_000;
    assert!(first_fit_leaves < 60_000);
}

/// A task does not return to the worker on which it failed while another has room.
#[test]
fn failed_tasks_go_elsewhere() {
    let mut candidates = [candidate(0, 5_000), candidate(1, 60_000)];
    let avoid = BTreeMap::from([(0, vec![0])]);
    let size = resource::Amount::new(4_000, 0, 0);
    assert_eq!(place::best_fit(&mut candidates, &size, &[0], &avoid), [(0, 1)]);
}

fn job(stretch: f64) -> cell::Job {
    let queue = load::queue("audit", 1, at(1_000), stretch, 3);
    let submission = job::Submission {
        spec: Bytes::new(),
        steps: Vec::new(),
        schedule: None,
    };
    cell::Job {
        key: 1,
        queue: Arc::new(queue),
        team: None,
        submission: Arc::new(submission),
        submitted_ms: 0,
        finished_ms: 0,
        phase: job::Phase::Queued,
        occurrences: Vec::new(),
        placed: 0,
    }
}

/// A job that has missed its objective is not passed over for good by jobs that keep coming: before its last useful moment it
/// goes first.
#[test]
fn late_jobs_get_their_turn() {
    let job = job(2.0);
    let rank = |begun: u64, now: u64| rank::compute(&job, begun, at(2_000), at(2_000), now);
    // The objective is 5 s, so that the start has to come within 3 s, and within 13 s to be of use.
    assert!(rank(0, 1_000) < rank(500, 1_000));
    assert!(
        rank(0, 4_000) > rank(3_900, 4_000),
        "a job that can still meet its objective goes first"
    );
    assert!(
        rank(0, 12_500) < rank(12_400, 12_500),
        "its last useful moment comes before the objective of the other"
    );
    assert!(rank(0, 14_000).useless);
}

/// Estimates that tell nothing are replaced by the mean; good ones are followed.
#[test]
fn estimates_are_corrected_by_what_was_seen() {
    let mut estimates = Estimates::default();
    for number in 0..60_u64 {
        estimates.record("noise", at(500 + 137 * (number % 23)), at(2_000));
        estimates.record(
            "exact",
            at(500 + 100 * (number % 23)),
            at(1_000 + 200 * (number % 23)),
        );
    }
    let noise = estimates.expected("noise", at(9_000));
    assert!((1_900..2_100).contains(&noise.as_millis()), "{noise:?}");
    let exact = estimates.expected("exact", at(1_500));
    assert!((2_500..3_500).contains(&exact.as_millis()), "{exact:?}");
    assert_eq!(estimates.expected("new", at(700)), at(700));
}

/// A run that stands still is found within two seconds; one that is only slower than expected is not taken for one.
#[test]
fn standstill_is_told_from_slowness() {
    let mut still = Progress::new(at(0), 0);
    for millis in (0..500).step_by(100) {
        still.observe(at(millis), (millis / 10) as u8);
    }
    assert!(!still.is_stalled(at(900), at(1_000)));
    assert!(still.is_stalled(at(1_500), at(1_000)));
    let mut slow = Progress::new(at(0), 0);
    for millis in (0..8_000).step_by(200) {
        slow.observe(at(millis), (millis / 100) as u8);
        assert!(!slow.is_stalled(at(millis + 150), at(1_000)), "at {millis}");
    }
    assert_eq!(slow.total(), Some(at(10_000)));
}

fn worker_with(runs: &[(u32, u64)]) -> Worker {
    let worker = announced::Worker {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        pool: String::new(),
        zone: String::new(),
        kind: String::new(),
        rack: String::new(),
        labels: Vec::new(),
        room: resource::Amount::new(64_000, 1_000, 0),
        machine: None,
    };
    let incarnation = announced::Incarnation {
        name: String::from("w"),
        born: 1,
    };
    let mut record = Worker::new(incarnation, Arc::new(worker), false, at(0), at(0));
    for (index, (cpu, end)) in runs.iter().enumerate() {
        let task = directive::Task {
            job: 1,
            occurrence: 0,
            step: 0,
            index: index as u32,
        };
        let run = worker::Run {
            run: 1,
            size: resource::Amount::new(*cpu, 0, 0),
            team: None,
            phase: worker::Phase::Running(at(0)),
            since: at(0),
            decided: at(0),
            lease_end: at(0),
            expected_end: at(*end),
            gang: false,
            run_time: at(*end),
            progress: None,
            stop: worker::Stop::NotRequested,
            checkpoint: None,
        };
        record.add(task, run);
    }
    record
}

/// A gang on a full fleet gets the workers whose room comes first, not those that are emptiest now.
#[test]
fn gangs_keep_the_workers_that_become_free_first() {
    let late = worker_with(&[(40_000, 9_000)]);
    let soon = worker_with(&[(30_000, 500), (30_000, 700)]);
    let size = resource::Amount::new(30_000, 0, 0);
    let openings = |record: &Worker| reserve::openings(record, record.free(), &size, u32::MAX, at(0));
    assert_eq!(openings(&soon), [at(500), at(700)]);
    let choice = reserve::choose(vec![(0, openings(&late)), (1, openings(&soon))], 2, at(0));
    let choice = choice.expect("there is room for two");
    assert_eq!((choice.workers, choice.due), (vec![1], at(700)));
    assert!(reserve::choose(vec![(0, openings(&late))], 9, at(0)).is_none());
}

/// A worker that fails what it starts is left alone after failures of three jobs, and one job alone proves nothing.
#[test]
fn failures_of_several_jobs_make_a_worker_suspect() {
    let mut record = worker_with(&[]);
    for _ in 0..5 {
        assert!(!record.record_failure(at(0), 1, at(2_000)));
    }
    assert!(!record.record_failure(at(0), 2, at(2_000)));
    assert!(record.record_failure(at(0), 3, at(2_000)));
    assert_eq!(record.suspect_until, at(2_000));
    record.record_success();
    assert!(!record.record_failure(at(3_000), 4, at(2_000)));
}

/// A slow worker is told by tasks of several jobs that lag behind their siblings, and one odd task proves nothing.
#[test]
fn slow_workers_are_told_by_siblings() {
    let mut slowness = Slowness::default();
    let totals = |millis: &[u64]| {
        let steps = millis.iter().enumerate();
        steps
            .map(|(job, millis)| (step(job as u64), at(*millis)))
            .collect::<BTreeMap<_, _>>()
    };
    slowness.observe(at(0), 1, &totals(&[1_000, 3_000]));
    slowness.observe(at(0), 2, &totals(&[5_000, 2_900]));
    assert_eq!(slowness.factor(2, at(100)), None, "one job of two");
    slowness.observe(at(500), 2, &totals(&[5_000, 16_000]));
    assert!(slowness.factor(2, at(600)).is_some_and(|factor| factor > 4.0));
    assert_eq!(slowness.factor(1, at(600)), None);
    assert_eq!(slowness.factor(2, at(3_000)), None, "the verdict is old");
}

/// A lease counts as over only when the slowest clock that is allowed has passed its end.
#[test]
fn leases_end_on_the_slowest_clock() {
    let mut record = worker_with(&[]);
    record.sample = Some(worker::Sample {
        clock: at(100_000),
        at: at(0),
    });
    record.lease_end = at(106_000);
    assert!(!record.leases_expired(at(6_100)));
    assert!(record.leases_expired(at(6_130)));
}

/// A burst that the leader cannot keep up with: without a refusal, what it accepts waits behind all the rest, callers repeat
/// their calls, and it never recovers (sweep of tprpa-sched at 300 VMs, 62% of the requests failed).
#[test]
fn jobs_are_refused_while_the_leader_falls_behind() {
    let state = cell::State::default();
    let job = job(1.5);
    let admit = |lag| admission::admit(&state, &job.queue, &job.submission, at(lag));
    assert_eq!(admit(399), Ok(()));
    assert_eq!(admit(401), Err(call::Refusal::Overload));
}

/// Clocks are told in whole milliseconds: an order that is answered within one must not be taken for one that the next life
/// of its worker answered.
#[test]
fn a_rounded_clock_is_of_the_same_life() {
    let mut record = worker_with(&[]);
    record.sample = Some(worker::Sample {
        clock: at(100),
        at: at(1_000),
    });
    let sent = Duration::from_micros(1_000_900);
    assert!(!record.is_of_later_incarnation(sent, at(100)));
    assert!(record.is_of_later_incarnation(at(2_000), at(300)));
}
