//! Why the program ends with an exit status other than 0.

use std::process::ExitCode;

const REFUSED: u8 = 1;
const USAGE: u8 = 2;

/// A failure of the whole program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The statement was refused or could not be done; one sentence. Exit status 1.
    Refused(String),
    /// The flags, the environment or the statement are not understood; one sentence for each fault. Exit status 2.
    Usage(Vec<String>),
    /// The reader of standard output went away. Exit status 0, as for other programs in a pipe.
    OutputClosed,
}

impl Failure {
    /// Returns a refusal.
    pub fn refused(message: impl Into<String>) -> Self {
        Self::Refused(message.into())
    }

    /// Prints the failure to standard error and returns the exit status.
    pub fn report(&self) -> ExitCode {
        match self {
            Self::Refused(message) => {
                eprintln!("bronzespoke: {message}");
                ExitCode::from(REFUSED)
            }
            Self::Usage(faults) => {
                for fault in faults {
                    eprintln!("bronzespoke: {fault}");
                }
                ExitCode::from(USAGE)
            }
            Self::OutputClosed => ExitCode::SUCCESS,
        }
    }
}
