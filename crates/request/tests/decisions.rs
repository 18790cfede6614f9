//! Single decisions with exact numbers: adaptive limit, deadlines, retry jitter, slow start and late attempts.

use std::time::Duration;

use bronzespoke_model::{target, vm};
use bronzespoke_request::{
    admission::{self, Admission, Decision, Flow, Owner, Reason, Request},
    allotment, attempt,
    retry::Retry,
    router::{self, Choice, Router},
    rules::Rules,
};

const FLOW: Flow = Flow {
    service: 1,
    owner: Owner::Team(1),
};
const PLACE: vm::Place = vm::Place { region: 0, zone: 0 };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn request(id: u64, deadline: Duration) -> Request {
    Request {
        id,
        flow: FLOW,
        weight: 1,
        limit: 10_000,
        deadline,
    }
}

/// Starts `count` requests and finishes each after 100 ms, every second one with `other`; returns how many started.
fn round(admission: &mut Admission, now: &mut Duration, count: u32, other: admission::Outcome) -> u32 {
    let mut started = 0;
    for id in 0..count {
        let decision = admission.admit(*now, request(u64::from(id), *now + ms(60_000)), 10_000);
        started += u32::from(decision == Decision::Admitted);
    }
    *now += ms(100);
    for number in 0..started {
        let answered = admission::Outcome::Success { latency: ms(100) };
        admission.finish(*now, FLOW, if number % 2 == 0 { answered } else { other });
    }
    while admission.dequeue(*now, 1, 10_000).is_some() {
        admission.finish(*now, FLOW, admission::Outcome::Ignored);
    }
    started
}

/// Guards against a concurrency limit that stays high while targets have fewer free slots than they announce, or that
/// does not recover after the overload.
#[test]
fn concurrency_limit_adapts_to_overload() {
    let mut admission = Admission::new(1, Rules::default());
    let mut now = ms(0);
    for _ in 0..30 {
        round(&mut admission, &mut now, 100, admission::Outcome::Overloaded);
    }
    let low = admission.limit(1).expect("the service is known");
    assert!(low < 50, "the limit is still {low} after 30 rounds of overload");
    let good = admission::Outcome::Success { latency: ms(100) };
    for _ in 0..60 {
        round(&mut admission, &mut now, 100, good);
    }
    let high = admission.limit(1).expect("the service is known");
    assert!(high > low + 20, "the limit rose only from {low} to {high}");
    admission.verify().expect("the counters agree");
}

/// Guards against requests that are queued or sent although they cannot complete by their deadline.
#[test]
fn request_that_would_miss_its_deadline_is_not_sent() {
    let mut admission = Admission::new(1, Rules::default());
    assert_eq!(
        admission.admit(ms(0), request(1, ms(1000)), 1),
        Decision::Admitted
    );
    admission.finish(ms(100), FLOW, admission::Outcome::Success { latency: ms(100) });
    let rejected = admission.admit(ms(100), request(2, ms(150)), 0);
    assert!(
        matches!(
            rejected,
            Decision::Rejected {
                reason: Reason::Deadline,
                ..
            }
        ),
        "{rejected:?}"
    );
    assert_eq!(
        admission.admit(ms(100), request(3, ms(1000)), 0),
        Decision::Queued
    );
    assert_eq!(admission.dequeue(ms(950), 1, 1), None);
    assert_eq!(admission.pop_expired().map(|request| request.id), Some(3));
    admission.verify().expect("the counters agree");
}

/// Guards against rejected callers that all retry at the same time.
#[test]
fn retry_after_has_jitter() {
    let mut admission = Admission::new(1, Rules::default());
    let mut delays: Vec<Duration> = (0..50)
        .filter_map(|id| match admission.admit(ms(0), request(id, ms(0)), 0) {
            Decision::Rejected { retry_after, .. } => Some(retry_after),
            Decision::Admitted | Decision::Queued => None,
        })
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(
        delays.len() > 40,
        "only {} distinct delays for 50 callers",
        delays.len()
    );
}

fn router(targets: u64) -> Router {
    let mut router = Router::new(router::Config {
        own: allotment::Entry { vm: 1, place: PLACE },
        remote_bytes_per_second: 0,
        seed: 1,
        load_source: router::LoadSource::Response,
        rules: Rules::default(),
    });
    let targets: Vec<_> = (1..=targets)
        .map(|target| {
            let announcement = target::Announcement {
                target,
                incarnation: 1,
                service: String::new(),
                address: ([127, 0, 0, 1], 1).into(),
                slots: 8,
                connections: 64,
            };
            let status = target::Status {
                announcement,
                place: PLACE,
                departing: false,
                in_flight: 0,
            };
            (1, status)
        })
        .collect();
    router.apply(ms(0), router::Update::Targets(&targets));
    router
}

/// Sends requests until no slot is free; returns how many target 1 got.
fn fill(router: &mut Router, now: Duration) -> usize {
    let request = router::Request {
        service: 1,
        exclude: &[],
        bytes: 1,
    };
    let mut picked = Vec::new();
    while let Choice::Target(target) = router.pick(now, &request) {
        picked.push(target);
    }
    for target in &picked {
        router.finish(now, *target, attempt::Outcome::Abandoned);
    }
    picked.iter().filter(|target| **target == 1).count()
}

/// Guards against a readmitted target that gets its full load immediately, and against a target that stays ejected.
#[test]
fn readmitted_target_starts_slowly() {
    let mut router = router(2);
    assert_eq!(fill(&mut router, ms(0)), 9);
    for _ in 0..5 {
        router.finish(ms(0), 1, attempt::Outcome::Failed);
    }
    assert_eq!(fill(&mut router, ms(1999)), 0);
    let mut allowed = vec![fill(&mut router, ms(2000))];
    for _ in 0..3 {
        for _ in 0..4 {
            let latency = ms(1);
            router.finish(ms(2000), 1, attempt::Outcome::Success { latency, load: None });
        }
        allowed.push(fill(&mut router, ms(2000)));
    }
    assert_eq!(allowed, [1, 2, 4, 9]);
    for _ in 0..5 {
        router.finish(ms(3000), 1, attempt::Outcome::Failed);
    }
    assert_eq!(
        fill(&mut router, ms(5000)),
        0,
        "a consecutive ejection lasts longer"
    );
    assert_eq!(fill(&mut router, ms(7000)), 1);
    router.verify().expect("the lists agree");
}

/// Guards against a timeout that is short for the service and still counts against the target.
#[test]
fn lateness_depends_on_the_latency_of_the_service() {
    let mut retry = Retry::new(10, Rules::default());
    assert!(!retry.is_late(1, ms(999)) && retry.is_late(1, ms(1000)));
    for _ in 0..200 {
        retry.record_latency(1, ms(10));
    }
    assert!(!retry.is_late(1, ms(39)) && retry.is_late(1, ms(42)));
}
