//! Units that people write.
//!
//! Each reader returns `None` for a text that is malformed or does not fit the type; the caller names the allowed
//! range. Each writer returns the shortest text that the reader turns back into the same value.

use std::time::Duration;

const MILLI: u64 = 1000;
const STEP: u64 = 1024;
const MEMORY_UNITS: [&str; 3] = ["MiB", "GiB", "TiB"];
const BYTE_UNITS: [&str; 4] = ["B", "KiB", "MiB", "GiB"];

/// Reads processors, such as `2.5` or `2500m`, as thousandths of a core.
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

/// Writes thousandths of a core as processors, such as `2.5`.
pub fn format_cpu(milli: u32) -> String {
    let whole = u64::from(milli) / MILLI;
    let fraction = u64::from(milli) % MILLI;
    if fraction == 0 {
        return whole.to_string();
    }
    let text = format!("{whole}.{fraction:03}");
    String::from(text.trim_end_matches('0'))
}

/// Reads memory, such as `512MiB` or `4GiB`, as MiB.
pub fn parse_memory(text: &str) -> Option<u32> {
    parse_scaled(text, &MEMORY_UNITS)?.try_into().ok()
}

/// Writes MiB in the largest unit that divides it.
pub fn format_memory(mib: u32) -> String {
    format_scaled(u64::from(mib), &MEMORY_UNITS)
}

/// Reads a number of bytes, such as `512B` or `64KiB`.
pub fn parse_bytes(text: &str) -> Option<u64> {
    parse_scaled(text, &BYTE_UNITS)
}

/// Writes bytes in the largest unit that divides them.
pub fn format_bytes(bytes: u64) -> String {
    format_scaled(bytes, &BYTE_UNITS)
}

/// Reads a duration, such as `30s` or `1m30s`, as whole milliseconds.
pub fn parse_duration(text: &str) -> Option<u64> {
    let duration = humantime::parse_duration(text).ok()?;
    let whole = duration.subsec_nanos() % 1_000_000 == 0;
    whole.then(|| u64::try_from(duration.as_millis()).ok()).flatten()
}

/// Writes milliseconds as a duration without spaces.
pub fn format_duration(milliseconds: u64) -> String {
    let text = humantime::format_duration(Duration::from_millis(milliseconds)).to_string();
    text.replace(' ', "")
}

/// Reads decimal digits only; signs, spaces and empty texts are malformed.
pub(crate) fn parse_digits(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn parse_scaled(text: &str, units: &[&str]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, suffix) = text.split_at(digits);
    let power = units.iter().position(|unit| *unit == suffix)?;
    let factor = STEP.checked_pow(u32::try_from(power).ok()?)?;
    parse_digits(number)?.checked_mul(factor)
}

fn format_scaled(value: u64, units: &[&str]) -> String {
    let mut rest = value;
    let mut power = 0;
    while rest != 0 && rest.is_multiple_of(STEP) && power + 1 < units.len() {
        rest /= STEP;
        power += 1;
    }
    format!("{rest}{}", units[power])
}
