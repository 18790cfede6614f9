//! Tests of single components, each under the load pattern or failure that it handles.

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
use bronzespoke_workload::{call, catalog, directive, eligibility, job, worker as announced};
use bytes::Bytes;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn step(job: u64) -> eligibility::Step {
    eligibility::Step {
        job,
        occurrence: 0,
        step: 0,
    }
}

fn cost(decision: u64) -> catalog::QueryCost {
    catalog::QueryCost {
        decision: at(decision),
        per_worker: Duration::ZERO,
        valid: at(2_500),
    }
}

fn named(count: u32) -> Vec<(cell::WorkerIndex, String)> {
    (0..count).map(|index| (index, format!("w-{index}"))).collect()
}

/// Guards against a late answer to a query of an earlier term that is recorded for another step of this term.
#[test]
fn an_answer_to_a_query_of_an_earlier_term_is_ignored() {
    let assign = |queries: &mut Queue, job| {
        queries.set_proxies(&[1]);
        assert!(queries.enqueue(at(0), step(job), &cost(10), named(4)));
        let mut assignments = Vec::new();
        queries.assign(at(0), &[step(job)], &mut assignments);
        assignments[0].number
    };
    let earlier = assign(&mut Queue::new(1), 7);
    let mut queries = Queue::new(2);
    let own = assign(&mut queries, 8);
    let answer = eligibility::Answer::Failed;
    assert_eq!(queries.record_answer(at(5), earlier, &answer), None);
    assert_eq!(queries.record_answer(at(6), own, &answer), Some(step(8)));
}

/// A burst of long queries must not delay a short one: a third of the proxies is not used for long ones.
#[test]
fn short_queries_do_not_wait_behind_long_ones() {
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

/// A ticket that would expire before it is used is not used, and an ineligible worker is never queried again.
#[test]
fn tickets_expire_and_eligibility_stays() {
    let mut queries = Queue::default();
    queries.set_proxies(&[1]);
    queries.enqueue(at(0), step(1), &cost(10), named(2));
    let mut assignments = Vec::new();
    queries.assign(at(0), &[step(1)], &mut assignments);
    let answer = eligibility::Answer::Eligible {
        workers: vec![(String::from("w-0"), Bytes::from_static(b"t"))],
        valid: Some(at(1_000)),
    };
    queries.record_answer(at(20), assignments[0].number, &answer);
    let known = queries.eligibility(step(1)).expect("the step was queried");
    assert!(known.is_permitted(0, at(700)) && !known.is_permitted(0, at(800)));
    assert!(known.is_denied(1) && !known.is_denied(0));
}

/// A wide gang on a large fleet needs to know most of the eligible workers. When queries were sent one after the
/// other, this took seconds, in which the tickets of the first answers expired and small gangs waited as long as wide
/// ones. The parts of one query are therefore sent at the same time.
#[test]
fn a_query_about_many_workers_is_split() {
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
        "parts are in flight"
    );
    for assignment in &assignments {
        let workers = assignment.query.workers.iter().take(2);
        let answer = eligibility::Answer::Eligible {
            workers: workers
                .map(|name| (name.clone(), Bytes::from_static(b"t")))
                .collect(),
            valid: None,
        };
        queries.record_answer(at(600), assignment.number, &answer);
    }
    let known = queries.eligibility(step(1)).expect("the step was queried");
    assert!(!known.is_outstanding());
    let eligible = (0..150).filter(|worker| known.is_eligible(*worker)).count();
    assert_eq!(eligible, 6);
}

/// A proxy that does not answer is given up, and the query is sent again.
#[test]
fn unanswered_queries_are_repeated() {
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
        speed: 1.0,
        remote: false,
        cold: false,
        reserved: false,
    }
}

/// Small tasks on a fleet with one empty worker: first fit uses it and leaves no room for a wide task, while best fit
/// keeps it free.
#[test]
fn small_tasks_leave_empty_workers_free() {
    let mut candidates = [candidate(0, 64_000), candidate(1, 9_000), candidate(2, 8_000)];
    let small = resource::Amount::new(4_000, 0, 0);
    let placed = place::best_fit(&mut candidates, &small, &[0, 1, 2, 3], &BTreeMap::new());
    assert!(placed.iter().all(|(_, worker)| *worker != 0), "{placed:?}");
    let wide = resource::Amount::new(60_000, 0, 0);
    assert_eq!(place::fitting(&candidates, &wide), 1);
    let first_fit_leaves = 64_000 - 4 * 4_000;
    assert!(first_fit_leaves < 60_000);
}

