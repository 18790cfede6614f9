//! Worker reports: encoding of the body, HTTP version, and the stand-in worker with a slow leader.

mod common;

use std::{sync::Arc, time::Duration};

use bronzespoke_gateway::control;
use bronzespoke_model::{compact, id, resource, task, worker};
use bronzespoke_standin::{client, ledger, worker as standin};
use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const JSON: &str = "application/json";
const LIMIT: Duration = Duration::from_secs(10);

fn body(content_type: &str) -> Vec<u8> {
    let report = worker::Report {
        worker: 3,
        incarnation: 1,
        sequence: 5,
        base: None,
        running: Vec::new(),
        ended: Vec::new(),
    };
    if content_type == compact::MEDIA_TYPE {
        postcard::to_stdvec(&compact::Report::from(report)).expect("a report is plain data")
    } else {
        serde_json::to_vec(&report).expect("a report is plain data")
    }
}

/// Guards against a report or reply in another encoding than the headers name, over both HTTP versions.
#[parameterized(
    json = { JSON, "*/*", false, JSON },
    compact = { compact::MEDIA_TYPE, compact::MEDIA_TYPE, false, compact::MEDIA_TYPE },
    compact_over_http2 = { compact::MEDIA_TYPE, compact::MEDIA_TYPE, true, compact::MEDIA_TYPE },
    json_over_http2 = { JSON, JSON, true, JSON },
    compact_answered_as_json = { compact::MEDIA_TYPE, JSON, true, JSON },
    several_accepted = { JSON, "text/html, application/vnd.bronzespoke.report.v1+postcard;q=0.5", false, compact::MEDIA_TYPE },
    unknown_version = { JSON, "application/vnd.bronzespoke.report.v2+postcard", false, JSON },
)]
#[test_macro(tokio::test)]
async fn encodings(content_type: &str, accept: &str, http2: bool, expected: &str) {
    let cell = common::cell(&[]).await;
    let client = if http2 {
        client::Client::new_http2()
    } else {
        client::Client::new()
    };
    let headers = [("content-type", content_type), ("accept", accept)];
    let body = Bytes::from(body(content_type));
    let address = cell.server.address();
    let answer = client
        .call(
            Method::POST,
            address,
            "/v2/workers/3/report",
            &headers,
            body,
            LIMIT,
        )
        .await
        .expect("the gateway answers");
    assert_eq!((answer.status.as_u16(), answer.address), (200, Some(address)));
    assert_eq!(answer.headers["content-type"], expected);
    let reply = if expected == JSON {
        serde_json::from_slice(&answer.body).expect("a reply")
    } else {
        worker::Reply::from(postcard::from_bytes::<compact::Reply>(&answer.body).expect("a reply"))
    };
    assert_eq!(reply.acknowledged, 5);
}

/// Guards against a malformed binary body that is accepted in part, or that closes the connection instead of being
/// rejected.
#[parameterized(
    truncated = { |body: &mut Vec<u8>| { body.pop(); } },
    longer = { |body: &mut Vec<u8>| body.push(0) },
    empty = { Vec::clear },
    endless_list = { |body: &mut Vec<u8>| { body.truncate(3); body.extend([255, 255, 255, 255, 15]); } },
)]
#[test_macro(tokio::test)]
async fn malformed_bodies_are_rejected(damage: fn(&mut Vec<u8>)) {
    let cell = common::cell(&[]).await;
    let mut body = body(compact::MEDIA_TYPE);
    damage(&mut body);
    let headers = [("content-type", compact::MEDIA_TYPE)];
    let answer = client::Client::new_http2()
        .call(
            Method::POST,
            cell.server.address(),
            "/v2/workers/3/report",
            &headers,
            Bytes::from(body),
            LIMIT,
        )
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, 400);
    assert!(String::from_utf8_lossy(&answer.body).contains(r#""field":"body""#));
}

/// Guards against HTTP/2 requests from callers; the gateway does not implement its rules for forwarded responses.
#[tokio::test]
async fn only_workers_may_use_http2() {
    let cell = common::cell(&[]).await;
    let path = "/v2/queues/diplomas/requests";
    let answer = client::Client::new_http2()
        .call(
            Method::POST,
            cell.server.address(),
            path,
            &[],
            Bytes::new(),
            LIMIT,
        )
        .await
        .expect("the gateway answers");
    assert_eq!(answer.status, 505);
}

fn start(token: id::Token, command: &str) -> task::Directive {
    task::Directive::Start {
        task: task::Ref { job: token, index: 0 },
        token,
        granted: resource::Amount::new(1, 1, 0),
        command: String::from(command),
    }
}

fn reply(acknowledged: u64, directives: Vec<task::Directive>) -> worker::Reply {
    worker::Reply {
        acknowledged,
        lease_ms: 10_000,
        directives,
    }
}

async fn next_report(
    calls: &mut mpsc::Receiver<control::Call>,
) -> (worker::Report, control::Reply<worker::Reply>) {
    loop {
        let call = tokio::time::timeout(LIMIT, calls.recv())
            .await
            .expect("the worker reports");
        match call.expect("the gateway holds the channel") {
            control::Call::Register(_, reply) => drop(reply.send(Ok(()))),
            control::Call::Report(report, reply) => return (report, reply),
            _ => {}
        }
    }
}

fn worker_of(cell: &common::Cell) -> CancellationToken {
    worker_at(vec![cell.server.address()])
}

fn worker_at(entries: Vec<std::net::SocketAddr>) -> CancellationToken {
    let options = standin::Options {
        registration: worker::Registration {
            worker: 3,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(1000, 1000, 0),
                accelerator: 0,
            },
        },
        entries,
        fail_all: false,
    };
    let cancel = CancellationToken::new();
    let ledger = Arc::new(ledger::Ledger::default());
    tokio::spawn(standin::run(options, ledger, cancel.clone()));
    cancel
}

