//! Every route end to end.

mod common;

use std::time::Duration;

use bronzespoke_standin::{caller, target};
use http::{Method, StatusCode};

const AUTH: (&str, &str) = ("authorization", "Bearer dojo-key");

async fn echo() -> target::Target {
    let behaviour = target::Behaviour::Echo(Duration::ZERO);
    target::Target::start(8, behaviour)
        .await
        .expect("the target starts")
}

/// Guards against failures on the path from a caller through the gateway to a target and back.
#[tokio::test]
async fn requests_reach_a_target() {
    let target = echo().await;
    let cell = common::cell(&[&target]).await;
    let mut caller = caller::Caller::connect(cell.server.address())
        .await
        .expect("connects");
    for path in ["/v2/services/lineage/requests", "/v2/queues/diplomas/requests"] {
        let answer = caller
            .send(Method::POST, path, &[AUTH], "belt")
            .await
            .expect("answers");
        assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "belt"));
        assert!(answer.header("bronzespoke-attempt").is_none());
    }
    assert_eq!(target.runs(), 2);
    assert_eq!(target.connections().1, 1, "the connection is reused");
}

/// Guards against a resend that runs again or gets a different response.
#[tokio::test]
async fn resend_gets_the_stored_response() {
    let target = echo().await;
    let cell = common::cell(&[&target]).await;
    for _ in 0..3 {
        let answer = caller::request(
            cell.server.address(),
            "lineage",
            common::KEY,
            Some("id-1"),
            "audit",
        );
        let answer = answer.await.expect("answers");
        assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "audit"));
    }
    assert_eq!(target.runs(), 1);
}

/// Guards against routes that are not connected to their handler or respond with another status or body.
#[yare::parameterized(
    submit = { Method::POST, "/v2/jobs", r#"{"kind":"batch","tasks":1,"size":{"cpu_milli":100}}"#, 202, r#"{"job":42}"# },
    impossible = { Method::POST, "/v2/jobs", r#"{"kind":"batch","tasks":1,"size":{"cpu_milli":999000}}"#, 422, "impossible" },
    read = { Method::GET, "/v2/jobs/42", "", 200, r#""state":"running""# },
    result = { Method::GET, "/v2/jobs/42/result", "", 200, r#""job":42"# },
    no_job = { Method::GET, "/v2/jobs/43", "", 404, "not_found" },
    cancel = { Method::DELETE, "/v2/jobs/42", "", 200, r#""job":42"# },
    depart = { Method::DELETE, "/v2/targets/5?incarnation=1", "", 200, "{}" },
    announce = { Method::PUT, "/v2/targets/5", r#"{"target":5,"incarnation":1,"service":"lineage","address":"127.0.0.1:9","slots":8,"connections":64}"#, 200, r#"{"renew_ms":1000}"# },
    register = { Method::PUT, "/v2/workers/3", r#"{"worker":3,"incarnation":1,"rack":0,"capacity":{"amount":{"cpu_milli":64000,"memory_mib":128000,"accelerators":0},"accelerator":0}}"#, 200, "{}" },
    report = { Method::POST, "/v2/workers/3/report", r#"{"worker":3,"incarnation":1,"sequence":1,"running":[],"ended":[]}"#, 200, r#""acknowledged":1"# },
    redirect = { Method::POST, "/v2/workers/3/report", r#"{"worker":3,"incarnation":1,"sequence":0,"running":[],"ended":[]}"#, 307, "redirect" },
    health = { Method::GET, "/healthz", "", 200, "ok" },
    ready = { Method::GET, "/readyz", "", 200, "ready" },
    metrics = { Method::GET, "/metrics", "", 200, "bronzespoke_up 1" },
    old_request = { Method::POST, "/v1/request", r#"{"key":"dojo-key","service":"lineage","body":"belt"}"#, 200, r#"{"status":"done","code":200,"body":"belt"}"# },
    old_job = { Method::POST, "/v1/job", r#"{"key":"dojo-key","command":"audit"}"#, 200, r#"{"job":42}"# },
    old_read = { Method::GET, "/v1/job/42", "", 200, r#"{"job":42,"state":"running"}"# },
)]
#[test_macro(tokio::test)]
async fn route(method: Method, path: &str, body: &'static str, status: u16, expected: &str) {
    let target = echo().await;
    let cell = common::cell(&[&target]).await;
    let headers = [AUTH, ("x-key", "dojo-key")];
    let answer = caller::send(cell.server.address(), method, path, &headers, body)
        .await
        .expect("answers");
    assert_eq!(answer.status.as_u16(), status, "{}", answer.text());
    assert!(answer.text().contains(expected), "{}", answer.text());
    assert_eq!(answer.header("sunset").is_some(), path.starts_with("/v1/"));
    assert_eq!(answer.header("deprecation").is_some(), path.starts_with("/v1/"));
}
