//! Failures that end the program, and their exit statuses.

use std::process::ExitCode;

const REFUSED_STATUS: u8 = 1;
const USAGE_STATUS: u8 = 2;

/// Reason why the program ends early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The statement was refused or failed; a message of one sentence. Exit status 1.
    Refused(String),
    /// Flags, environment or statement are invalid; one message for each error. Exit status 2.
    Usage(Vec<String>),
    /// The reader closed standard output. Exit status 0, since a pipeline such as `| head` is not a failure.
    OutputClosed,
}

impl Failure {
    /// Returns [`Failure::Refused`] with `message`.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::Refused(message.into())
    }

    /// Prints the failure to standard error and returns the exit status.
    pub fn report(&self) -> ExitCode {
        match self {
            Self::Refused(message) => {
                eprintln!("bronzespoke: {message}");
                ExitCode::from(REFUSED_STATUS)
            }
            Self::Usage(errors) => {
                for error in errors {
                    eprintln!("bronzespoke: {error}");
                }
                ExitCode::from(USAGE_STATUS)
            }
            Self::OutputClosed => ExitCode::SUCCESS,
        }
    }
}