/// Guards against work on the cold workers of a zone that was readmitted while others have room.
#[test]
fn cold_workers_are_used_only_if_no_other_has_room() {
    let cold = place::Candidate {
        cold: true,
        ..candidate(0, 8_000)
    };
    let mut candidates = [cold, candidate(1, 64_000)];
    let size = resource::Amount::new(60_000, 0, 0);
    let placed = place::best_fit(
        &mut candidates,
        &resource::Amount::new(4_000, 0, 0),
        &[0],
        &BTreeMap::new(),
    );
    assert_eq!(placed, [(0, 1)]);
    let placed = place::best_fit(&mut candidates, &size, &[1], &BTreeMap::new());
    assert_eq!(placed, [(1, 1)]);
    let small = resource::Amount::new(8_000, 0, 0);
    let placed = place::best_fit(&mut candidates, &small, &[2], &BTreeMap::new());
    assert_eq!(placed, [(2, 0)]);
}

/// A task does not return to a worker on which it failed while another one has room.
#[test]
fn failed_tasks_move_to_another_worker() {
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
        begun: 0,
        open: BTreeMap::new(),
        placed: 0,
    }
}

/// A job that has missed its objective is not starved by jobs that keep arriving: it is placed first before the end of
/// its useful time.
#[test]
fn late_jobs_are_not_starved() {
    let job = job(2.0);
    let rank = |begun: u64, now: u64| rank::compute(&job, begun, at(2_000), at(2_000), now);
    // The objective is 5 s, so the start has to come within 3 s to meet it, and within 13 s to be useful.
    assert!(rank(0, 1_000) < rank(500, 1_000));
    assert!(
        rank(0, 4_000) > rank(3_900, 4_000),
        "a job that can still meet its objective goes first"
    );
    assert!(
        rank(0, 12_500) < rank(12_400, 12_500),
        "the end of its useful time comes before the objective of the other"
    );
    assert!(rank(0, 14_000).useless);
}