/// Guards against a worker that replaces its report whenever a run ends and so never gets a reply: while runs keep
/// ending, its lease would expire, and it would stop all runs.
#[tokio::test]
async fn report_with_ended_runs_waits_for_its_reply() {
    let (cell, mut calls) = common::manual_workers().await;
    let cancel = worker_of(&cell);
    let (first, answer) = next_report(&mut calls).await;
    let starts = (1..=20).map(|number| start(number, &format!("sleep {}", number * 100)));
    answer
        .send(Ok(reply(first.sequence, starts.collect())))
        .expect("the worker waits");
    let (mut answered, mut ends) = (0, 0);
    while ends < 20 {
        let (report, answer) = next_report(&mut calls).await;
        if report.ended.is_empty() {
            continue;
        }
        // Longer than the delay before an ended run is reported, so that several runs end meanwhile.
        tokio::time::sleep(Duration::from_millis(700)).await;
        ends += report.ended.len();
        let sent = answer.send(Ok(reply(report.sequence, Vec::new())));
        assert!(sent.is_ok(), "report {} was replaced", report.sequence);
        answered += 1;
    }
    assert!(answered <= 6, "20 runs ended in 2 s took {answered} reports");
    cancel.cancel();
}

/// Guards against a worker that, after a lost reply or a change of leader, keeps sending incremental reports on a base
/// that the leader does not know, and against incremental reports that repeat unchanged runs.
#[tokio::test]
async fn rejected_incremental_report_is_followed_by_a_full_report() {
    let (cell, mut calls) = common::manual_workers().await;
    let cancel = worker_of(&cell);
    let (first, answer) = next_report(&mut calls).await;
    assert_eq!(first.base, None);
    answer
        .send(Ok(reply(
            first.sequence,
            vec![start(1, "serve"), start(2, "serve")],
        )))
        .expect("the worker waits");
    let (second, answer) = next_report(&mut calls).await;
    assert_eq!((second.base, second.running.len()), (Some(first.sequence), 2));
    answer
        .send(Ok(reply(second.sequence, Vec::new())))
        .expect("the worker waits");
    let (third, answer) = next_report(&mut calls).await;
    assert_eq!((third.base, third.running.len()), (Some(second.sequence), 0));
    let refusal = control::Refusal::Invalid {
        field: String::from("base"),
        message: String::from("not known"),
    };
    answer.send(Err(refusal)).expect("the worker waits");
    let (fourth, answer) = next_report(&mut calls).await;
    assert_eq!((fourth.base, fourth.running.len()), (None, 2));
    // The reply is lost: control drops the call without one.
    drop(answer);
    let (fifth, _answer) = next_report(&mut calls).await;
    assert_eq!((fifth.base, fifth.running.len()), (None, 2));
    cancel.cancel();
}

/// Guards against a worker that sends its report to an unresponsive leader twice, because that VM is also its
/// entry VM. Its lease would expire, and its runs would be started elsewhere.
#[tokio::test]
async fn unresponsive_leader_is_tried_once() {
    let (stalled, mut stalled_calls) = common::manual_workers().await;
    let (other, mut other_calls) = common::manual_workers().await;
    let cancel = worker_at(vec![other.server.address(), stalled.server.address()]);
    let (first, answer) = next_report(&mut stalled_calls).await;
    answer
        .send(Ok(reply(first.sequence, vec![start(1, "serve")])))
        .expect("the worker waits");
    let (_, _answer) = next_report(&mut stalled_calls).await;
    let (next, _answer) = next_report(&mut other_calls).await;
    assert_eq!((next.base, next.running.len()), (None, 1));
    assert!(
        stalled_calls.try_recv().is_err(),
        "the unresponsive leader got another report"
    );
    cancel.cancel();
}
