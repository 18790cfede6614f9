//! Quantities with units, as operators write them.
//!
//! Each `parse_` function returns `None` if the text is malformed or the value does not fit the type; the caller checks
//! the allowed range. Each `format_` function returns the shortest text that parses into the same value.

use std::time::Duration;

const MILLI: u64 = 1000;
/// Factor between consecutive units of memory and bytes.
const UNIT_FACTOR: u64 = 1024;
const MEMORY_UNITS: [&str; 3] = ["MiB", "GiB", "TiB"];
const BYTE_UNITS: [&str; 4] = ["B", "KiB", "MiB", "GiB"];

/// Parses an amount of processors, such as `2.5` or `2500m`, into thousandths of a core.
pub fn parse_cpu(text: &str) -> Option<u32> {
    if let Some(digits) = text.strip_suffix('m') {
        return parse_digits(digits)?.try_into().ok();
    }
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let milli = match fraction.len() {
        1 => parse_digits(fraction)? * 100,
        2 => parse_digits(fraction)? * 10,
        3 => parse_digits(fraction)?,
        _ => return None,
    };
    let total = parse_digits(whole)?.checked_mul(MILLI)?.checked_add(milli)?;
    total.try_into().ok()
}

/// Formats thousandths of a core as an amount of processors, such as `2.5`.
pub fn format_cpu(milli: u32) -> String {
    let whole = u64::from(milli) / MILLI;
    let fraction = u64::from(milli) % MILLI;
    if fraction == 0 {
        return whole.to_string();
    }
    let text = format!("{whole}.{fraction:03}");
    String::from(text.trim_end_matches('0'))
}

/// Parses an amount of memory, such as `512MiB` or `4GiB`, into MiB.
pub fn parse_memory(text: &str) -> Option<u32> {
    parse_scaled(text, &MEMORY_UNITS)?.try_into().ok()
}

/// Formats MiB in the largest unit that divides the amount.
pub fn format_memory(mib: u32) -> String {
    format_scaled(u64::from(mib), &MEMORY_UNITS)
}

/// Parses a number of bytes, such as `512B` or `64KiB`.
pub fn parse_bytes(text: &str) -> Option<u64> {
    parse_scaled(text, &BYTE_UNITS)
}

/// Formats a number of bytes in the largest unit that divides it.
pub fn format_bytes(bytes: u64) -> String {
    format_scaled(bytes, &BYTE_UNITS)
}

/// Parses a duration, such as `30s` or `1m30s`, into milliseconds; returns `None` if it is not a whole number of them.
pub fn parse_duration(text: &str) -> Option<u64> {
    let duration = humantime::parse_duration(text).ok()?;
    let is_whole = duration.subsec_nanos() % 1_000_000 == 0;
    is_whole
        .then(|| u64::try_from(duration.as_millis()).ok())
        .flatten()
}

/// Formats milliseconds as a duration without spaces.
pub fn format_duration(milliseconds: u64) -> String {
    let text = humantime::format_duration(Duration::from_millis(milliseconds)).to_string();
    text.replace(' ', "")
}

/// Parses decimal digits; signs, spaces and empty texts are malformed.
pub(crate) fn parse_digits(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn parse_scaled(text: &str, units: &[&str]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, suffix) = text.split_at(digits);
    let power = units.iter().position(|unit| *unit == suffix)?;
    let factor = UNIT_FACTOR.checked_pow(u32::try_from(power).ok()?)?;
    parse_digits(number)?.checked_mul(factor)
}

fn format_scaled(value: u64, units: &[&str]) -> String {
    let mut rest = value;
    let mut power = 0;
    while rest != 0 && rest.is_multiple_of(UNIT_FACTOR) && power + 1 < units.len() {
        rest /= UNIT_FACTOR;
        power += 1;
    }
    format!("{rest}{}", units[power])
}
