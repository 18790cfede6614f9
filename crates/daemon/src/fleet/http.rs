//! Servers for callers, the balancer, operators, workers and metrics.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzespoke_workload::{adapter, call};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot, watch},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::fleet::{Message, inbox, metric};

/// Largest request body; the largest ones are configurations with many routes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time for the headers of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of callers that do not give one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// A reply has to reach the caller before its deadline: one way to a client takes up to 3 ms, and both ends are busy.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
/// How long operators and workers wait before they try another daemon.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(900);
/// Open connections of one listener; further ones wait in the backlog.
const MAX_CONNECTIONS: usize = 3_000;
/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Who uses a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Callers that submit and inspect jobs.
    Entry,
    /// The balancer, which probes readiness.
    Readiness,
    /// Operators and workers.
    Control,
    /// Collectors of metrics.
    Metrics,
}

/// State that all listeners share.
#[derive(Clone)]
pub struct Context {
    /// The control thread, which serves the calls.
    pub control: inbox::Inbox,
    /// Decoder and encoder of the platform's interface.
    pub adapter: Arc<dyn adapter::Adapter>,
    /// Whether the balancer may send callers here.
    pub ready: watch::Receiver<bool>,
    /// Cancelled when connections have to be closed after their current request.
    pub closing: CancellationToken,
    /// Tracks the open connections.
    pub tracker: TaskTracker,
    /// Renders the metrics as text.
    pub metrics: bronzespoke_gateway::server::MetricsRenderer,
}

/// Accepts connections until `stop` is cancelled.
pub async fn serve(context: Context, kind: Kind, listener: TcpListener, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let context = context.clone();
                context.tracker.clone().spawn(async move {
                    connection(context, kind, stream, address).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("belief=accept_failed reason=\"{error}\"");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(context: Context, kind: Kind, stream: TcpStream, address: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("decision=drop_connection peer={address} reason=\"{error}\"");
        return;
    }
    let closing = context.closing.clone();
    let handler = service::service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(handle(&context, kind, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = ended {
        log::debug!("decision=close_connection peer={address} reason=\"{error}\"");
    }
}

async fn handle(context: &Context, kind: Kind, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let begun = Instant::now();
    let response = match kind {
        Kind::Metrics => metrics(context),
        Kind::Readiness => readiness(context, &request.into_parts().0),
        Kind::Entry | Kind::Control => {
            let response = handle_call(context, kind, request).await;
            let listener = if kind == Kind::Entry { "entry" } else { "control" };
            metric::call(listener, response.status(), begun.elapsed());
            response
        }
    };
    let (mut head, body) = response.into_parts();
    if context.closing.is_cancelled() {
        head.headers
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Response::from_parts(head, Full::new(body))
}

fn metrics(context: &Context) -> Response<Bytes> {
    Response::new(Bytes::from((context.metrics)()))
}

fn readiness(context: &Context, head: &request::Parts) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = match (context.adapter.is_probe(head), *context.ready.borrow()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}

async fn handle_call(context: &Context, kind: Kind, request: Request<Incoming>) -> Response<Bytes> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let Ok(Ok(body)) = time::timeout(BODY_TIMEOUT, body).await else {
        let reason = format!("the body did not arrive whole, or is over {MAX_BODY_BYTES} bytes");
        return context.adapter.error(&adapter::Error::Content(reason));
    };
    let body = body.to_bytes();
    let decoded = match kind {
        Kind::Entry => context.adapter.caller(&head, &body).map(call::Call::Job),
        _ => context.adapter.control(&head, &body),
    };
    let call = match decoded {
        Ok(call) => call,
        Err(error) => {
            log::info!("decision=refuse path={} reason=\"{error:?}\"", head.uri.path());
            return context.adapter.error(&error);
        }
    };
    let timeout = match kind {
        Kind::Entry => {
            let timeout = context.adapter.timeout(&head).unwrap_or(DEFAULT_TIMEOUT);
            timeout.saturating_sub(REPLY_MARGIN)
        }
        _ => CONTROL_TIMEOUT,
    };
    let (responder, reply) = oneshot::channel();
    let message = Message::Call {
        call,
        timeout,
        responder,
    };
    if context
        .control
        .send(inbox::Traffic::Message(Box::new(message)))
        .is_err()
    {
        return context.adapter.reply(&crate::fleet::calls::no_leader());
    }
    let reply = match time::timeout(timeout + REPLY_MARGIN / 2, reply).await {
        Ok(Ok(reply)) => reply,
        // The call may have been executed.
        Ok(Err(_)) | Err(_) => call::Reply::Unknown,
    };
    context.adapter.reply(&reply)
}
