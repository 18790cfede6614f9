//! Text encoding of command ids.

use std::{fmt, str};

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a command id.
const DIGITS: usize = 32;

/// A command id. It is encoded as a string of 32 hexadecimal digits, because JSON numbers do not hold 128 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Id(pub id::CommandId);

/// Error of parsing a text that is not a command id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    text: String,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for Id {
    type Err = Malformed;

    /// Parses 1 to 32 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let well_formed =
            text.len() <= DIGITS && !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = well_formed.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        value.map(Self).ok_or_else(|| Malformed {
            text: text.chars().take(DIGITS * 2).collect(),
        })
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for Id {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a command id; 1 to {DIGITS} hexadecimal digits are allowed",
            self.text
        )
    }
}

impl std::error::Error for Malformed {}
