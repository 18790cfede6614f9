//! Start, reload and shutdown of the process.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime},
};

use bronzespoke_clock as clock;
use bronzespoke_workload::{adapter, settings};
use ractor::Actor;
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    fleet::{
        Message,
        controller::{Control, Start},
        http, inbox,
        intake::{self, ledger::Class},
        metric as fleet_metric, sender,
    },
    metric, peer,
};

/// Interval of the upkeep of histograms.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the settings file is checked for changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which callers still arrive after readiness was turned off: the balancer misses two probes, which are a
/// second apart.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the end of the process.
const END_RESERVE: Duration = Duration::from_millis(700);
/// Pause between the transfer of leadership and the end of a daemon without callers.
const TRANSFER_WAIT: Duration = Duration::from_millis(700);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Reason for which a daemon did not start or ended.
#[derive(Debug)]
pub enum Error {
    /// The settings file cannot be read.
    File(String, io::Error),
    /// The settings are invalid; one sentence for each error.
    Settings(Vec<String>),
    /// An address cannot be bound.
    Address(std::net::SocketAddr, io::Error),
    /// Threads, signals or the data folder cannot be used.
    System(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{path} cannot be read: {error}"),
            Self::Settings(errors) => f.write_str(&errors.join("\n")),
            Self::Address(address, error) => write!(f, "{address} cannot be used: {error}"),
            Self::System(reason) => f.write_str(reason),
        }
    }
}

/// Reads and validates a settings file.
pub fn read(path: &Path, adapter: &dyn adapter::Adapter) -> Result<settings::Settings, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::File(path.display().to_string(), error))?;
    adapter.settings(&text).map_err(Error::Settings)
}

/// Runs a daemon until SIGTERM or SIGINT.
///
/// `listen` is the address for frames if it differs from the one that other daemons use, for example behind a proxy.
/// `past_use` is the half-life of the teams' past use, if it is counted.
pub fn run(
    path: &Path,
    adapter: Arc<dyn adapter::Adapter>,
    listen: Option<SocketAddr>,
    past_use: Option<Duration>,
) -> Result<(), Error> {
    let traffic = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::System(format!("threads cannot be started: {error}")))?;
    traffic.block_on(async {
        let signals = Signals::install()?;
        let settings = read(path, adapter.as_ref())?;
        crate::logging::start_structured(&settings.name);
        log::info!(
            "event=start zone={} peer={} entry={:?} control={:?} seeds={:?} durable={} found={}",
            settings.zone,
            settings.peer,
            settings.entry,
            settings.control,
            settings.seeds,
            settings.data.is_some(),
            settings.found
        );
        serve(path, adapter, settings, listen, past_use, signals).await
    })
}

async fn serve(
    path: &Path,
    adapter: Arc<dyn adapter::Adapter>,
    settings: settings::Settings,
    listen: Option<SocketAddr>,
    past_use: Option<Duration>,
    signals: Signals,
) -> Result<(), Error> {
    let cancel = CancellationToken::new();
    let handle = runtime::Handle::current();
    let listener = bind(listen.unwrap_or(settings.peer))?;
    let switch = peer::fault::Switch::default();
    let limits = peer::links::Limits {
        links: settings.intake.links,
        held_bytes: settings.intake.frame_bytes,
    };
    let (network, mut frames) =
        peer::Network::start_within(handle.clone(), listener, switch, limits, cancel.clone());
    let traffic = network.clone();
    let origin = clock::Origin::now();
    let inbox = inbox::Inbox::new(origin);
    let (ready_sender, ready) = watch::channel(false);
    let start = Start {
        settings: settings.clone(),
        past_use,
        network,
        sender: sender::Sender::new(handle, Arc::clone(&adapter), settings.advice, inbox.clone()),
        ready: ready_sender,
        origin,
        inbox: inbox.clone(),
    };
    let (started, start_result) = tokio::sync::oneshot::channel();
    let (ended, control_ended) = tokio::sync::oneshot::channel();
    let thread = thread::Builder::new()
        .name(String::from("control"))
        .spawn(move || {
            control_thread(start, started);
            // The receiver is gone if the process is ending.
            ended.send(()).unwrap_or_default();
        })
        .map_err(|error| Error::System(format!("the control thread cannot be started: {error}")))?;
    let actor = start_result
        .await
        .map_err(|_closed| Error::System(String::from("the control thread ended while starting")))?
        .map_err(Error::System)?;
    let receiver = inbox.clone();
    tokio::spawn(async move {
        while let Some(received) = frames.recv().await {
            // The sender of a dropped frame sends again what is still needed.
            if let Err(dropped) = receiver.send(inbox::Traffic::Frame(Box::new(received.frame))) {
                fleet_metric::dropped(dropped.lane());
            }
        }
    });
    let context = http::Context {
        control: inbox,
        adapter: Arc::clone(&adapter),
        ready,
        closing: CancellationToken::new(),
        tracker: TaskTracker::new(),
        intake: intake::Intake::new(settings.intake.clone()),
        metrics: metric::render(traffic),
    };
    tokio::spawn(Arc::clone(&context.intake).sweep(cancel.clone()));
    tokio::spawn(async {
        loop {
            time::sleep(METRICS_INTERVAL).await;
            metric::run_upkeep();
        }
    });
    let listeners = [
        (Class::Entry, settings.entry),
        (Class::Readiness, settings.readiness),
        (Class::Control, settings.control),
        (Class::Metrics, Some(settings.metrics)),
    ];
    for (class, address) in listeners {
        if let Some(address) = address {
            let listener = bind(address)?;
            tokio::spawn(http::serve(context.clone(), class, listener, cancel.clone()));
        }
    }
    tokio::select! {
        stopped = signals.wait(path, adapter.as_ref(), &actor) => stopped?,
        // Without its control thread the daemon would refuse every call and still be taken for a working one. It ends,
        // and is started again with the state that it has stored.
        _ = control_ended => {
            log::error!("event=control_thread_ended");
            crate::logging::flush();
            return Err(Error::System(String::from("the control thread ended")));
        }
    }
    shut_down(&settings, &context, &actor, &cancel).await;
    actor.stop(None);
    if thread.join().is_err() {
        return Err(Error::System(String::from("the control thread panicked")));
    }
    log::info!("event=stop");
    crate::logging::flush();
    Ok(())
}

