//! Decisions on the connections of operators, replayed without a network.

use std::time::Duration;

use bronzespoke_daemon::rpc::places::{Limits, Phase, Places};

const LIMITS: Limits = Limits {
    connections: 3,
    idle: Duration::from_mins(1),
    request: Duration::from_secs(15),
    response: Duration::from_secs(10),
};

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Opens as many connections as there are places.
fn full() -> Places {
    let mut places = Places::new(LIMITS);
    for second in 0..3 {
        assert_eq!(places.open(at(second)), Some(second));
    }
    assert_eq!(places.open(at(3)), None);
    places
}

/// Guards against stalled clients that keep their places while new clients wait.
#[test]
fn the_longest_stalled_connection_gives_up_its_place() {
    let mut places = full();
    places.begin(at(4), 0, Phase::Request);
    assert_eq!(places.displaced(), Some(1));
    places.advance(at(5), 1);
    assert_eq!(places.displaced(), Some(2));
    places.close(2);
    assert_eq!(places.open(at(6)), Some(3));
}

/// Guards against a refusal of a statement that may have been executed.
#[test]
fn statements_that_are_being_executed_are_not_cut() {
    let mut places = full();
    for id in 0..3 {
        places.begin(at(4), id, Phase::Serving);
    }
    assert_eq!(places.displaced(), None);
    assert!(places.overdue(at(10_000)).is_empty());
    places.begin(at(5), 1, Phase::Response);
    assert_eq!(places.displaced(), Some(1));
}

/// Guards against requests that are cut because others need memory for their responses.
#[test]
fn only_responses_give_up_memory() {
    let mut places = full();
    places.begin(at(4), 0, Phase::Request);
    assert_eq!(places.displaced_response(), None);
    places.begin(at(5), 1, Phase::Response);
    places.begin(at(6), 2, Phase::Response);
    places.advance(at(7), 1);
    assert_eq!(places.displaced_response(), Some(2));
}

/// Guards against a request that is extended byte by byte, and against a response that is read slowly and is cut.
#[test]
fn requests_have_a_total_time_and_responses_need_progress() {
    let mut places = full();
    places.begin(at(10), 0, Phase::Request);
    places.begin(at(10), 1, Phase::Response);
    places.advance(at(20), 0);
    places.advance(at(20), 1);
    places.advance(at(25), 1);
    assert_eq!(places.overdue(at(25)), Vec::<u64>::new());
    assert_eq!(places.overdue(at(26)), [0]);
    assert_eq!(places.overdue(at(36)), [0, 1]);
    assert_eq!(places.overdue(at(63)), [0, 1, 2]);
}
