//! Accepts the connections of operators, and closes those that [`places`] decides on.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jsonrpsee::server;
use tokio::{
    net::TcpListener,
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::rpc::{
    connection,
    places::{Id, Phase, Places},
};

/// Interval at which limits of time are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Sweeps between two log lines about closed connections.
const SWEEPS_PER_LINE: u32 = 20;
/// Pause after a failed accept, which would otherwise spin while descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for a client to read before its connection may be closed for the memory of its response.
const READ_TIME: Duration = Duration::from_millis(100);

/// State of the listener, shared by its connections.
#[derive(Debug)]
pub struct Listener {
    pub methods: server::Methods,
    pub stopped: server::StopHandle,
    origin: Instant,
    state: Mutex<State>,
    /// Wakes the accepting task when a place is free.
    freed: Notify,
    /// Permits for the bytes of responses, computed and unread.
    responses: Arc<Semaphore>,
}

#[derive(Debug)]
struct State {
    places: Places,
    tokens: HashMap<Id, CancellationToken>,
    /// Connections closed since the last log line.
    closed: u64,
}

impl Listener {
    /// Returns a listener without connections.
    pub fn new(
        methods: server::Methods,
        stopped: server::StopHandle,
        places: Places,
        response_bytes: u32,
    ) -> Arc<Self> {
        Arc::new(Self {
            methods,
            stopped,
            origin: Instant::now(),
            state: Mutex::new(State {
                places,
                tokens: HashMap::new(),
                closed: 0,
            }),
            freed: Notify::new(),
            responses: Arc::new(Semaphore::new(response_bytes as usize)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections until the server is stopped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut stopped = std::pin::pin!(self.stopped.clone().shutdown());
        loop {
            let accepted = tokio::select! {
                () = &mut stopped => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("rpc: accept failed: {error}");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let place = tokio::select! {
                () = &mut stopped => return,
                place = self.place() => place,
            };
            tokio::spawn(connection::serve(place, stream));
        }
    }

    /// Waits for a place, and has a stalled connection closed if all are taken.
    async fn place(self: &Arc<Self>) -> Arc<Place> {
        loop {
            if let Some(place) = self.try_place() {
                return place;
            }
            // While all connections are being served, the next check waits for one to become idle.
            let freed = time::timeout(READ_TIME, self.freed.notified());
            drop(freed.await);
        }
    }

    fn try_place(self: &Arc<Self>) -> Option<Arc<Place>> {
        let now = self.origin.elapsed();
        let mut state = self.lock();
        let Some(id) = state.places.open(now) else {
            let displaced = state.places.displaced();
            state.close(displaced);
            return None;
        };
        let token = CancellationToken::new();
        state.tokens.insert(id, token.clone());
        drop(state);
        let listener = Arc::clone(self);
        Some(Arc::new(Place {
            listener,
            id,
            token,
            response: Mutex::new(None),
        }))
    }

    /// Closes connections whose time is over until the server is stopped.
    pub async fn sweep(self: Arc<Self>) {
        let mut stopped = std::pin::pin!(self.stopped.clone().shutdown());
        let mut sweeps: u32 = 0;
        loop {
            tokio::select! {
                () = &mut stopped => return,
                () = time::sleep(SWEEP_INTERVAL) => {}
            }
            let now = self.origin.elapsed();
            let mut state = self.lock();
            for id in state.places.overdue(now) {
                state.close(Some(id));
            }
            sweeps = sweeps.wrapping_add(1);
            if sweeps.is_multiple_of(SWEEPS_PER_LINE) && state.closed > 0 {
                log::warn!(
                    "rpc: {} connections of clients that stalled were closed.",
                    state.closed
                );
                state.closed = 0;
            }
        }
    }

    /// Reserves memory for a response. Responses that are not being read give up theirs.
    pub async fn reserve(&self, bytes: u32) -> Option<OwnedSemaphorePermit> {
        // One future for all attempts keeps the turn of this request.
        let mut permit = std::pin::pin!(Arc::clone(&self.responses).acquire_many_owned(bytes));
        loop {
            match time::timeout(READ_TIME, permit.as_mut()).await {
                Ok(permit) => return permit.ok(),
                Err(_elapsed) => {
                    let mut state = self.lock();
                    let displaced = state.places.displaced_response();
                    state.close(displaced);
                }
            }
        }
    }
}

impl State {
    fn close(&mut self, id: Option<Id>) {
        let token = id.and_then(|id| self.tokens.get(&id));
        if let Some(token) = token.filter(|token| !token.is_cancelled()) {
            token.cancel();
            self.closed += 1;
            metrics::counter!("bronzespoke_rpc_closed_connections_total").increment(1);
        }
    }
}

/// Place of an open connection; free when dropped.
#[derive(Debug)]
pub struct Place {
    pub listener: Arc<Listener>,
    id: Id,
    token: CancellationToken,
    response: Mutex<Option<OwnedSemaphorePermit>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.listener.lock();
        state.places.close(self.id);
        state.tokens.remove(&self.id);
        drop(state);
        self.listener.freed.notify_one();
    }
}

impl Place {
    /// Resolves when the connection has to be closed.
    pub async fn closed(&self) {
        self.token.cancelled().await;
    }

    /// Begins a phase.
    fn begin(&self, phase: Phase) {
        let now = self.listener.origin.elapsed();
        self.listener.lock().places.begin(now, self.id, phase);
    }

    /// Begins the execution of a request; returns `false` if the connection is being closed for another one.
    pub fn execute(&self) -> bool {
        let now = self.listener.origin.elapsed();
        let mut state = self.listener.lock();
        if self.token.is_cancelled() {
            return false;
        }
        state.places.begin(now, self.id, Phase::Serving);
        true
    }

    /// Records bytes from the client.
    pub fn received(&self) {
        let now = self.listener.origin.elapsed();
        let mut state = self.listener.lock();
        match state.places.phase(self.id) {
            Some(Phase::Idle) => state.places.begin(now, self.id, Phase::Request),
            Some(Phase::Request) => state.places.advance(now, self.id),
            // A client that sends while it does not read makes no progress.
            Some(Phase::Serving | Phase::Response) | None => {}
        }
    }

    /// Records bytes that the client has read.
    pub fn sent(&self) {
        let now = self.listener.origin.elapsed();
        self.listener.lock().places.advance(now, self.id);
    }

    /// Begins the response; its memory is released when it has been sent.
    pub fn respond(&self, memory: OwnedSemaphorePermit) {
        *self.response.lock().unwrap_or_else(PoisonError::into_inner) = Some(memory);
        self.begin(Phase::Response);
    }

    /// Ends a response that has been sent.
    pub fn flushed(&self) {
        let now = self.listener.origin.elapsed();
        let mut state = self.listener.lock();
        if state.places.phase(self.id) == Some(Phase::Response) {
            state.places.begin(now, self.id, Phase::Idle);
            drop(state);
            *self.response.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }
}
