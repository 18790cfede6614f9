//! Behaviour while control is slow or has stopped.

mod common;

use std::time::Duration;

use bronzespoke_gateway::control;
use bronzespoke_standin::{
    caller,
    target::{Behaviour, Target},
};
use http::{Method, StatusCode};

const PATH: &str = "/v2/services/lineage/requests";
const AUTH: (&str, &str) = ("authorization", "Bearer dojo-key");
const JOB: &str = r#"{"kind":"batch","tasks":1,"size":{"cpu_milli":100}}"#;

async fn target() -> Target {
    let behaviour = Behaviour::Echo(Duration::ZERO);
    Target::start(8, behaviour).await.expect("the target starts")
}

fn run_field(answer: &caller::Response) -> String {
    answer.json()["error"]["run"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}

/// Guards against a request that is sent without its claim, and against a late grant that blocks the id permanently.
#[tokio::test]
async fn late_grant_is_released() {
    let target = target().await;
    let (cell, mut calls) = common::manual(&[&target]).await;
    let headers = [
        AUTH,
        ("idempotency-key", "id"),
        ("bronzespoke-deadline-ms", "200"),
    ];
    let answer = caller::send(cell.server.address(), Method::POST, PATH, &headers, "x")
        .await
        .expect("answers");
    assert_eq!(
        (answer.status, run_field(&answer).as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not run")
    );
    let Some(control::Call::Claim(_, reply)) = calls.recv().await else {
        panic!("the first call is not a claim");
    };
    reply
        .send(control::Claimed::Granted(9))
        .expect("the gateway still waits for the grant");
    let completion = loop {
        match calls.recv().await.expect("the gateway holds the channel") {
            control::Call::Complete(_, number, completion, _) => break (number, completion),
            control::Call::Load(..) | control::Call::Event(_) => {}
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(completion, (9, control::Completion::NotRun));
    assert_eq!(target.runs(), 0);
}

/// Guards against a job submission that control does not reply to and that is reported as not run.
#[tokio::test]
async fn submission_without_reply_is_unknown() {
    let target = target().await;
    let (cell, _calls) = common::manual(&[&target]).await;
    let answer = caller::send(cell.server.address(), Method::POST, "/v2/jobs", &[AUTH], JOB).await;
    let answer = answer.expect("answers");
    assert_eq!(
        (answer.status, run_field(&answer).as_str()),
        (StatusCode::GATEWAY_TIMEOUT, "unknown")
    );
}

/// Guards against calls that wait for a stopped control task, and against repeatable requests that depend on it.
#[tokio::test]
async fn repeatable_requests_continue_without_control() {
    let target = target().await;
    let (cell, calls) = common::manual(&[&target]).await;
    drop(calls);
    let address = cell.server.address();
    let job = caller::send(address, Method::POST, "/v2/jobs", &[AUTH], JOB)
        .await
        .expect("answers");
    assert_eq!(
        (job.status, run_field(&job).as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not run")
    );
    let claimed = caller::request(address, "lineage", common::KEY, Some("id"), "x")
        .await
        .expect("answers");
    assert_eq!(
        (claimed.status, run_field(&claimed).as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not run")
    );
    let repeatable = caller::request(address, "lineage", common::KEY, None, "x")
        .await
        .expect("answers");
    assert_eq!(repeatable.status, StatusCode::OK);
    assert_eq!(target.runs(), 1);
}

/// Guards against two runs of a request whose id is sent twice at the same time.
#[tokio::test]
async fn request_id_in_progress_is_rejected() {
    let target = Target::start(8, Behaviour::Echo(Duration::from_millis(300)))
        .await
        .expect("the target starts");
    let cell = common::cell(&[&target]).await;
    let address = cell.server.address();
    let first = tokio::spawn(caller::request(address, "lineage", common::KEY, Some("id"), "x"));
    common::eventually("the first runs", || target.runs() == 1).await;
    let second = caller::request(address, "lineage", common::KEY, Some("id"), "x")
        .await
        .expect("answers");
    assert_eq!(second.status, StatusCode::CONFLICT);
    assert_eq!(second.json()["error"]["code"], "in progress");
    assert_eq!(
        first.await.expect("no panic").expect("answers").status,
        StatusCode::OK
    );
    assert_eq!(target.runs(), 1);
}
