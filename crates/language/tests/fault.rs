//! Guards against syntax errors that show the wrong column or do not describe the allowed input.

use bronzespoke_language::{parse, parse::MAX_LINE_BYTES};
use rand::{Rng, SeedableRng, rngs};
use yare::parameterized;

const SEED: u64 = 20_261_204;
const RANDOM_LINES: usize = 20_000;

#[parameterized(
    empty = { "", 1, "", "`show`, `why`, `create`" },
    verb = { "  shwo tasks", 3, "shwo", "`show`" },
    subject = { "show task", 6, "task", "`tasks`, `jobs`" },
    trailing = { "show teams now", 12, "now", "the end of the line" },
    no_where = { "show tasks team=a", 12, "team=a", "`where` or the end of the line" },
    empty_where = { "show tasks where", 17, "", "`team=`, `job=`" },
    filter_of_other = { "show jobs where worker=1", 17, "worker=1", "`team=`, `zone=` or `state=`" },
    state_of_other = { "show jobs where state=lost", 23, "lost", "`waiting`, `running`" },
    no_value = { "show tasks where zone=", 23, "", "a whole number from 0 to 65535" },
    no_equals = { "set team a weight", 12, "weight", "`weight=`" },
    twice = { "set team a weight=1 weight=2", 21, "weight=2", "`weight` once only" },
    name = { "create service Diploma", 16, "Diploma", "1 to 63 lower-case letters" },
    accented = { "create service examen-á x", 16, "examen-á", "1 to 63 lower-case letters" },
    after_accent = { "show tasks where team=á", 23, "á", "starts with a letter" },
    wide_space = { "show\u{3000}task", 6, "task", "`tasks`" },
    missing_field = { "create team a weight=1 cpu=1 memory=1GiB requests=1", 52, "", "`accelerators=`" },
    weight_zero = { "set team a weight=0", 19, "0", "from 1 to 10000" },
    cpu_absurd = { "set team a cpu=99999999999999999999", 16, "99999999999999999999", "from 0 to 4000000" },
    cpu_negative = { "set team a cpu=-1", 16, "-1", "such as 2.5 or 2500m" },
    cpu_fine = { "set team a cpu=0.0001", 16, "0.0001", "processors" },
    memory_absurd = { "set team a memory=9999999TiB", 19, "9999999TiB", "from 0MiB to 4095TiB" },
    memory_unit = { "set team a memory=4GB", 19, "4GB", "512MiB or 4GiB" },
    deadline = { "set config request_deadline=2h expect 1", 29, "2h", "from 1ms to 1h" },
    deadline_fine = { "set config request_deadline=1us expect 1", 29, "1us", "from 1ms to 1h" },
    body = { "set config request_body=1GiB expect 1", 25, "1GiB", "from 1KiB to 64MiB" },
    switch = { "set config version_one=yes expect 1", 24, "yes", "`on` or `off`" },
    no_expect = { "set config retry_percent=5", 27, "", "`expect`" },
    hash_short = { "grant key to team a hash=0011", 26, "0011", "64 hexadecimal digits" },
    prefix_short = { "withdraw key 0011", 14, "0011", "first 8 to 64" },
    group = { "add member 5 to group cell", 23, "cell", "`root` or `zone`" },
    preposition = { "remove member 5 to group root", 17, "to", "`from`" },
    lost = { "declare zone 2 gone", 16, "gone", "`lost`" },
)]
fn error_points_at_the_column(line: &str, column: usize, found: &str, expected: &str) {
    let error = parse(line).expect_err("the line is not a statement");
    assert_eq!((error.column, error.found.as_str()), (column, found), "{error}");
    assert!(error.expected.contains(expected), "{error}");
}

/// Guards against long lines that are parsed in full or repeated in full in the error.
#[test]
fn long_lines_are_refused_and_truncated() {
    let long = format!("show {}", "x".repeat(MAX_LINE_BYTES));
    let error = parse(&long).expect_err("too long");
    assert!(error.expected.contains("at most 4096 bytes"), "{error}");
    let error = parse(&long[..MAX_LINE_BYTES]).expect_err("unknown subject");
    assert!(error.to_string().len() < 400, "{error}");
}

/// Guards against panics, columns outside the line, and statements whose rendering parses into another statement.
#[test]
fn random_lines_never_panic() {
    let mut random = rngs::SmallRng::seed_from_u64(SEED);
    let words = [
        "show",
        "tasks",
        "where",
        "team=a",
        "zone=1",
        "set",
        "config",
        "expect",
        "1",
        "weight=",
        "=",
        "á",
        "\u{3000}",
        "cpu=1.",
        "cpu=.5",
        "memory=MiB",
        "request_deadline=9999999999999999999y",
        "grant",
        "key",
        "to",
        "team",
        "a",
        "hash=ááááááááááááááááááááááááááááááááá",
        "create",
        "queue",
        "declare",
        "\0",
        "member",
    ];
    for _ in 0..RANDOM_LINES {
        let count = random.random_range(0..12);
        let mut line = String::new();
        for _ in 0..count {
            if random.random_bool(0.2) {
                line.push(char::from_u32(random.random_range(0..0x11_0000)).unwrap_or(' '));
            } else {
                line.push_str(words[random.random_range(0..words.len())]);
                line.push(' ');
            }
        }
        match parse(&line) {
            Ok(statement) => assert_eq!(
                parse(&statement.to_string()).as_ref(),
                Ok(&statement),
                "seed {SEED}"
            ),
            Err(error) => assert!(error.column <= line.chars().count() + 1, "seed {SEED}: {line:?}"),
        }
    }
}
