//! A stand-in target, which echoes the request body or fails in a way that a test selects.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bronzespoke_model::{id, target};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;

use crate::caller;

/// How a target handles requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds with the request body after this time.
    Echo(Duration),
    /// Responds with a body of this many bytes.
    LongBody(usize),
    /// Responds with this HTTP status.
    Status(u16),
    /// Responds that the request was not run.
    NotRun,
    /// Accepts connections but reads nothing. Applies to new connections.
    StallBeforeReading,
    /// Reads and runs the request, but never responds.
    StallAfterReading,
    /// Reads and runs the request, then closes the connection without a response.
    Close,
    /// Reads a request, runs it, writes these bytes and closes the connection. Applies to new connections.
    Raw(Bytes),
}

#[derive(Debug)]
struct State {
    behaviour: RwLock<Behaviour>,
    slots: Semaphore,
    runs: Mutex<HashMap<Bytes, u32>>,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    peak_connections: AtomicUsize,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    address: SocketAddr,
    state: Arc<State>,
    cancel: CancellationToken,
}

impl Target {
    /// Starts a target on a loopback port chosen by the system.
    pub async fn start(slots: u32, behaviour: Behaviour) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), slots, behaviour).await
    }

    /// Starts a target at a given address, such as that of a stopped target.
    pub async fn start_at(address: SocketAddr, slots: u32, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let state = Arc::new(State {
            behaviour: RwLock::new(behaviour),
            slots: Semaphore::new(slots as usize),
            runs: Mutex::new(HashMap::new()),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            peak_connections: AtomicUsize::new(0),
        });
        tokio::spawn(accept(listener, Arc::clone(&state), cancel.clone()));
        Ok(Self {
            address,
            state,
            cancel,
        })
    }

    /// Returns the address that the target listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour for subsequent requests and connections.
    pub fn set(&self, behaviour: Behaviour) {
        *self
            .state
            .behaviour
            .write()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Returns the number of runs of all requests on this target.
    pub fn runs(&self) -> u32 {
        let runs = self.state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().sum()
    }

    /// Returns the number of runs of requests with this body on this target.
    pub fn runs_of(&self, body: &[u8]) -> u32 {
        let runs = self.state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    /// Returns the number of requests in flight on this target.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.load(Ordering::Acquire)
    }

    /// Returns the current and the peak number of open connections.
    pub fn connections(&self) -> (usize, usize) {
        let now = self.state.connections.load(Ordering::Acquire);
        (now, self.state.peak_connections.load(Ordering::Acquire))
    }

    /// Closes the listener and all connections immediately, to simulate the loss of the VM.
    pub fn crash(&self) {
        self.cancel.cancel();
    }

    /// Returns an announcement of this target.
    pub fn announcement(&self, target: id::TargetId, service: &str, slots: u32) -> target::Announcement {
        target::Announcement {
            target,
            incarnation: 1,
            service: service.to_owned(),
            address: self.address,
            slots,
            connections: 64,
        }
    }

    /// Announces the target periodically to an entry VM until `cancel`, then announces its departure.
    pub async fn announce(
        announcement: target::Announcement,
        entry: SocketAddr,
        interval: Duration,
        cancel: CancellationToken,
    ) {
        let path = format!("/v2/targets/{}", announcement.target);
        let body = serde_json::to_vec(&announcement).expect("an announcement is plain data");
        loop {
            let sent = caller::send(entry, Method::PUT, &path, &[], body.clone()).await;
            if let Err(error) = sent {
                log::warn!("standin: announcement failed: {error}");
            }
            tokio::select! {
                () = cancel.cancelled() => break,
                () = tokio::time::sleep(interval) => {}
            }
        }
        let path = format!("{path}?incarnation={}", announcement.incarnation);
        if let Err(error) = caller::send(entry, Method::DELETE, &path, &[], "").await {
            log::warn!("standin: departure failed: {error}");
        }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Increments a counter and decrements it when dropped.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize, peak: Option<&AtomicUsize>) -> Self {
        let current = count.fetch_add(1, Ordering::AcqRel) + 1;
        if let Some(peak) = peak {
            peak.fetch_max(current, Ordering::AcqRel);
        }
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl State {
    fn behaviour(&self) -> Behaviour {
        self.behaviour
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn record(&self, body: Bytes) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(body).or_insert(0) += 1;
    }
}

async fn accept(listener: TcpListener, state: Arc<State>, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let state = Arc::clone(&state);
                let cancel = cancel.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = cancel.cancelled() => {}
                        () = serve(stream, state) => {}
                    }
                });
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    let _counted = Counted::new(&state.connections, Some(&state.peak_connections));
    if stream.set_nodelay(true).is_err() {
        return;
    }
    match state.behaviour() {
        Behaviour::StallBeforeReading => std::future::pending().await,
        Behaviour::Raw(bytes) => respond_raw(stream, &state, &bytes).await,
        _ => {
            let shared = Arc::clone(&state);
            let handler = service::service_fn(move |request| respond(request, Arc::clone(&shared)));
            // Some behaviours close the connection, so an error is expected.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), handler)
                    .await,
            );
        }
    }
}

/// Reads once from the connection, writes the bytes and closes the connection.
async fn respond_raw(mut stream: TcpStream, state: &State, bytes: &Bytes) {
    let mut buffer = vec![0; 64 * 1024];
    match stream.read(&mut buffer).await {
        Ok(length) if length > 0 => state.record(Bytes::copy_from_slice(&buffer[..length])),
        _ => return,
    }
    if stream.write_all(bytes).await.is_ok() {
        drop(stream.shutdown().await);
    }
}

async fn respond(request: Request<Incoming>, state: Arc<State>) -> io::Result<Response<Full<Bytes>>> {
    let _counted = Counted::new(&state.in_flight, None);
    let attempt = request.headers().get("bronzespoke-attempt").cloned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let behaviour = state.behaviour();
    if behaviour == Behaviour::NotRun {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
            .headers_mut()
            .insert("bronzespoke-run", HeaderValue::from_static("not run"));
        return Ok(response);
    }
    let _slot = state.slots.acquire().await.map_err(io::Error::other)?;
    state.record(body.clone());
    let mut response = Response::new(Full::new(body));
    match behaviour {
        // A sleep of zero duration would still wait for the next tick of the timer.
        Behaviour::Echo(time) if time.is_zero() => {}
        Behaviour::Echo(time) => tokio::time::sleep(time).await,
        Behaviour::LongBody(length) => *response.body_mut() = Full::new(Bytes::from(vec![b'x'; length])),
        Behaviour::Status(status) => {
            *response.status_mut() = StatusCode::from_u16(status).map_err(io::Error::other)?;
        }
        Behaviour::Close => return Err(io::Error::other("the target closes")),
        _ => std::future::pending().await,
    }
    // The reported load excludes this request.
    let load = state.in_flight.load(Ordering::Acquire).saturating_sub(1);
    let headers = response.headers_mut();
    headers.insert("bronzespoke-load", HeaderValue::from(load));
    if let Some(attempt) = attempt {
        headers.insert("bronzespoke-attempt", attempt);
    }
    Ok(response)
}
