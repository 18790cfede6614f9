//! Parser of fields of the form `name=value`.

use std::ops::RangeInclusive;

use super::{Input, ParseResult, expectation::Expectation, word};
use crate::unit;

/// Name and value of a field, with their offsets.
#[derive(Debug, Clone, Copy)]
pub(super) struct Field<'a> {
    pub(super) name: word::Word<'a>,
    pub(super) value: word::Word<'a>,
}

/// Parses fields up to the end of the line or the word `stop`, and passes each to `set`. Returns their number.
///
/// Only fields in `allowed` are accepted, and each at most once, so at most `allowed.len()` fields are parsed.
pub(super) fn zero_or_more<'a>(
    input: &mut Input<'a>,
    allowed: &[&str],
    stop: Option<&str>,
    mut set: impl FnMut(Field<'a>) -> ParseResult<()>,
) -> ParseResult<usize> {
    let mut seen = Vec::new();
    loop {
        let word = word::peek(input)?;
        if word.text.is_empty() || Some(word.text) == stop {
            return Ok(seen.len());
        }
        let field = split(word::next(input)?, allowed)?;
        if seen.contains(&field.name.text) {
            let expected = format!("`{}` once only", field.name.text);
            return Err(Expectation::cut(word.offset, expected));
        }
        seen.push(field.name.text);
        set(field)?;
    }
}

/// Like [`zero_or_more`], but requires at least one field.
pub(super) fn one_or_more<'a>(
    input: &mut Input<'a>,
    allowed: &[&str],
    stop: Option<&str>,
    set: impl FnMut(Field<'a>) -> ParseResult<()>,
) -> ParseResult<()> {
    if zero_or_more(input, allowed, stop, set)? == 0 {
        return Err(Expectation::cut(
            word::peek(input)?.offset,
            list_of_fields(allowed),
        ));
    }
    Ok(())
}

/// Returns the value of a required field, or an error at the end of the fields if it is missing.
pub(super) fn required<T>(input: &mut Input<'_>, name: &str, value: Option<T>) -> ParseResult<T> {
    match value {
        Some(value) => Ok(value),
        None => Err(Expectation::cut(word::peek(input)?.offset, format!("`{name}=`"))),
    }
}

/// Splits a word into the name and the value of a field.
fn split<'a>(word: word::Word<'a>, allowed: &[&str]) -> ParseResult<Field<'a>> {
    let (name, value) = word.text.split_once('=').unwrap_or((word.text, ""));
    if name.len() == word.text.len() || !allowed.contains(&name) {
        return Err(Expectation::cut(word.offset, list_of_fields(allowed)));
    }
    Ok(Field {
        name: word::Word {
            text: name,
            offset: word.offset,
        },
        value: word::Word {
            text: value,
            offset: word.offset + name.len() + 1,
        },
    })
}

fn list_of_fields(allowed: &[&str]) -> String {
    let names = allowed.iter().map(|name| format!("{name}=")).collect::<Vec<_>>();
    word::list(&names.iter().map(String::as_str).collect::<Vec<_>>())
}

impl Field<'_> {
    /// Parses the value as a whole number in a range that fits 32 bits.
    pub(super) fn count(&self, range: RangeInclusive<u32>) -> ParseResult<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        Ok(word::number(self.value, &range)? as u32)
    }

    /// Parses the value as processors, in thousandths of a core.
    pub(super) fn cpu(&self, range: RangeInclusive<u32>) -> ParseResult<u32> {
        let value = unit::parse_cpu(self.value.text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            let (low, high) = (unit::format_cpu(*range.start()), unit::format_cpu(*range.end()));
            self.reject(format!("processors from {low} to {high}, such as 2.5 or 2500m"))
        })
    }

    /// Parses the value as memory, in MiB.
    pub(super) fn memory(&self, range: RangeInclusive<u32>) -> ParseResult<u32> {
        let value = unit::parse_memory(self.value.text).filter(|value| range.contains(value));
        value.ok_or_else(|| {
            let (low, high) = (
                unit::format_memory(*range.start()),
                unit::format_memory(*range.end()),
            );
            self.reject(format!("memory from {low} to {high}, such as 512MiB or 4GiB"))
        })
    }

    /// Parses the value as a size in bytes.
    pub(super) fn bytes(&self, range: RangeInclusive<u32>) -> ParseResult<u32> {
        let value = unit::parse_bytes(self.value.text).and_then(|value| u32::try_from(value).ok());
        value.filter(|value| range.contains(value)).ok_or_else(|| {
            let low = unit::format_bytes(u64::from(*range.start()));
            let high = unit::format_bytes(u64::from(*range.end()));
            self.reject(format!("a size from {low} to {high}, such as 64KiB"))
        })
    }

    /// Parses the value as a duration, in milliseconds.
    pub(super) fn duration(&self, range: RangeInclusive<u32>) -> ParseResult<u32> {
        let value = unit::parse_duration(self.value.text).and_then(|value| u32::try_from(value).ok());
        value.filter(|value| range.contains(value)).ok_or_else(|| {
            let low = unit::format_duration(u64::from(*range.start()));
            let high = unit::format_duration(u64::from(*range.end()));
            self.reject(format!("a duration from {low} to {high}, such as 250ms or 30s"))
        })
    }

    fn reject(&self, expected: String) -> winnow::error::ErrMode<Expectation> {
        Expectation::cut(self.value.offset, expected)
    }
}
