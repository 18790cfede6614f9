//! Targets that fail in every stage: guards against repeated runs, untrue refusals and answers that are not whole.

mod common;

use std::{sync::Arc, time::Duration};

use bronzespoke_gateway::{control, settings};
use bronzespoke_model::vm;
use bronzespoke_standin::{
    caller,
    target::{Behaviour, Target},
};
use bytes::Bytes;
use http::{Method, StatusCode};

const ECHO: Behaviour = Behaviour::Echo(Duration::ZERO);
const PATH: &str = "/v2/services/lineage/requests";

async fn target(behaviour: Behaviour) -> Target {
    Target::start(8, behaviour).await.expect("the target starts")
}

async fn send(cell: &common::Cell, id: Option<&str>, deadline_ms: &str, body: &str) -> caller::Answer {
    let mut headers = vec![
        ("authorization", "Bearer dojo-key"),
        ("bronzespoke-deadline-ms", deadline_ms),
    ];
    headers.extend(id.map(|id| ("idempotency-key", id)));
    let sent = caller::send(
        cell.server.address(),
        Method::POST,
        PATH,
        &headers,
        body.to_owned(),
    );
    sent.await.expect("answers")
}

fn run_field(answer: &caller::Answer) -> String {
    answer.json()["error"]["run"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}

/// Guards against a refusing target that fails requests, or makes a non-repeatable one `unknown`.
#[tokio::test]
async fn a_refusing_target_is_passed_over() {
    let gone = target(ECHO).await;
    gone.vanish();
    let good = target(ECHO).await;
    common::eventually("the port is closed", || {
        std::net::TcpStream::connect(gone.address()).is_err()
    })
    .await;
    let cell = common::cell(&[&gone, &good]).await;
    for number in 0..20 {
        let id = format!("id-{number}");
        let answer = send(&cell, Some(&id), "5000", &id).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    assert_eq!(good.runs(), 20);
}

/// Guards against a true `not run` that keeps the id, so that the request could never run.
#[tokio::test]
async fn an_id_is_free_after_not_run() {
    let target = target(Behaviour::NotRun).await;
    let cell = common::cell(&[&target]).await;
    let refused = send(&cell, Some("id"), "5000", "x").await;
    assert_eq!(
        (refused.status, run_field(&refused).as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not run")
    );
    assert!(refused.header("retry-after").is_some());
    target.set(ECHO);
    common::eventually("the completion is recorded", || {
        let claims = cell.control.claims.lock().expect("no test panics with the lock");
        claims.values().all(Option::is_some)
    })
    .await;
    assert_eq!(send(&cell, Some("id"), "5000", "x").await.status, StatusCode::OK);
    assert_eq!(target.runs(), 1);
}

/// Guards against a second run, or a `not run`, after bytes may have been read.
#[yare::parameterized(
    before = { Behaviour::StallBeforeReading, 504 },
    after = { Behaviour::StallAfterReading, 504 },
    close = { Behaviour::Close, 502 },
    short = { Behaviour::Raw(Bytes::from_static(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc")), 502 },
    open_end = { Behaviour::Raw(Bytes::from_static(b"HTTP/1.1 200 OK\r\n\r\nabc")), 502 },
    other = { Behaviour::Raw(Bytes::from_static(b"HTTP/1.1 200 OK\r\nbronzespoke-attempt: 999\r\ncontent-length: 3\r\n\r\nabc")), 502 },
    garbage = { Behaviour::Raw(Bytes::from_static(b"\x00\x01\x02 what\r\n\r\n")), 502 },
    chunk = { Behaviour::Raw(Bytes::from_static(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab")), 502 },
)]
#[test_macro(tokio::test)]
async fn a_claimed_request_is_never_repeated(behaviour: Behaviour, status: u16) {
    let bad = target(behaviour).await;
    let cell = common::cell(&[&bad]).await;
    let first = send(&cell, Some("id"), "400", "x").await;
    assert_eq!(
        (first.status.as_u16(), run_field(&first).as_str()),
        (status, "unknown"),
        "{}",
        first.text()
    );
    let good = target(ECHO).await;
    let usable = vec![common::status(&good, 9)];
    cell.targets.send_replace(Arc::new(control::Targets { usable }));
    let again = send(&cell, Some("id"), "5000", "x").await;
    assert_eq!(
        (again.status, run_field(&again).as_str()),
        (StatusCode::CONFLICT, "unknown")
    );
    assert_eq!(good.runs(), 0);
    assert!(bad.runs() <= 1);
}

/// Guards against a cut answer that is passed on as whole, and against a repeatable request that is not retried.
#[tokio::test]
async fn a_cut_answer_is_retried_when_repeatable() {
    let cut = Bytes::from_static(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
    let bad = target(Behaviour::Raw(cut)).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&bad, &good]).await;
    for _ in 0..8 {
        let answer = send(&cell, None, "5000", "whole").await;
        assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "whole"));
    }
}

/// Guards against a long answer that is cut and looks whole to the caller.
#[yare::parameterized(
    length = { "content-length: 200000", "" },
    chunks = { "transfer-encoding: chunked", "186a0\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_long_cut_answer_aborts_the_connection(header: &str, prefix: &str) {
    let mut bytes = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n{prefix}").into_bytes();
    bytes.extend(vec![b'x'; 100_000]);
    let bad = target(Behaviour::Raw(bytes.into())).await;
    let cell = common::cell(&[&bad]).await;
    let answer = caller::request(cell.server.address(), "lineage", common::KEY, None, "x").await;
    assert!(matches!(answer, Err(caller::Error::Cut(_))), "{answer:?}");
}

/// Guards against bytes after the announced length that become part of the next answer.
#[tokio::test]
async fn excess_bytes_reach_nobody() {
    let bytes =
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let bad = target(Behaviour::Raw(Bytes::from_static(bytes))).await;
    let cell = common::cell(&[&bad]).await;
    for _ in 0..10 {
        assert_eq!(send(&cell, None, "5000", "x").await.text(), "abc");
    }
}

/// Guards against a `not run` of a target that ends a non-repeatable request although another has room.
#[tokio::test]
async fn a_target_that_did_not_run_is_passed_over() {
    let busy = target(Behaviour::NotRun).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&busy, &good]).await;
    for number in 0..10 {
        let id = format!("id-{number}");
        assert_eq!(send(&cell, Some(&id), "5000", &id).await.status, StatusCode::OK);
        assert_eq!(good.runs_of(id.as_bytes()), 1);
    }
}

/// Guards against dead pooled connections that count as attempts when a target comes back at its address.
#[tokio::test]
async fn a_target_comes_back_at_its_address() {
    let first = target(ECHO).await;
    let cell = common::cell(&[&first]).await;
    assert_eq!(send(&cell, Some("a"), "5000", "a").await.status, StatusCode::OK);
    first.vanish();
    common::eventually("the connections are closed", || first.connections().0 == 0).await;
    let mut second = Target::start_at(first.address(), 8, ECHO).await;
    for _ in 0..100 {
        if second.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        second = Target::start_at(first.address(), 8, ECHO).await;
    }
    let second = second.expect("the address is free again");
    for number in 0..5 {
        let id = format!("id-{number}");
        assert_eq!(send(&cell, Some(&id), "5000", &id).await.status, StatusCode::OK);
    }
    assert_eq!(second.runs(), 5);
}

/// Guards against new work for a departing target.
#[tokio::test]
async fn a_departing_target_gets_nothing_new() {
    let leaving = target(ECHO).await;
    let staying = target(ECHO).await;
    let cell = common::cell(&[&leaving, &staying]).await;
    let mut usable = vec![common::status(&leaving, 1), common::status(&staying, 2)];
    usable[0].departing = true;
    cell.targets.send_replace(Arc::new(control::Targets { usable }));
    // The view is taken in by another task; it is in force when 30 requests in a row go elsewhere.
    let mut elsewhere = 0;
    for _ in 0..3000 {
        let before = leaving.runs();
        send(&cell, None, "5000", "x").await;
        elsewhere = if leaving.runs() == before {
            elsewhere + 1
        } else {
            0
        };
        if elsewhere == 30 {
            break;
        }
    }
    assert_eq!(elsewhere, 30);
    let before = leaving.runs();
    for _ in 0..50 {
        assert_eq!(send(&cell, None, "5000", "x").await.status, StatusCode::OK);
    }
    assert_eq!(leaving.runs(), before);
}

/// Guards against more connections to a target than this VM's part, and against lost requests at that bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_stay_within_the_part() {
    let target = Arc::new(target(Behaviour::Echo(Duration::from_millis(5))).await);
    let mut view = common::view();
    for id in 1..=6 {
        view.entries.push(vm::Vm {
            id,
            name: format!("vm-{id}"),
            place: common::PLACE,
            peer: target.address(),
            http: target.address(),
            rpc: target.address(),
            durable: false,
        });
    }
    let settings = settings::Settings {
        vm: 1,
        ..settings::Settings::default()
    };
    let cell = Arc::new(common::cell_with(&[&target], settings, view).await);
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..100 {
        let cell = Arc::clone(&cell);
        tasks.spawn(async move { send(&cell, None, "30000", "x").await.status });
    }
    while let Some(status) = tasks.join_next().await {
        assert_eq!(status.expect("no panic"), StatusCode::OK);
    }
    assert!(
        target.connections().1 <= 11,
        "{} connections, 64 / 6 are allowed",
        target.connections().1
    );
    assert_eq!(target.runs(), 100);
}

/// Guards against an answer that depends on the speed of the caller: a long one is streamed whole.
#[yare::parameterized(repeatable = { None }, claimed = { Some("id") })]
#[test_macro(tokio::test)]
async fn a_long_answer_is_whole(id: Option<&'static str>) {
    let target = target(Behaviour::Long(8 << 20)).await;
    let cell = common::cell(&[&target]).await;
    let answer = send(&cell, id, "30000", "x").await;
    assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, 8 << 20));
    if id.is_some() {
        let again = send(&cell, id, "5000", "x").await;
        assert_eq!(
            run_field(&again),
            "unknown",
            "an answer above the bound is not stored"
        );
        assert_eq!(target.runs(), 1);
    }
}

