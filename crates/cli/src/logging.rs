//! Logging to standard error.

use crate::failure;

/// Starts logging at the given level. Lines have the form `bronzespoke: <level>: <message>`.
pub fn start(level: log::LevelFilter) -> Result<(), failure::Failure> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("bronzespoke: {level}: {message}"));
        })
        .level(log::LevelFilter::Off)
        .level_for("bronzespoke", level)
        .level_for("bronzespoke_cli", level)
        .chain(std::io::stderr())
        .apply()
        .map_err(|error| failure::Failure::refused(format!("logging: {error}")))
}
