//! Set-up of the log.
//!
//! Lines are written to standard error with the wall-clock time, the level, the name of the VM and a prefix that names
//! the component.
//!
//! A daemon of a fleet writes structured lines to standard output instead: `time level vm key=value …`. Lines pass
//! through a bounded queue to a writer thread and are dropped when the queue is full, so that a slow reader never
//! blocks a scheduling decision; the next line that is written gives the number of dropped lines.

use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, SystemTime},
};

/// Starts logging; further calls in the same process have no effect.
pub fn start(name: &str, level: log::LevelFilter) {
    let name = String::from(name);
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {} {name} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("bronzespoked", level)
        .level_for("bronzespoke_daemon", level)
        .level_for("bronzespoke_gateway", level)
        .level_for("bronzespoke_storage", level)
        .chain(std::io::stderr());
    if dispatch.apply().is_err() {
        log::debug!("log: already started");
    }
}

/// Capacity of the queue of lines; at the peak of 2,500 starts per second this is half a second of lines.
const WAITING_LINES: usize = 4_096;
/// Delay in which lines are batched for one write. Without it each line of a busy daemon would wake the thread and
/// cause a write of its own; a daemon that is killed loses the lines of this period.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Bytes per write; a pipe accepts this many atomically, so that readers get complete lines.
const WRITE_BYTES: usize = 4_096;
/// Maximum wait for the last lines at the end of the process.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

enum Line {
    Text(String),
    Flush(mpsc::SyncSender<()>),
}

static WRITER: OnceLock<mpsc::SyncSender<Line>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts structured logging to standard output; further calls in the same process have no effect.
pub fn start_structured(name: &str) {
    let (sender, receiver) = mpsc::sync_channel(WAITING_LINES);
    if WRITER.set(sender).is_err() {
        return;
    }
    let spawned = thread::Builder::new()
        .name(String::from("log"))
        .spawn(move || write_lines(&receiver));
    if let Err(error) = spawned {
        eprintln!("bronzespoked: the log cannot be written: {error}");
        return;
    }
    let name = String::from(name);
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("bronzespoke_daemon", log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            enqueue(format!("{time} {} {name} {}\n", record.level(), record.args()));
        }));
    if dispatch.apply().is_err() {
        log::debug!("event=log_started_already");
    }
}

/// Returns the number of lines that were dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until all lines logged so far are written.
pub fn flush() {
    let Some(writer) = WRITER.get() else { return };
    let (done, written) = mpsc::sync_channel(1);
    if writer.try_send(Line::Flush(done)).is_ok() && written.recv_timeout(FLUSH_WAIT).is_err() {
        eprintln!("bronzespoked: the last log lines were not written");
    }
}

fn enqueue(line: String) {
    let Some(writer) = WRITER.get() else { return };
    if writer.try_send(Line::Text(line)).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(lines: &mpsc::Receiver<Line>) {
    let mut reported = 0;
    let mut buffer = Vec::with_capacity(WRITE_BYTES);
    while let Ok(first) = lines.recv() {
        if matches!(first, Line::Text(_)) {
            thread::sleep(BATCH_DELAY);
        }
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(line) = next {
            match line {
                Line::Text(text) => {
                    if buffer.len() + text.len() > WRITE_BYTES {
                        write_out(&mut buffer);
                    }
                    buffer.extend_from_slice(text.as_bytes());
                }
                Line::Flush(done) => flushed.push(done),
            }
            next = lines.try_recv().ok();
        }
        let dropped = dropped_lines();
        if dropped > reported {
            buffer.extend_from_slice(format!("event=log_dropped lines={}\n", dropped - reported).as_bytes());
            reported = dropped;
        }
        write_out(&mut buffer);
        for done in flushed {
            done.try_send(()).unwrap_or_default();
        }
    }
}

fn write_out(buffer: &mut Vec<u8>) {
    let mut output = std::io::stdout().lock();
    // An error of standard output cannot be reported anywhere.
    drop(output.write_all(buffer).and_then(|()| output.flush()));
    buffer.clear();
}
