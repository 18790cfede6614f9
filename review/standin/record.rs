//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static FILE: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be created");
    assert!(FILE.set((Mutex::new(file), Instant::now())).is_ok());
}

/// Milliseconds since the record was opened.
pub fn now_ms() -> u64 {
    FILE.get().map_or(0, |(_, begun)| begun.elapsed().as_millis() as u64)
}

pub fn line(text: &str) {
    if let Some((file, begun)) = FILE.get() {
        let seconds = begun.elapsed().as_millis() as f64 / 1_000.0;
        let mut file = file.lock().unwrap();
        writeln!(file, "{seconds:9.3}  {text}").ok();
        file.flush().ok();
    }
}
