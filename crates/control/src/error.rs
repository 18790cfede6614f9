//! Errors of decoding commands and installing snapshots.

/// Reason why bytes could not be decoded, or a snapshot not installed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The bytes are malformed.
    Format(String),
    /// The bytes decode to a state that violates an invariant.
    Invariant(String),
    /// The snapshot is older than the state that it would replace.
    Older {
        /// Last log index in the snapshot.
        snapshot: u64,
        /// Last log index applied to the state.
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