/// Guards against a late target that makes a repeatable request late, and against copies of non-repeatable ones.
#[tokio::test]
async fn a_late_target_is_hedged_for_repeatable_requests_only() {
    let slow = target(ECHO).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&slow, &good]).await;
    // Enough answers that the distribution of latencies is known.
    for _ in 0..220 {
        send(&cell, None, "30000", "learn").await;
    }
    slow.set(Behaviour::StallAfterReading);
    let before = slow.runs();
    for number in 0..40 {
        let answer = send(&cell, None, "30000", &format!("repeatable-{number}")).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    let stalled = slow.runs() - before;
    assert!(
        stalled <= 10,
        "a target that is always overtaken got {stalled} of 40 requests"
    );
    for number in 0..8 {
        let id = format!("claimed-{number}");
        send(&cell, Some(&id), "300", &id).await;
        assert!(slow.runs_of(id.as_bytes()) + good.runs_of(id.as_bytes()) <= 1);
    }
}

/// Guards against callers that ask for deadlines too short for the service and so have good targets ejected.
#[tokio::test]
async fn short_deadlines_eject_no_target() {
    let time = Duration::from_millis(50);
    let targets = [
        target(Behaviour::Echo(time)).await,
        target(Behaviour::Echo(time)).await,
    ];
    let cell = common::cell(&[&targets[0], &targets[1]]).await;
    for _ in 0..40 {
        let answer = send(&cell, None, "1", "short").await;
        assert!(answer.status.is_server_error());
    }
    for _ in 0..20 {
        assert_eq!(send(&cell, None, "5000", "long").await.status, StatusCode::OK);
    }
    assert!(targets.iter().all(|target| target.runs_of(b"long") > 0));
}
