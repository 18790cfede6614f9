//! Workers' reports: form of the body, version of HTTP, and the stand-in worker against a slow leader.

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

/// Guards against a body that is read or answered in another form than the headers name, over either version of HTTP.
#[parameterized(
    json = { JSON, "*/*", false, JSON },
    compact = { compact::MEDIA_TYPE, compact::MEDIA_TYPE, false, compact::MEDIA_TYPE },
    compact_over_two = { compact::MEDIA_TYPE, compact::MEDIA_TYPE, true, compact::MEDIA_TYPE },
    json_over_two = { JSON, JSON, true, JSON },
    compact_answered_as_json = { compact::MEDIA_TYPE, JSON, true, JSON },
    several_accepted = { JSON, "text/html, application/vnd.bronzespoke.report.v1+postcard;q=0.5", false, compact::MEDIA_TYPE },
    unknown_version = { JSON, "application/vnd.bronzespoke.report.v2+postcard", false, JSON },
)]
#[test_macro(tokio::test)]
async fn forms(content_type: &str, accept: &str, two: bool, expected: &str) {
    let cell = common::cell(&[]).await;
    let client = if two {
        client::Client::new_two()
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

/// Guards against a broken binary body that is taken in part, or that ends the connection instead of being refused.
#[parameterized(
    cut = { |body: &mut Vec<u8>| { body.pop(); } },
    longer = { |body: &mut Vec<u8>| body.push(0) },
    empty = { Vec::clear },
    endless_list = { |body: &mut Vec<u8>| { body.truncate(3); body.extend([255, 255, 255, 255, 15]); } },
)]
#[test_macro(tokio::test)]
async fn broken_bodies_are_refused(damage: fn(&mut Vec<u8>)) {
    let cell = common::cell(&[]).await;
    let mut body = body(compact::MEDIA_TYPE);
    damage(&mut body);
    let headers = [("content-type", compact::MEDIA_TYPE)];
    let answer = client::Client::new_two()
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

/// Guards against requests of callers over HTTP/2, whose rules for relayed answers the entry path does not keep.
#[tokio::test]
async fn only_workers_may_use_http_two() {
    let cell = common::cell(&[]).await;
    let path = "/v2/queues/diplomas/requests";
    let answer = client::Client::new_two()
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
        match call.expect("the gateway is there") {
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
        fails_everything: false,
    };
    let cancel = CancellationToken::new();
    let ledger = Arc::new(ledger::Ledger::default());
    tokio::spawn(standin::run(options, ledger, cancel.clone()));
    cancel
}

/// Guards against a worker whose runs keep ending and that replaces every report before its answer comes: its lease
/// would run out, and it would stop everything.
#[tokio::test]
async fn a_report_with_ends_waits_for_its_answer() {
    let (cell, mut calls) = common::patient().await;
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
        // Longer than the pause before an end is reported, and several runs end meanwhile.
        tokio::time::sleep(Duration::from_millis(700)).await;
        ends += report.ended.len();
        let sent = answer.send(Ok(reply(report.sequence, Vec::new())));
        assert!(sent.is_ok(), "report {} was replaced", report.sequence);
        answered += 1;
    }
    assert!(answered <= 6, "20 ends in 2 s took {answered} answered reports");
    cancel.cancel();
}

/// Guards against a lost answer or a new leader after which the worker goes on to name a base that nobody knows, and
/// against a change that names runs again without a reason.
#[tokio::test]
async fn a_refused_change_is_followed_by_a_full_report() {
    let (cell, mut calls) = common::patient().await;
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
    // The answer is lost: the gateway ends the call without one.
    drop(answer);
    let (fifth, _answer) = next_report(&mut calls).await;
    assert_eq!((fifth.base, fifth.running.len()), (None, 2));
    cancel.cancel();
}

/// Guards against a worker that asks a silent leader twice in a row, because that VM is also its entry: the lease would
/// run out, and its runs would start again elsewhere.
#[tokio::test]
async fn a_silent_leader_is_asked_once() {
    let (silent, mut silent_calls) = common::patient().await;
    let (other, mut other_calls) = common::patient().await;
    let cancel = worker_at(vec![other.server.address(), silent.server.address()]);
    let (first, answer) = next_report(&mut silent_calls).await;
    answer
        .send(Ok(reply(first.sequence, vec![start(1, "serve")])))
        .expect("the worker waits");
    let (_, _answer) = next_report(&mut silent_calls).await;
    let (next, _answer) = next_report(&mut other_calls).await;
    assert_eq!((next.base, next.running.len()), (None, 1));
    assert!(
        silent_calls.try_recv().is_err(),
        "the silent leader was asked again"
    );
    cancel.cancel();
}
