//! Units.
