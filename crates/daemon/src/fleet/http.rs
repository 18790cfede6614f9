//! Servers for callers, the balancer, operators, workers and metrics.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzespoke_workload::{adapter, call, settings, worker};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header, request};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service,
};
use hyper_util::rt::TokioTimer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::fleet::{
    Message, inbox,
    intake::{
        self, Intake, Ticket,
        ledger::{self, Class, Phase, Reason},
    },
    metric,
};

/// Declared size of a body from which on the key is checked before the body is received. Ordinary jobs are smaller and
/// need no second exchange with the leader.
const KEY_CHECK_BYTES: u64 = 16 * 1024;
/// Timeout of callers that do not give one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// A reply has to reach the caller before its deadline: one way to a client takes up to 3 ms, and both ends are busy.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
/// How long operators and workers wait before they try another daemon.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(900);
/// Connections of the load balancer's probes.
const READINESS_CONNECTIONS: usize = 64;
/// Connections of collectors of metrics.
const METRICS_CONNECTIONS: usize = 16;
/// Interval at which a place for an accepted connection is looked for while all are taken.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the number of connections that a listener may have open.
const fn places(class: Class, limits: &settings::Intake) -> usize {
    match class {
        Class::Entry | Class::Control => limits.connections,
        Class::Readiness => READINESS_CONNECTIONS,
        Class::Metrics => METRICS_CONNECTIONS,
    }
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
    /// What clients may hold.
    pub intake: Arc<Intake>,
    /// Renders the metrics as text.
    pub metrics: bronzespoke_gateway::server::MetricsRenderer,
}

/// Accepts connections until `stop` is cancelled.
pub async fn serve(context: Context, class: Class, listener: TcpListener, stop: CancellationToken) {
    let places = Arc::new(Semaphore::new(places(class, context.intake.limits())));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let permit = tokio::select! {
                    () = stop.cancelled() => return,
                    permit = place(&context, class, &places) => permit,
                };
                let context = context.clone();
                context.tracker.clone().spawn(async move {
                    connection(context, class, stream, address).await;
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

/// Returns a place for a connection. While all are taken, connections without progress are closed; further clients wait
/// in the backlog.
async fn place(context: &Context, class: Class, places: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    loop {
        match Arc::clone(places).try_acquire_owned() {
            Ok(permit) => return Some(permit),
            Err(_taken) => context.intake.displace(class),
        }
        let acquired = time::timeout(PLACE_INTERVAL, Arc::clone(places).acquire_owned()).await;
        if let Ok(permit) = acquired {
            return permit.ok();
        }
    }
}

async fn connection(context: Context, class: Class, stream: TcpStream, address: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("decision=drop_connection peer={address} reason=\"{error}\"");
        return;
    }
    let closing = context.closing.clone();
    let adapter = Arc::clone(&context.adapter);
    let ticket = Arc::new(context.intake.open(class));
    let stream = Arc::new(stream);
    // The buffers of hyper are made when the first bytes have arrived: idle connections are cheap.
    tokio::select! {
        readable = stream.readable() => if readable.is_err() {
            return;
        },
        _ = ticket.closed() => return,
        () = closing.cancelled() => {}
    }
    let served = Arc::clone(&ticket);
    let handler = service::service_fn(move |request| {
        let context = context.clone();
        let ticket = Arc::clone(&served);
        async move { Ok::<_, Infallible>(handle(&context, class, request, &ticket).await) }
    });
    let limits = ticket.limits();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(
            intake::Stream::new(Arc::clone(&stream), Arc::clone(&ticket)),
            handler,
        );
    let mut connection = Box::pin(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => Ok(ended),
        decided = ticket.closed() => Err(decided),
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                ended = connection.as_mut() => Ok(ended),
                decided = ticket.closed() => Err(decided),
            }
        }
    };
    drop(connection);
    match ended {
        // The request has not been handed to the control thread, so a refusal is true.
        Err((reason, Some(Phase::Head))) => {
            intake::refuse(&stream, &adapter.error(&intake::error(reason, ticket.limits())));
            intake::linger(&stream).await;
        }
        Err((reason, _)) => {
            log::debug!(
                "decision=close_connection peer={address} reason={}",
                reason.name()
            );
        }
        Ok(Err(error)) => {
            if error.is_parse_too_large() {
                ticket.count(Reason::HeadTooLarge);
                intake::linger(&stream).await;
            }
            log::debug!("decision=close_connection peer={address} reason=\"{error}\"");
        }
        Ok(Ok(())) if ticket.is_refused() => intake::linger(&stream).await,
        Ok(Ok(())) => {}
    }
}

