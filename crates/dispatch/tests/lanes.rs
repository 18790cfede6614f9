//! Order and bounds of the messages that wait for a leader.

use std::time::Duration;

use bronzespoke_dispatch::{
    admission,
    lane::{Lane, Queue},
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against leases that expire, and leaderships that are lost, because reports and heartbeats wait behind a
/// backlog of submissions.
#[test]
fn a_report_does_not_wait_behind_submissions() {
    let mut queue = Queue::default();
    for number in 0..1_000 {
        queue
            .push(at(number), Lane::Work, "submission")
            .expect("there is room");
    }
    queue
        .push(at(1_000), Lane::Control, "cancellation")
        .expect("there is room");
    queue
        .push(at(1_001), Lane::Exchange, "report")
        .expect("there is room");
    queue
        .push(at(1_002), Lane::Group, "heartbeat")
        .expect("there is room");
    let next = [(); 4].map(|()| queue.pop().expect("messages wait").message);
    assert_eq!(next, ["heartbeat", "report", "cancellation", "submission"]);
    let submission = queue.pop().expect("submissions wait");
    assert_eq!(submission.since, at(1), "each lane is in the order of arrival");
    assert!(!admission::is_behind(at(200).saturating_sub(submission.since)));
    assert!(admission::is_behind(at(1_000).saturating_sub(submission.since)));
}

/// Guards against memory that grows with a backlog, and against the loss of answers, which have no other bound than the
/// requests that they belong to.
#[test]
fn a_full_lane_returns_the_message() {
    let mut queue = Queue::default();
    let mut accepted = 0;
    while queue.push(at(0), Lane::Work, accepted).is_ok() {
        accepted += 1;
    }
    assert_eq!(queue.len(Lane::Work), accepted);
    assert_eq!(queue.push(at(0), Lane::Work, 7), Err(7));
    for number in 0..2 * accepted {
        queue
            .push(at(0), Lane::Exchange, number)
            .expect("answers are not refused");
    }
    assert!(!queue.is_empty());
}