type Started = tokio::sync::oneshot::Sender<Result<ractor::ActorRef<Message>, String>>;

fn control_thread(start: Start, started: Started) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            drop(started.send(Err(format!("the control thread cannot run: {error}"))));
            return;
        }
    };
    runtime.block_on(async move {
        match Control::spawn(None, Control, start).await {
            Ok((actor, ended)) => {
                drop(started.send(Ok(actor)));
                drop(ended.await);
            }
            Err(error) => drop(started.send(Err(error.to_string()))),
        }
    });
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    let failed = |error| Error::Address(address, error);
    let socket = tokio::net::TcpSocket::new_v4().map_err(failed)?;
    // A restarted daemon binds its address while old connections are still closing.
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

/// Signals that the daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers. Before that SIGHUP ends the process, so they are installed first: a SIGHUP half a
    /// second after the start once ended a daemon.
    fn install() -> Result<Self, Error> {
        let failed = |error: io::Error| Error::System(format!("signals cannot be received: {error}"));
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
            hangup: signal(SignalKind::hangup()).map_err(failed)?,
        })
    }

    /// Returns at SIGTERM or SIGINT; reloads the settings at SIGHUP and whenever their file changes.
    async fn wait(
        mut self,
        path: &Path,
        adapter: &dyn adapter::Adapter,
        actor: &ractor::ActorRef<Message>,
    ) -> Result<(), Error> {
        let mut changed = modified(path);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return Ok(()),
                _ = self.interrupt.recv() => return Ok(()),
                _ = self.hangup.recv() => {}
                () = time::sleep(SETTINGS_INTERVAL) => {
                    let newest = modified(path);
                    if newest == changed {
                        continue;
                    }
                    changed = newest;
                }
            }
            match read(path, adapter) {
                Ok(settings) => {
                    if actor.send_message(Message::Settings(Box::new(settings))).is_err() {
                        return Err(Error::System(String::from("the control thread has ended")));
                    }
                }
                Err(error) => log::error!("event=reload_refused reason=\"{error}\""),
            }
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Turns readiness off, lets callers finish and transfers leadership.
async fn shut_down(
    settings: &settings::Settings,
    context: &http::Context,
    actor: &ractor::ActorRef<Message>,
    cancel: &CancellationToken,
) {
    log::info!("event=draining connections={}", context.tracker.len());
    if actor.send_message(Message::TransferLeadership).is_err() {
        return;
    }
    let begun = Instant::now();
    let grace = settings.bounds.grace.saturating_sub(END_RESERVE);
    if settings.entry.is_some() {
        time::sleep(DRAIN_NOTICE.min(grace)).await;
    } else {
        time::sleep(TRANSFER_WAIT).await;
    }
    context.closing.cancel();
    context.tracker.close();
    let remaining = grace.saturating_sub(begun.elapsed());
    if time::timeout(remaining, context.tracker.wait()).await.is_err() {
        log::warn!("event=drain_incomplete connections={}", context.tracker.len());
    }
    cancel.cancel();
}