/// Stated run times that predict nothing are replaced by the mean; good ones are followed.
#[test]
fn estimates_follow_actual_run_times() {
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

/// A stalled run is detected within two seconds; one that is only slower than expected does not count as stalled.
#[test]
fn stalls_are_distinguished_from_slowness() {
    let mut stalled = Progress::new(at(0), 0);
    for millis in (0..500).step_by(100) {
        stalled.observe(at(millis), (millis / 10) as u8);
    }
    assert!(!stalled.is_stalled(at(900), at(1_000)));
    assert!(stalled.is_stalled(at(1_500), at(1_000)));
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
        started_ms: 1,
    };
    let registered = cell::Registered {
        incarnation,
        worker: Arc::new(worker),
        draining: false,
        succeeds: false,
    };
    let mut record = Worker::new(0, &registered, at(0), at(0));
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
            repeat_until: Duration::ZERO,
            awaits_answer: false,
            expected_end: Some(at(*end)),
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

/// A gang on a full fleet gets the workers that will have room first, not those with the most free resources now.
#[test]
fn gangs_reserve_the_workers_that_become_free_first() {
    let late = worker_with(&[(40_000, 9_000)]);
    let soon = worker_with(&[(30_000, 500), (30_000, 700)]);
    let size = resource::Amount::new(30_000, 0, 0);
    let openings = |record: &Worker| reserve::openings(record, record.free(), &size, u32::MAX, at(0));
    assert_eq!(openings(&soon), [at(500), at(700)]);
    let choice = reserve::choose(vec![(0, openings(&late)), (1, openings(&soon))], 2, false, at(0));
    let choice = choice.expect("there is room for two");
    assert_eq!((choice.workers, choice.due), (vec![(1, 2)], at(700)));
    assert!(reserve::choose(vec![(0, openings(&late))], 9, false, at(0)).is_none());
}

/// Guards against a reservation without end: a run that lasts, or that is overdue, counted as one that ends now.
#[test]
fn no_room_is_expected_from_runs_that_do_not_end() {
    let size = resource::Amount::new(30_000, 0, 0);
    let mut record = worker_with(&[(40_000, 1_000)]);
    let openings = |record: &Worker, now| reserve::openings(record, record.free(), &size, 1, now);
    assert_eq!(openings(&record, at(900)), [at(1_000)]);
    assert_eq!(openings(&record, at(1_100)), [at(1_200)]);
    assert_eq!(openings(&record, at(9_000)), [at(17_000)]);
    for run in record.runs.values_mut() {
        run.expected_end = None;
    }
    assert!(openings(&record, at(900)).is_empty());
}

/// Guards against a reserved worker whose whole room is kept free, although the gang needs a part of it.
#[test]
fn a_reserved_worker_takes_what_fits_beside_the_gang() {
    let record = worker_with(&[(40_000, 1_000)]);
    let member = resource::Amount::new(30_000, 0, 0);
    let mut hold = reserve::Hold::beside(&record, &member, 1, at(1_000), at(0));
    assert_eq!(hold.spare.cpu_milli, 34_000);
    let size = resource::Amount::new(16_000, 0, 0);
    assert_eq!(hold.allowed(&size, Some(at(1_000))), u32::MAX, "it ends in time");
    assert_eq!(hold.allowed(&size, Some(at(1_001))), 2);
    assert_eq!(hold.allowed(&size, None), 2);
    hold.take(&size, Some(at(1_000)));
    assert_eq!(hold.allowed(&size, None), 2);
    hold.take(&size, None);
    assert_eq!(hold.allowed(&size, None), 1);
    let earlier = reserve::Hold::beside(&record, &member, 1, at(500), at(0));
    assert_eq!(earlier.spare.cpu_milli, 0, "the run is still there");
}

/// A worker that fails what it starts is suspected after failures of three jobs; failures of a single job are not
/// enough.
#[test]
fn a_worker_is_suspected_after_failures_of_several_jobs() {
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

/// A slow worker is detected by tasks of several jobs that lag behind their siblings; a single slow task is not
/// enough.
#[test]
fn slow_workers_are_detected_by_sibling_tasks() {
    let mut slowness = Slowness::default();
    let totals = |millis: &[u64]| {
        let steps = millis.iter().enumerate();
        steps
            .map(|(job, millis)| (step(job as u64), at(*millis)))
            .collect::<BTreeMap<_, _>>()
    };
    slowness.observe(at(0), 1, &totals(&[1_000, 3_000]));
    slowness.observe(at(0), 2, &totals(&[5_000, 2_900]));
    assert_eq!(slowness.factor(2, at(100)), None, "only one of two jobs is slow");
    slowness.observe(at(500), 2, &totals(&[5_000, 16_000]));
    assert!(slowness.factor(2, at(600)).is_some_and(|factor| factor > 4.0));
    assert_eq!(slowness.factor(1, at(600)), None);
    assert_eq!(slowness.factor(2, at(3_000)), None, "the rating has expired");
}

/// A lease counts as expired only when the slowest permitted clock has passed its end.
#[test]
fn leases_expire_by_the_slowest_clock() {
    let mut record = worker_with(&[]);
    record.sample = Some(worker::Sample {
        clock: at(100_000),
        at: at(0),
    });
    record.lease_end = at(106_000);
    assert!(!record.leases_expired(at(6_100)));
    assert!(record.leases_expired(at(6_130)));
}

/// The leader cannot keep up with a burst: without refusals, accepted jobs wait behind everything else, callers repeat
/// their calls, and the leader never recovers. At 300 VMs, 62% of the requests failed.
#[test]
fn jobs_are_refused_while_the_leader_lags() {
    let state = cell::State::default();
    let job = job(1.5);
    let admit = |lag| admission::admit(&state, &job.queue, &job.submission, at(lag));
    assert_eq!(admit(399), Ok(()));
    assert_eq!(admit(401), Err(call::Refusal::Overload));
}

/// Clocks are reported in whole milliseconds: an answer within the same millisecond must not be attributed to the next
/// incarnation of the worker.
#[test]
fn a_rounded_clock_belongs_to_the_same_incarnation() {
    let mut record = worker_with(&[]);
    record.sample = Some(worker::Sample {
        clock: at(100),
        at: at(1_000),
    });
    let sent = Duration::from_micros(1_000_900);
    assert!(!record.is_of_later_incarnation(sent, at(100)));
    assert!(record.is_of_later_incarnation(at(2_000), at(300)));
}
