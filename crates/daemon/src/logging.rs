//! Log set-up.
//!
//! Lines go to standard error with a wall-clock time, the level, the VM's name and the prefix of the part.

use std::time::SystemTime;

/// Starts logging; a second call in one process keeps the first set-up.
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