async fn handle(
    context: &Context,
    class: Class,
    request: Request<Incoming>,
    ticket: &Ticket,
) -> Response<Full<Bytes>> {
    let begun = Instant::now();
    let response = match class {
        Class::Metrics => metrics(context),
        Class::Readiness => readiness(context, &request.into_parts().0),
        Class::Entry | Class::Control => {
            let response = handle_call(context, class, request, ticket).await;
            metric::call(class.name(), response.status(), begun.elapsed());
            response
        }
    };
    let (mut head, body) = response.into_parts();
    ticket.begin(Phase::Response);
    ticket.set(ledger::ACTIVE_BYTES as usize + body.len());
    if context.closing.is_cancelled() || ticket.is_refused() {
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

/// Returns the bytes of a head.
fn head_bytes(head: &request::Parts) -> usize {
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter();
    path + fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>()
}

/// Returns the reply to a caller whose key or queue is not known, before its body is received.
async fn check_key(context: &Context, head: &request::Parts) -> Option<call::Reply> {
    let mut head = head.clone();
    head.method = Method::GET;
    let call = context.adapter.caller(&head, &Bytes::new()).ok()?;
    let reply = exchange(
        context,
        call::Call::Job(call),
        timeout(context, Class::Entry, &head),
    )
    .await;
    matches!(reply, call::Reply::BadKey | call::Reply::NoQueue).then_some(reply)
}

async fn receive(
    context: &Context,
    class: Class,
    head: &request::Parts,
    body: Incoming,
    ticket: &Ticket,
) -> Result<Bytes, Response<Bytes>> {
    let limits = ticket.limits();
    let limit = match class {
        Class::Entry => limits.job_bytes,
        _ => limits.control_limit(head.uri.path()),
    };
    let besides = ledger::ACTIVE_BYTES as usize + head_bytes(head);
    ticket.begin(Phase::Body);
    let declared = body.size_hint().exact().unwrap_or(0);
    if class == Class::Entry
        && (KEY_CHECK_BYTES..=limit as u64).contains(&declared)
        && let Some(reply) = check_key(context, head).await
    {
        ticket.refuse();
        return Err(context.adapter.reply(&reply));
    }
    intake::body::receive(ticket, body, besides, limit)
        .await
        .map_err(|error| match error {
            intake::body::Error::Refused(reason) => {
                ticket.count(reason);
                ticket.refuse();
                context.adapter.error(&intake::error(reason, limits))
            }
            intake::body::Error::Malformed => {
                let reason = String::from("the body did not arrive whole");
                context.adapter.error(&adapter::Error::Content(reason))
            }
        })
}

async fn handle_call(
    context: &Context,
    class: Class,
    request: Request<Incoming>,
    ticket: &Ticket,
) -> Response<Bytes> {
    let (head, body) = request.into_parts();
    let body = match receive(context, class, &head, body, ticket).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    // From here on the request may be executed, and is not refused any more.
    ticket.begin(Phase::Serving);
    let decoded = match class {
        Class::Entry => context.adapter.caller(&head, &body).map(call::Call::Job),
        _ => context.adapter.control(&head, &body),
    };
    let call = match decoded {
        Ok(call) => call,
        Err(error) => {
            log::info!("decision=refuse path={} reason=\"{error:?}\"", head.uri.path());
            return context.adapter.error(&error);
        }
    };
    drop(body);
    let described = match &call {
        call::Call::Announce(announcement) => description_bytes(&announcement.worker),
        _ => 0,
    };
    let limit = ticket.limits().worker_bytes;
    if described > limit {
        log::info!(
            "decision=refuse path={} reason=worker_bytes bytes={described}",
            head.uri.path()
        );
        return context.adapter.error(&adapter::Error::TooLarge(format!(
            "the description of the worker has {described} bytes; {limit} are allowed"
        )));
    }
    let timeout = timeout(context, class, &head);
    context.adapter.reply(&exchange(context, call, timeout).await)
}

/// Returns the bytes that the description of a worker takes at the leader, besides numbers.
fn description_bytes(worker: &worker::Worker) -> usize {
    let named = [&worker.pool, &worker.zone, &worker.kind, &worker.rack];
    let texts = named.into_iter().chain(&worker.labels).chain(&worker.machine);
    texts.map(|text| text.len() + size_of::<String>()).sum()
}

/// Returns how long the reply to a call may take.
fn timeout(context: &Context, class: Class, head: &request::Parts) -> Duration {
    match class {
        Class::Entry => {
            let timeout = context.adapter.timeout(head).unwrap_or(DEFAULT_TIMEOUT);
            timeout.saturating_sub(REPLY_MARGIN)
        }
        _ => CONTROL_TIMEOUT,
    }
}

/// Has the control thread serve a call.
async fn exchange(context: &Context, call: call::Call, timeout: Duration) -> call::Reply {
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
        return crate::fleet::calls::no_leader();
    }
    match time::timeout(timeout + REPLY_MARGIN / 2, reply).await {
        Ok(Ok(reply)) => reply,
        // The call may have been executed.
        Ok(Err(_)) | Err(_) => call::Reply::Unknown,
    }
}
