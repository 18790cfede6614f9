//! Forecast of the room that submitted jobs will find.

/// Forecast, updated with each scheduling pass.
#[derive(Debug, Default)]
pub struct Forecast {
    /// Number of steps that wait.
    pub waiting: usize,
}
