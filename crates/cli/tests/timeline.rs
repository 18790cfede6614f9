//! Guards against a timeline that is out of order, repeats events, or hides lost events.

use std::time::Duration;

use bronzespoke_cli::{
    session,
    timeline::{filter, merge, read, render},
};
use bronzespoke_language::answer;
use bronzespoke_model::{event, stamp, task, vm};
use yare::parameterized;

mod common;

const JOB: u64 = 281_474_976_710_657;

fn event(process: &str, sequence: u64, micros: u64, kind: event::Kind) -> event::Event {
    event::Event {
        stamp: stamp::Stamp { micros, logical: 0 },
        process: String::from(process),
        sequence,
        kind,
    }
}

/// Returns the merged history of two processes; one of them is read twice, and a third is unreachable.
fn history() -> merge::History {
    let task = task::Ref { job: JOB, index: 3 };
    let accepted = event::Kind::JobAccepted { job: JOB, team: 5 };
    let started = event::Kind::TaskStarted {
        task,
        worker: 12,
        token: 1,
    };
    let b = vec![
        event("b", 1, 10, event::Kind::Started),
        event("b", 2, 30, accepted),
        event("b", 5, 30, event::Kind::TargetLost { target: 7 }),
    ];
    let a = vec![
        event("a", 8, 30, started),
        event("a", 9, 40, event::Kind::Stopping),
    ];
    let reading = |process: &str, events: &[event::Event], lost: u64| read::Reading {
        process: String::from(process),
        events: events.to_vec(),
        lost,
    };
    let unreachable = merge::Unreachable {
        name: String::from("c"),
        address: "10.0.0.3:1".parse().expect("an address"),
        reason: String::from("no answer in time"),
    };
    merge::merge(vec![
        Ok(reading("b", &b, 0)),
        Err(unreachable),
        Ok(reading("a", &a, 7)),
        Ok(reading("b", &b[1..], 1)),
    ])
}

fn positions(events: &[event::Event]) -> Vec<(&str, u64)> {
    events
        .iter()
        .map(|event| (event.process.as_str(), event.sequence))
        .collect()
}

#[test]
fn events_are_merged_by_stamp_each_once_and_losses_are_counted() {
    let history = history();
    assert_eq!(
        positions(&history.events),
        [("b", 1), ("a", 8), ("b", 2), ("b", 5), ("a", 9)]
    );
    let lost = history
        .lost
        .iter()
        .map(|loss| (loss.process.as_str(), loss.count));
    assert_eq!(lost.collect::<Vec<_>>(), [("a", 7), ("b", 3)]);
    let text = render::text(&history);
    assert!(text.contains("job=281474976710657 team=5"), "{text}");
    assert!(
        text.contains("task=281474976710657/3 token=1 worker=12"),
        "{text}"
    );
    assert!(text.contains("the ring of a has lost 7 events\n"), "{text}");
    assert!(
        text.ends_with("c at 10.0.0.3:1 does not answer: no answer in time\n"),
        "{text}"
    );
    let json = serde_json::to_string(&history).expect("plain data");
    assert_eq!(
        serde_json::from_str::<merge::History>(&json).expect("written above"),
        history
    );
}

#[parameterized(
    all = { filter::Filter::default(), None, &[("b", 1), ("a", 8), ("b", 2), ("b", 5), ("a", 9)] },
    team_and_its_tasks = { filter::Filter::default(), Some(5), &[("a", 8), ("b", 2)] },
    job_and_its_tasks = { filter::Filter { job: Some(JOB), ..Default::default() }, None, &[("a", 8), ("b", 2)] },
    task = { filter::Filter { task: filter::read_task("281474976710657/3"), ..Default::default() }, None, &[("a", 8)] },
    other_task = { filter::Filter { task: filter::read_task("281474976710657/0"), ..Default::default() }, None, &[] },
    target = { filter::Filter { target: Some(7), ..Default::default() }, None, &[("b", 5)] },
    worker = { filter::Filter { worker: Some(12), ..Default::default() }, None, &[("a", 8)] },
    process = { filter::Filter { process: Some(String::from("a")), ..Default::default() }, None, &[("a", 8), ("a", 9)] },
    time = { filter::Filter { since: Some(11), until: Some(30), ..Default::default() }, None,
        &[("a", 8), ("b", 2), ("b", 5)] },
    both = { filter::Filter { worker: Some(12), target: Some(7), ..Default::default() }, None, &[] },
)]
fn filters_keep_what_matches(filter: filter::Filter, team: Option<u32>, expected: &[(&str, u64)]) {
    let mut events = history().events;
    filter.apply(team, &mut events);
    assert_eq!(positions(&events), expected);
}

/// Guards against processes that are left out, and against an unreachable process that fails the read of all others.
#[tokio::test]
async fn all_processes_of_the_directory_are_read_in_pages() {
    let text = answer::Answer::text("");
    let mut second = common::Daemon::new("b", text.clone());
    let page = u64::from(bronzespoke_rpc::timeline::MAX_EVENTS);
    let sequences = (4..4 + page).chain(4 + page + 5..4 + page + 15);
    second.events = sequences
        .map(|number| event("b", number, number, event::Kind::ViewStale))
        .collect();
    let (second, _second_handle) = second.start().await;
    let mut first = common::Daemon::new("a", text);
    let place = vm::Place { region: 1, zone: 1 };
    let entry = |name: &str, rpc| vm::Vm {
        id: 1,
        name: String::from(name),
        place,
        peer: rpc,
        http: rpc,
        rpc,
        durable: true,
    };
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("bound");
    first.directory = vec![entry("b", second), entry("c", closed)];
    first.events = vec![event("a", 1, 1, event::Kind::Started)];
    let (first, _first_handle) = first.start().await;
    let session = session::Session::new(vec![first], Duration::from_secs(5));
    let history = merge::merge(read::all(session).await.expect("the first daemon answers"));
    assert_eq!(history.events.len() as u64, page + 10 + 1);
    assert_eq!(history.lost.len(), 1);
    assert_eq!(
        (history.lost[0].process.as_str(), history.lost[0].count),
        ("b", 3 + 5)
    );
    assert_eq!(history.unreachable.len(), 1);
    assert_eq!(
        (
            history.unreachable[0].name.as_str(),
            history.unreachable[0].address
        ),
        ("c", closed)
    );
}
