//! Callers that are slow, numerous, disconnected or invalid.

mod common;

use std::{fmt::Write as _, sync::Arc, time::Duration};

use bronzespoke_gateway::settings;
use bronzespoke_standin::{
    caller,
    target::{Behaviour, Target},
};
use http::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const ECHO: Behaviour = Behaviour::Echo(Duration::ZERO);
const PATH: &str = "/v2/services/lineage/requests";
const AUTH: (&str, &str) = ("authorization", "Bearer dojo-key");

async fn target(behaviour: Behaviour) -> Target {
    Target::start(8, behaviour).await.expect("the target starts")
}

fn short_timeouts() -> settings::Settings {
    settings::Settings {
        header_timeout: Duration::from_millis(200),
        stall_timeout: Duration::from_millis(200),
        ..settings::Settings::default()
    }
}

async fn raw(cell: &common::Cell, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(cell.server.address()).await.expect("connects");
    stream.write_all(bytes).await.expect("writes");
    stream
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset ends the stream like a close.
    drop(stream.read_to_end(&mut text).await);
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against a slow header that holds a connection indefinitely.
#[tokio::test]
async fn slow_header_closes_the_connection() {
    let target = target(ECHO).await;
    let cell = common::cell_with(&[&target], short_timeouts(), common::view()).await;
    let stream = raw(&cell, b"POST /v2/services/lineage/requests HTTP/1.1\r\nhos").await;
    read_all(stream).await;
    common::eventually("the connection is closed", || cell.server.connections() == 0).await;
}

/// Guards against a slow body that holds memory or a slot of a target.
#[tokio::test]
async fn slow_body_is_rejected() {
    let target = target(ECHO).await;
    let cell = common::cell_with(&[&target], short_timeouts(), common::view()).await;
    let head = b"POST /v2/services/lineage/requests HTTP/1.1\r\nhost: e\r\nauthorization: Bearer dojo-key\r\ncontent-length: 10\r\n\r\nabc";
    let text = read_all(raw(&cell, head).await).await;
    assert!(
        text.starts_with("HTTP/1.1 408") && text.contains("not run"),
        "{text}"
    );
    assert_eq!(target.runs(), 0);
}

/// Guards against a body beyond the limit that is buffered, with a length and with chunked encoding.
#[yare::parameterized(
    content_length = { "content-length: 9999999\r\n\r\n".to_owned() },
    chunked = { format!("transfer-encoding: chunked\r\n\r\n200000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x20_0000)) },
)]
#[test_macro(tokio::test)]
async fn body_over_the_limit_is_rejected(rest: String) {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let head = format!("POST {PATH} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer dojo-key\r\n{rest}");
    let mut stream = TcpStream::connect(cell.server.address()).await.expect("connects");
    let (mut reader, mut writer) = stream.split();
    let mut answer = vec![0; 4096];
    // The server may close the connection before it has read the complete body, so the write may fail.
    let (length, _) = tokio::join!(reader.read(&mut answer), writer.write_all(head.as_bytes()));
    let text = String::from_utf8_lossy(&answer[..length.unwrap_or(0)]).into_owned();
    assert!(
        text.starts_with("HTTP/1.1 413") && text.contains("1048576 are allowed"),
        "{text}"
    );
    assert_eq!(target.runs(), 0);
}

/// Guards against pipelined requests that are lost or whose responses are out of order.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let mut bytes = String::new();
    for number in 0..5 {
        let close = if number == 4 { "connection: close\r\n" } else { "" };
        write!(
            bytes,
            "POST {PATH} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer dojo-key\r\n{close}content-length: 6\r\n\r\nbelt-{number}"
        )
        .expect("writing to a string succeeds");
    }
    let text = read_all(raw(&cell, bytes.as_bytes()).await).await;
    let positions: Vec<_> = (0..5)
        .map(|number| text.find(&format!("belt-{number}")))
        .collect();
    assert!(
        positions.iter().all(Option::is_some) && positions.is_sorted(),
        "{text}"
    );
}

/// Guards against idle connections that block other callers.
#[tokio::test]
async fn idle_connections_do_not_block_requests() {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let mut idle = Vec::new();
    for _ in 0..2000 {
        idle.push(TcpStream::connect(cell.server.address()).await.expect("connects"));
    }
    common::eventually("all are accepted", || cell.server.connections() == 2000).await;
    let answer = caller::request(cell.server.address(), "lineage", common::KEY, None, "x").await;
    assert_eq!(answer.expect("answers").status, StatusCode::OK);
}

