//! Errors of encoding and decoding.

/// Why bytes could not be turned into state or a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The bytes do not have the expected form.
    Format(String),
    /// The bytes decode, but the state that they describe breaks an invariant.
    Invariant(String),
    /// The snapshot is older than the state that it would replace.
    Older {
        /// Last index in the snapshot.
        snapshot: u64,
        /// Last index applied here.
        applied: u64,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Format(detail) => write!(f, "malformed control data: {detail}"),
            Self::Invariant(detail) => write!(f, "control data breaks an invariant: {detail}"),
            Self::Older { snapshot, applied } => write!(
                f,
                "snapshot ends at index {snapshot}, but index {applied} is already applied"
            ),
        }
    }
}

impl std::error::Error for Error {}
