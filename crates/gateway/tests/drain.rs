//! Graceful shutdown under load.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bronzespoke_gateway::settings;
use bronzespoke_standin::{
    caller,
    target::{Behaviour, Target},
};
use http::{Method, StatusCode};

const PATH: &str = "/v2/services/lineage/requests";

/// Sends requests like a caller behind a load balancer: replaces a connection after `Connection: close`, and ends when
/// a connection is refused, that is, when the server has stopped. Returns the number of responses.
async fn load(address: std::net::SocketAddr, sent: Arc<AtomicU32>) -> Result<u32, caller::Error> {
    let headers = [("authorization", "Bearer dojo-key")];
    let mut answered = 0;
    while let Ok(mut caller) = caller::Caller::connect(address).await {
        loop {
            sent.fetch_add(1, Ordering::Relaxed);
            let answer = caller.send(Method::POST, PATH, &headers, "belt").await?;
            assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "belt"));
            answered += 1;
            if answer.header("connection") == Some("close") {
                break;
            }
        }
    }
    Ok(answered)
}

/// Guards against requests that are truncated or lost between the change of readiness and the last response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_completes_every_request() {
    let target = Target::start(64, Behaviour::Echo(Duration::from_millis(5)))
        .await
        .expect("the target starts");
    let settings = settings::Settings {
        drain_notice: Duration::from_millis(500),
        ..settings::Settings::default()
    };
    let cell = common::cell_with(&[&target], settings, common::view()).await;
    let address = cell.server.address();
    let sent = Arc::new(AtomicU32::new(0));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..20 {
        callers.spawn(load(address, Arc::clone(&sent)));
    }
    common::eventually("the callers send load", || target.runs() > 200).await;
    assert!(cell.server.is_ready());
    cell.server.drain().await;
    assert!(!cell.server.is_ready());
    assert_eq!((cell.server.in_flight(), cell.server.connections()), (0, 0));
    let mut answered = 0;
    while let Some(result) = callers.join_next().await {
        answered += result.expect("no panic").expect("every request gets a response");
    }
    assert_eq!(answered, sent.load(Ordering::Relaxed));
}