/// Guards against a repeatable request that continues after its caller disconnected, and against the loss of the
/// response to a non-repeatable one.
#[tokio::test]
async fn disconnect_cancels_only_repeatable_requests() {
    let target = target(Behaviour::Echo(Duration::from_millis(300))).await;
    let cell = common::cell(&[&target]).await;
    let head = "host: e\r\nauthorization: Bearer dojo-key\r\ncontent-length: 1\r\n";
    let repeatable = raw(&cell, format!("POST {PATH} HTTP/1.1\r\n{head}\r\nr").as_bytes()).await;
    let claimed = raw(
        &cell,
        format!("POST {PATH} HTTP/1.1\r\n{head}idempotency-key: id\r\n\r\nc").as_bytes(),
    )
    .await;
    common::eventually("both run", || target.runs() == 2).await;
    drop((repeatable, claimed));
    common::eventually("the response is stored", || {
        let claims = cell.control.claims.lock().expect("no test panics with the lock");
        claims.values().any(Option::is_some)
    })
    .await;
    let again = caller::request(cell.server.address(), "lineage", common::KEY, Some("id"), "c").await;
    assert_eq!(again.expect("answers").text(), "c");
    assert_eq!(target.runs_of(b"c"), 1);
    common::eventually("one connection remains", || target.connections().0 == 1).await;
}

/// Guards against a caller that does not read its response and so holds a slot of a target indefinitely.
#[tokio::test]
async fn caller_that_does_not_read_is_disconnected() {
    let target = target(Behaviour::LongBody(64 << 20)).await;
    let cell = common::cell_with(&[&target], short_timeouts(), common::view()).await;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer dojo-key\r\ncontent-length: 0\r\n\r\n"
    );
    let _stream = raw(&cell, head.as_bytes()).await;
    common::eventually("the request runs", || target.runs() == 1).await;
    common::eventually("the caller's connection is closed", || {
        cell.server.connections() == 0
    })
    .await;
    common::eventually("the target's connection is closed", || {
        target.connections().0 == 0
    })
    .await;
    assert_eq!(cell.server.in_flight(), 0);
}

/// Guards against requests that are accepted with a withdrawn key or a stale view, and against open queues that need a
/// fresh view.
#[tokio::test]
async fn keys_need_a_fresh_view() {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let mut view = common::view();
    view.keys.clear();
    cell.view.send_replace(Arc::new(view));
    let address = cell.server.address();
    let withdrawn = caller::request(address, "lineage", common::KEY, None, "x")
        .await
        .expect("answers");
    assert_eq!(withdrawn.status, StatusCode::UNAUTHORIZED);
    assert!(
        !withdrawn.text().contains(common::KEY),
        "a response never contains a key"
    );
    let stale = common::stale(&[&target]).await;
    let address = stale.server.address();
    let refused = caller::request(address, "lineage", common::KEY, None, "x")
        .await
        .expect("answers");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["error"]["run"], "not run");
    let open = caller::send(address, Method::POST, "/v2/queues/diplomas/requests", &[], "x").await;
    assert_eq!(open.expect("answers").status, StatusCode::OK);
}

/// Guards against requests that start with a key that was withdrawn while they were queued.
#[tokio::test]
async fn withdrawn_key_stops_queued_requests() {
    let target = target(Behaviour::Echo(Duration::from_millis(500))).await;
    let cell = common::cell(&[&target]).await;
    let address = cell.server.address();
    let send = |body: &'static str| caller::request(address, "lineage", common::KEY, None, body);
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..9 {
        running.spawn(send("early"));
    }
    common::eventually("every slot is in use", || target.in_flight() == 9).await;
    let late = tokio::spawn(send("late"));
    common::eventually("the late request is queued", || cell.server.in_flight() == 10).await;
    let mut view = common::view();
    view.keys.clear();
    cell.view.send_replace(Arc::new(view));
    let late = late.await.expect("no panic").expect("answers");
    assert_eq!(late.status, StatusCode::UNAUTHORIZED, "{}", late.text());
    assert_eq!(late.json()["error"]["run"], "not run");
    while let Some(early) = running.join_next().await {
        assert_eq!(early.expect("no panic").expect("answers").status, StatusCode::OK);
    }
    assert_eq!(target.runs_of(b"late"), 0);
}

