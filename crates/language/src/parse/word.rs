//! Parser of words: keywords, names, numbers and hexadecimal digits.

use std::ops::RangeInclusive;

use bronzespoke_model::id;
use winnow::Parser;
use winnow::stream::{Location, Stream};
use winnow::token::take_while;

use super::{Input, ParseResult, expectation::Expectation};
use crate::unit;

/// Maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 63;
/// Minimum number of digits of a hash that identify a key.
const MIN_HASH_PREFIX: usize = 8;
/// Number of digits of a complete hash.
const HASH_DIGITS: usize = 64;

/// A word and its byte offset in the line.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) offset: usize,
}

/// Consumes the next word; it is empty at the end of the line.
pub(super) fn next<'a>(input: &mut Input<'a>) -> ParseResult<Word<'a>> {
    take_while(0.., char::is_whitespace).parse_next(input)?;
    let offset = input.current_token_start();
    let text = take_while(0.., |character: char| !character.is_whitespace()).parse_next(input)?;
    Ok(Word { text, offset })
}

/// Returns the next word without consuming it.
pub(super) fn peek<'a>(input: &mut Input<'a>) -> ParseResult<Word<'a>> {
    let start = input.checkpoint();
    let word = next(input)?;
    input.reset(&start);
    Ok(word)
}

/// Consumes the given keyword.
pub(super) fn keyword(input: &mut Input<'_>, text: &str) -> ParseResult<()> {
    one_of(input, &[(text, ())])
}

/// Consumes one of the given keywords and returns its value.
pub(super) fn one_of<T: Copy>(input: &mut Input<'_>, table: &[(&str, T)]) -> ParseResult<T> {
    let word = next(input)?;
    lookup(word, table)
}

/// Returns the value that the table assigns to a word.
pub(super) fn lookup<T: Copy>(word: Word<'_>, table: &[(&str, T)]) -> ParseResult<T> {
    let found = table.iter().find(|(text, _)| *text == word.text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let names = table.iter().map(|(text, _)| *text).collect::<Vec<_>>();
        Expectation::cut(word.offset, list(&names))
    })
}

/// Returns a list such as `` `a`, `b` or `c` ``.
pub(super) fn list(names: &[&str]) -> String {
    let quoted = names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
        None => String::from("nothing"),
    }
}

/// Requires the end of the line.
pub(super) fn end(input: &mut Input<'_>) -> ParseResult<()> {
    let word = next(input)?;
    if word.text.is_empty() {
        return Ok(());
    }
    Err(Expectation::cut(word.offset, "the end of the line"))
}

/// Parses a name.
pub(super) fn name(word: Word<'_>) -> ParseResult<String> {
    let mut bytes = word.text.bytes();
    let first = bytes.next().is_some_and(|byte| byte.is_ascii_lowercase());
    let rest = bytes.all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    if first && rest && word.text.len() <= MAX_NAME_CHARS {
        return Ok(String::from(word.text));
    }
    let expected = format!(
        "a name of 1 to {MAX_NAME_CHARS} lower-case letters, digits or `-` that starts with a letter"
    );
    Err(Expectation::cut(word.offset, expected))
}

/// Parses a whole number in a range.
pub(super) fn number(word: Word<'_>, range: &RangeInclusive<u64>) -> ParseResult<u64> {
    unit::parse_digits(word.text)
        .filter(|value| range.contains(value))
        .ok_or_else(|| {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            Expectation::cut(word.offset, expected)
        })
}

/// Parses the id of an availability zone.
pub(super) fn zone(word: Word<'_>) -> ParseResult<id::AvailabilityZoneId> {
    let value = number(word, &(0..=u64::from(id::AvailabilityZoneId::MAX)))?;
    Ok(value as id::AvailabilityZoneId)
}

/// Consumes the id of a worker, target, VM or job, or a configuration version.
pub(super) fn id(input: &mut Input<'_>) -> ParseResult<u64> {
    number(next(input)?, &(0..=u64::MAX))
}

/// Parses a complete hash.
pub(super) fn hash(word: Word<'_>) -> ParseResult<[u8; 32]> {
    let mut hash = [0; 32];
    let complete = word.text.len() == HASH_DIGITS && is_hexadecimal(word.text);
    for (index, byte) in hash.iter_mut().enumerate().filter(|_| complete) {
        let digits = &word.text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).expect("the digits were checked");
    }
    let expected = || format!("a SHA-256 hash of {HASH_DIGITS} hexadecimal digits");
    complete
        .then_some(hash)
        .ok_or_else(|| Expectation::cut(word.offset, expected()))
}

/// Parses the first digits of a hash.
pub(super) fn hash_prefix(word: Word<'_>) -> ParseResult<String> {
    let length = word.text.len();
    if (MIN_HASH_PREFIX..=HASH_DIGITS).contains(&length) && is_hexadecimal(word.text) {
        return Ok(word.text.to_ascii_lowercase());
    }
    let expected = format!("the first {MIN_HASH_PREFIX} to {HASH_DIGITS} hexadecimal digits of a key's hash");
    Err(Expectation::cut(word.offset, expected))
}

fn is_hexadecimal(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
