//! Order of the teams' waiting work.

/// Share of a team that is owed what it runs, in multiples of its fair share, from which its work is placed later. Jobs
/// arrive at random and differ in size, so that the use of such a team varies around its share.
const OWED_TOLERANCE: f64 = 1.5;
/// Number of positions for each multiple of the fair share. Teams whose shares differ by less are ordered by slack.
const POSITIONS_PER_SHARE: f64 = 4.0;
/// Position of work that is within its team's share.
pub const WITHIN: u32 = 0;
/// Position of excess work of a team that uses less than its fair share.
pub const FIRST_BEYOND: u32 = 1;
/// Last position.
pub const LAST: u32 = 64;

/// Use of a team compared with its fair share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Use {
    /// Dominant share of what the team runs.
    pub share: f64,
    /// Dominant share of the team's widest step. A step is started as a whole, so that one of them above the fair share
    /// does not count as beyond it.
    pub widest: f64,
    /// Fair share of the team.
    pub fair: f64,
}

impl Use {
    /// Returns the share in multiples of the fair share, without the widest step.
    pub fn ratio(&self) -> f64 {
        let counted = (self.share - self.widest).max(0.0);
        if counted == 0.0 {
            0.0
        } else {
            counted / self.fair.max(f64::MIN_POSITIVE)
        }
    }

    /// Returns whether the team uses so much more than its fair share that its owed work is placed later, too.
    pub fn is_beyond(&self) -> bool {
        self.ratio() >= OWED_TOLERANCE
    }

    /// Returns the position of the team's waiting work; smaller comes first. `excess` is whether the job exceeds the
    /// number of jobs that the team is owed.
    pub fn position(&self, excess: bool) -> u32 {
        if !excess && !self.is_beyond() {
            return WITHIN;
        }
        let ratio = self.ratio();
        if ratio < 1.0 {
            return FIRST_BEYOND;
        }
        // The conversion saturates.
        let steps = ((ratio - 1.0) * POSITIONS_PER_SHARE) as u32;
        steps.saturating_add(FIRST_BEYOND + 1).min(LAST)
    }
}

/// Returns the key of a team in a strict order by weighted share; the lowest one is next. It is the bit pattern of a
/// non-negative float, which sorts like the float.
pub fn key(share: f64, past: f64, weight: f64) -> u64 {
    ((share + PAST_WEIGHT * past) / weight).to_bits()
}

/// Weight of a team's past share in its key, relative to its present share.
const PAST_WEIGHT: f64 = 0.5;