/// Guards against error responses that do not name the field, the value and what is allowed.
#[yare::parameterized(
    path = { Method::GET, "/v3/x", &[], "", 404, "path", "/v3/x" },
    method = { Method::GET, PATH, &[], "", 405, "method", "POST" },
    no_key = { Method::POST, PATH, &[], "", 401, "authorization", "Bearer KEY" },
    bad_key = { Method::POST, PATH, &[("authorization", "Basic x")], "", 401, "authorization", "Bearer KEY" },
    service = { Method::POST, "/v2/services/judo/requests", &[AUTH], "", 404, "service", "judo" },
    queue = { Method::POST, "/v2/queues/judo/requests", &[], "", 404, "queue", "judo" },
    queue_id = { Method::POST, "/v2/queues/diplomas/requests", &[("idempotency-key", "a")], "", 400, "idempotency-key", "without" },
    deadline = { Method::POST, PATH, &[AUTH, ("bronzespoke-deadline-ms", "-5")], "", 400, "bronzespoke-deadline-ms", "-5" },
    id = { Method::POST, PATH, &[AUTH, ("idempotency-key", "a b")], "", 400, "idempotency-key", "a b" },
    job_id = { Method::GET, "/v2/jobs/belt", &[AUTH], "", 400, "job", "belt" },
    job_json = { Method::POST, "/v2/jobs", &[AUTH], "{", 400, "body", "EOF" },
    job_type = { Method::POST, "/v2/jobs", &[AUTH], r#"{"kind":"batch","tasks":-1,"size":{}}"#, 400, "tasks", "-1" },
    job_field = { Method::POST, "/v2/jobs", &[AUTH], r#"{"colour":1}"#, 400, "colour", "expected one of" },
    job_tasks = { Method::POST, "/v2/jobs", &[AUTH], r#"{"kind":"batch","tasks":10001,"size":{"cpu_milli":1}}"#, 400, "tasks", "1 to 10000" },
    job_size = { Method::POST, "/v2/jobs", &[AUTH], r#"{"kind":"batch","tasks":1,"size":{}}"#, 400, "size", "above 0" },
    target_id = { Method::PUT, "/v2/targets/6", &[], r#"{"target":5,"incarnation":1,"service":"lineage","address":"127.0.0.1:9","slots":8,"connections":64}"#, 400, "target", "`5` differs from `6`" },
    slots = { Method::PUT, "/v2/targets/5", &[], r#"{"target":5,"incarnation":1,"service":"lineage","address":"127.0.0.1:9","slots":0,"connections":64}"#, 400, "slots", "1 and more" },
    depart = { Method::DELETE, "/v2/targets/5", &[], "", 400, "incarnation", "incarnation=NUMBER" },
    old_cpu = { Method::POST, "/v1/job", &[], r#"{"key":"dojo-key","command":"x","cpu":-1}"#, 400, "cpu", "-1" },
    old_wait = { Method::POST, "/v1/request", &[], r#"{"key":"dojo-key","service":"lineage","timeout":0,"body":""}"#, 400, "timeout", "above 0" },
)]
#[test_macro(tokio::test)]
async fn invalid_request(
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
    status: u16,
    field: &str,
    expected: &str,
) {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let answer = caller::send(cell.server.address(), method, path, headers, body)
        .await
        .expect("answers");
    let error = &answer.json()["error"];
    assert_eq!(
        (answer.status.as_u16(), error["field"].as_str()),
        (status, Some(field)),
        "{error}"
    );
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|message| message.contains(expected)),
        "{error}"
    );
    assert_eq!(error["run"], "not run");
    assert_eq!(target.runs(), 0);
}

/// Guards against headers beyond the limit that are accepted or forwarded.
#[tokio::test]
async fn large_headers_are_rejected() {
    let target = target(ECHO).await;
    let cell = common::cell(&[&target]).await;
    let long = "x".repeat(20_000);
    let answer = caller::send(
        cell.server.address(),
        Method::POST,
        PATH,
        &[AUTH, ("x-long", &long)],
        "",
    )
    .await;
    assert_eq!(
        answer.expect("answers").status,
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    );
}

/// Guards against bodies that together exceed the memory limit, and against a version-1 API that cannot be switched
/// off.
#[tokio::test]
async fn settings_bound_memory_and_version_one() {
    let target = target(ECHO).await;
    let settings = settings::Settings {
        body_memory_bytes: 1000,
        ..settings::Settings::default()
    };
    let mut view = common::view();
    view.config.version_one = false;
    let cell = common::cell_with(&[&target], settings, view).await;
    let address = cell.server.address();
    let large = caller::request(address, "lineage", common::KEY, None, vec![b'x'; 2000])
        .await
        .expect("answers");
    assert_eq!(large.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(large.json()["error"]["code"], "memory");
    let small = caller::request(address, "lineage", common::KEY, None, vec![b'x'; 900]).await;
    assert_eq!(small.expect("answers").status, StatusCode::OK);
    let body = r#"{"key":"dojo-key","service":"lineage","body":"belt"}"#;
    let old = caller::send(address, Method::POST, "/v1/request", &[], body)
        .await
        .expect("answers");
    assert_eq!(old.status, StatusCode::GONE);
    assert!(old.header("sunset").is_some());
}

/// Guards against clients whose large bodies stop just short of their end and keep small requests out for as long as a
/// body may take.
#[tokio::test]
async fn stalled_bodies_leave_memory_for_small_requests() {
    use tokio::io::AsyncWriteExt;
    const STALLED: usize = 40;
    const BODY_BYTES: usize = 64 * 1024;
    let target = target(ECHO).await;
    let settings = settings::Settings {
        body_memory_bytes: 1 << 20,
        stall_timeout: Duration::from_mins(10),
        body_timeout: Duration::from_mins(10),
        ..settings::Settings::default()
    };
    let cell = common::cell_with(&[&target], settings, common::view()).await;
    let address = cell.server.address();
    let mut stalled = Vec::new();
    for _ in 0..STALLED {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connects");
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: a\r\n{}: {}\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
            AUTH.0, AUTH.1
        );
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        // The gateway may refuse the request before its body has arrived.
        drop(stream.write_all(&vec![b'x'; BODY_BYTES - 1]).await);
        stalled.push(stream);
    }
    let mut refused = 0;
    for _ in 0..100 {
        let large = caller::request(address, "lineage", common::KEY, None, vec![b'x'; BODY_BYTES]).await;
        if large
            .ok()
            .is_none_or(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
        {
            refused += 1;
            break;
        }
    }
    assert_eq!(refused, 1, "the stalled bodies do not use up the memory");
    let small = caller::request(address, "lineage", common::KEY, None, vec![b'x'; 900]).await;
    assert_eq!(small.expect("answers").status, StatusCode::OK);
}

/// Guards against callers who are kept out by connections without a request.
#[tokio::test]
async fn idle_connections_give_way_to_new_ones() {
    const PLACES: usize = 10;
    let target = target(ECHO).await;
    let settings = settings::Settings {
        max_connections: PLACES,
        header_timeout: Duration::from_mins(10),
        ..settings::Settings::default()
    };
    let cell = common::cell_with(&[&target], settings, common::view()).await;
    let address = cell.server.address();
    let mut idle = Vec::new();
    for number in 0..2 * PLACES {
        let start: &[u8] = if number % 2 == 0 { b"" } else { b"POST /v2/ser" };
        idle.push(raw(&cell, start).await);
    }
    let answer = caller::request(address, "lineage", common::KEY, None, "x");
    let answer = tokio::time::timeout(Duration::from_mins(1), answer).await;
    assert_eq!(
        answer.expect("a slot is free").expect("answers").status,
        StatusCode::OK
    );
}

/// Guards against a request that is cut because its connection gives way to another one.
#[tokio::test]
async fn requests_in_flight_do_not_give_way() {
    let target = target(Behaviour::Echo(Duration::from_millis(500))).await;
    let settings = settings::Settings {
        max_connections: 2,
        ..settings::Settings::default()
    };
    let cell = common::cell_with(&[&target], settings, common::view()).await;
    let address = cell.server.address();
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..6 {
        running.spawn(caller::request(address, "lineage", common::KEY, None, "x"));
    }
    while let Some(answer) = running.join_next().await {
        let answer = answer.expect("no panic").expect("answers");
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(target.runs(), 6);
}
