//! Targets that fail at every stage of a request.

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

async fn send(cell: &common::Cell, id: Option<&str>, deadline_ms: &str, body: &str) -> caller::Response {
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

fn run_field(answer: &caller::Response) -> String {
    answer.json()["error"]["run"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}

/// Guards against a target that refuses connections and so fails requests, or makes a non-repeatable one `unknown`.
#[tokio::test]
async fn target_that_refuses_connections_is_skipped() {
    let gone = target(ECHO).await;
    gone.crash();
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

/// Guards against an id that stays claimed after `not run`, so that the request could never run.
#[tokio::test]
async fn request_id_is_released_after_not_run() {
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

/// Guards against a second run, or a reported `not run`, after a target may have read bytes of the request.
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
async fn claimed_request_is_never_retried(behaviour: Behaviour, status: u16) {
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

/// Guards against a truncated response that is forwarded as complete, and against a repeatable request that is not
/// retried.
#[tokio::test]
async fn truncated_response_is_retried_if_repeatable() {
    let cut = Bytes::from_static(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
    let bad = target(Behaviour::Raw(cut)).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&bad, &good]).await;
    for _ in 0..8 {
        let answer = send(&cell, None, "5000", "whole").await;
        assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "whole"));
    }
}

/// Guards against a long, truncated response that looks complete to the caller.
#[yare::parameterized(
    length = { "content-length: 200000", "" },
    chunks = { "transfer-encoding: chunked", "186a0\r\n" },
)]
#[test_macro(tokio::test)]
async fn long_truncated_response_aborts_the_connection(header: &str, prefix: &str) {
    let mut bytes = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n{prefix}").into_bytes();
    bytes.extend(vec![b'x'; 100_000]);
    let bad = target(Behaviour::Raw(bytes.into())).await;
    let cell = common::cell(&[&bad]).await;
    let answer = caller::request(cell.server.address(), "lineage", common::KEY, None, "x").await;
    assert!(matches!(answer, Err(caller::Error::Truncated(_))), "{answer:?}");
}

/// Guards against bytes beyond the content length that become part of the next response.
#[tokio::test]
async fn excess_bytes_are_discarded() {
    let bytes =
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let bad = target(Behaviour::Raw(Bytes::from_static(bytes))).await;
    let cell = common::cell(&[&bad]).await;
    for _ in 0..10 {
        assert_eq!(send(&cell, None, "5000", "x").await.text(), "abc");
    }
}

/// Guards against a non-repeatable request that fails after `not run` although another target has a free slot.
#[tokio::test]
async fn target_that_reports_not_run_is_skipped() {
    let busy = target(Behaviour::NotRun).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&busy, &good]).await;
    for number in 0..10 {
        let id = format!("id-{number}");
        assert_eq!(send(&cell, Some(&id), "5000", &id).await.status, StatusCode::OK);
        assert_eq!(good.runs_of(id.as_bytes()), 1);
    }
}

/// Guards against closed pooled connections that count as attempts when a target restarts at the same address.
#[tokio::test]
async fn target_restarts_at_the_same_address() {
    let first = target(ECHO).await;
    let cell = common::cell(&[&first]).await;
    assert_eq!(send(&cell, Some("a"), "5000", "a").await.status, StatusCode::OK);
    first.crash();
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

/// Guards against new requests to a departing target.
#[tokio::test]
async fn departing_target_gets_no_new_requests() {
    let leaving = target(ECHO).await;
    let staying = target(ECHO).await;
    let cell = common::cell(&[&leaving, &staying]).await;
    let mut usable = vec![common::status(&leaving, 1), common::status(&staying, 2)];
    usable[0].departing = true;
    cell.targets.send_replace(Arc::new(control::Targets { usable }));
    // Another task applies the new targets; this has happened when 30 consecutive requests went to the other target.
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

/// Guards against more connections to a target than this VM's allotment, and against requests lost at that bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_stay_within_the_allotment() {
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
        "{} connections, but 64 / 6 are allowed",
        target.connections().1
    );
    assert_eq!(target.runs(), 100);
}

/// Guards against a long, streamed response that is truncated, and against one that is stored beyond the size limit.
#[yare::parameterized(repeatable = { None }, claimed = { Some("id") })]
#[test_macro(tokio::test)]
async fn long_response_is_complete(id: Option<&'static str>) {
    let target = target(Behaviour::LongBody(8 << 20)).await;
    let cell = common::cell(&[&target]).await;
    let answer = send(&cell, id, "30000", "x").await;
    assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, 8 << 20));
    if id.is_some() {
        let again = send(&cell, id, "5000", "x").await;
        assert_eq!(
            run_field(&again),
            "unknown",
            "a response above the size limit is not stored"
        );
        assert_eq!(target.runs(), 1);
    }
}

/// Guards against a stalled target that delays repeatable requests, and against hedges of non-repeatable ones.
#[tokio::test]
async fn only_repeatable_requests_are_hedged() {
    let slow = target(ECHO).await;
    let good = target(ECHO).await;
    let cell = common::cell(&[&slow, &good]).await;
    // Enough responses for the latency distribution that hedging needs.
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
        "a target that always loses to its hedge got {stalled} of 40 requests"
    );
    for number in 0..8 {
        let id = format!("claimed-{number}");
        send(&cell, Some(&id), "300", &id).await;
        assert!(slow.runs_of(id.as_bytes()) + good.runs_of(id.as_bytes()) <= 1);
    }
}

/// Guards against callers whose deadlines are too short for the service and so get healthy targets ejected.
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
