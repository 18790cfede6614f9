//! Parser of the operators' language.
//!
//! A line is a sequence of words separated by white space. The next word alone determines every alternative, so the
//! parser does not backtrack, and its running time is linear in the length of the line.
//!
//! ```text
//! statement = query | command
//! query     = "show" ( "tasks"    [ "where" { team= | job= | worker= | zone= | state= } ]
//!                    | "jobs"     [ "where" { team= | zone= | state= } ]
//!                    | "teams"
//!                    | "keys"     [ "where" { team= } ]
//!                    | "holdings" [ "where" { team= | zone= } ]
//!                    | "targets"  [ "where" { service= | zone= | state= } ]
//!                    | "workers"  [ "where" { zone= | state= } ]
//!                    | "services" | "queues" | "config" | "versions" | "members" | "old-callers" )
//!           | "why" "job" JOB
//! command   = "create" ( "team" NAME quota            (every field is required)
//!                      | "service" NAME
//!                      | "queue" NAME "service=" NAME "requests=" COUNT )
//!           | "set" ( "team" NAME quota               (at least one field)
//!                   | "config" settings "expect" VERSION )
//!           | "grant" "key" "to" "team" NAME [ "hash=" HASH ]
//!           | "withdraw" "key" HASH-PREFIX
//!           | ( "drain" | "undrain" ) ( "worker" | "target" | "vm" ) ID
//!           | "cancel" ( "job" JOB | "jobs" "of" "team" NAME )
//!           | "add" "member" VM "to" "group" group
//!           | "remove" "member" VM "from" "group" group
//!           | "declare" "zone" ZONE "lost"
//! quota     = { weight=COUNT | cpu=CPU | memory=MEMORY | accelerators=COUNT | requests=COUNT }
//! settings  = { request_deadline=DURATION | request_body=BYTES | retry_percent=COUNT
//!             | remote_bytes_per_second=BYTES | version_one=on|off
//!             | preemptions_per_second=COUNT | recovery_starts_per_second=COUNT }
//! group     = "root" | "zone" ZONE
//! NAME      = a lower-case letter, then up to 62 lower-case letters, digits or "-"
//! CPU       = cores such as 2.5, or thousandths such as 2500m
//! MEMORY    = a whole number with MiB, GiB or TiB
//! BYTES     = a whole number with B, KiB, MiB or GiB
//! DURATION  = such as 250ms, 30s or 1m30s
//! ```
//!
//! Fields have the form `name=value` without spaces, occur in any order, and at most once each. Ids are whole numbers,
//! as shown in answers.

mod command;
mod expectation;
mod field;
mod query;
mod word;

use winnow::error::ErrMode;
use winnow::stream::LocatingSlice;

use crate::{error, statement};

/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// Maximum number of characters of a word that an error shows.
const MAX_FOUND_CHARS: usize = 32;

type Input<'a> = LocatingSlice<&'a str>;
type ParseResult<T> = winnow::ModalResult<T, expectation::Expectation>;

#[derive(Clone, Copy)]
enum Verb {
    Show,
    Why,
    Create,
    Set,
    Grant,
    Withdraw,
    Drain,
    Undrain,
    Cancel,
    Add,
    Remove,
    Declare,
}

const VERBS: [(&str, Verb); 12] = [
    ("show", Verb::Show),
    ("why", Verb::Why),
    ("create", Verb::Create),
    ("set", Verb::Set),
    ("grant", Verb::Grant),
    ("withdraw", Verb::Withdraw),
    ("drain", Verb::Drain),
    ("undrain", Verb::Undrain),
    ("cancel", Verb::Cancel),
    ("add", Verb::Add),
    ("remove", Verb::Remove),
    ("declare", Verb::Declare),
];

/// Parses one line of at most [`MAX_LINE_BYTES`].
pub fn parse(line: &str) -> Result<statement::Statement, error::Error> {
    if line.len() > MAX_LINE_BYTES {
        return Err(error::Error {
            column: 1,
            found: truncate(line.split_whitespace().next().unwrap_or_default()),
            expected: format!("a line of at most {MAX_LINE_BYTES} bytes"),
        });
    }
    let mut input = LocatingSlice::new(line);
    statement(&mut input).map_err(|error| into_error(line, error))
}

fn statement(input: &mut Input<'_>) -> ParseResult<statement::Statement> {
    let statement = match word::one_of(input, &VERBS)? {
        Verb::Show => statement::Statement::Query(query::show(input)?),
        Verb::Why => statement::Statement::Query(query::why(input)?),
        Verb::Create => statement::Statement::Command(command::create(input)?),
        Verb::Set => statement::Statement::Command(command::set(input)?),
        Verb::Grant => statement::Statement::Command(command::grant(input)?),
        Verb::Withdraw => statement::Statement::Command(command::withdraw(input)?),
        Verb::Drain => statement::Statement::Command(statement::Command::Drain(command::node(input)?)),
        Verb::Undrain => statement::Statement::Command(statement::Command::Undrain(command::node(input)?)),
        Verb::Cancel => statement::Statement::Command(command::cancel(input)?),
        Verb::Add => statement::Statement::Command(command::add(input)?),
        Verb::Remove => statement::Statement::Command(command::remove(input)?),
        Verb::Declare => statement::Statement::Command(command::declare(input)?),
    };
    word::end(input)?;
    Ok(statement)
}

/// Converts an error of the parser into a syntax error with a column.
fn into_error(line: &str, error: ErrMode<expectation::Expectation>) -> error::Error {
    let expectation = match error {
        ErrMode::Backtrack(expectation) | ErrMode::Cut(expectation) => expectation,
        ErrMode::Incomplete(_) => expectation::Expectation::new(line.len(), "the rest of the line"),
    };
    let (before, rest) = line.split_at(expectation.offset);
    error::Error {
        column: before.chars().count() + 1,
        found: truncate(rest.split_whitespace().next().unwrap_or_default()),
        expected: expectation.expected,
    }
}

fn truncate(word: &str) -> String {
    if word.chars().count() <= MAX_FOUND_CHARS {
        return String::from(word);
    }
    let mut text = word.chars().take(MAX_FOUND_CHARS).collect::<String>();
    text.push('…');
    text
}
