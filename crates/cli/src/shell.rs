//! Executes statements from `-c`, standard input or a prompt.

use std::io::{BufRead, Read};

use bronzespoke_language::{self as language, answer, error, render, statement};
use bronzespoke_rpc::command;
use rustyline::error::ReadlineError;
use serde::Serialize;
use tokio::runtime;

use crate::{failure, output, session};

const PROMPT: &str = "bronzespoke> ";
/// Maximum number of lines in the history of the prompt, which is kept in memory only.
const HISTORY_LINES: usize = 1000;
const PROMPT_HELP: &str = "\
show tasks|jobs|teams|keys|holdings|targets|workers|services|queues|config|versions|members|old-callers
why job J
create team|service|queue …      set team|config …        cancel job J | cancel jobs of team T
grant key to team T              withdraw key PREFIX      drain|undrain worker|target|vm ID
add member V to group G          remove member V from group G          declare zone Z lost
A wrong line is answered with what is allowed. `exit` or Ctrl-D ends.
";

/// Executes statements through a session and prints the answers.
#[derive(Debug)]
pub struct Shell {
    runtime: runtime::Runtime,
    session: session::Session,
    json: bool,
}

/// JSON form of an answer, with the id of the command that it belongs to.
#[derive(Debug, Serialize)]
struct Record<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    command_id: Option<command::Id>,
    #[serde(flatten)]
    answer: &'a answer::Answer,
}

impl Shell {
    /// Returns a shell that prints JSON if `json` is set, and tables and text otherwise.
    pub fn new(runtime: runtime::Runtime, session: session::Session, json: bool) -> Self {
        Self {
            runtime,
            session,
            json,
        }
    }

    /// Executes one line. A command without an id gets a random one, which is printed to standard error before the
    /// command is sent, so that the command can be resent with it.
    pub fn execute(&mut self, line: &str, command_id: Option<command::Id>) -> Result<(), failure::Failure> {
        let id = match language::parse(line) {
            Ok(statement::Statement::Query(_)) if command_id.is_some() => {
                let error = "--command-id: a query does not carry one";
                return Err(failure::Failure::Usage(vec![String::from(error)]));
            }
            Ok(statement::Statement::Query(_)) => None,
            Ok(statement::Statement::Command(_)) => {
                let id = command_id.unwrap_or_else(|| command::Id(rand::random()));
                eprintln!("command id {id}");
                Some(id)
            }
            Err(error) => return self.reject(line, &error),
        };
        let answer = self.runtime.block_on(self.session.execute(line, id));
        if self.json {
            output::json(&Record {
                command_id: id,
                answer: &answer,
            })?;
        }
        match answer {
            answer::Answer::Error(error) => {
                let message = format!("{}: {}", error.code, render::printable(&error.message));
                Err(failure::Failure::Refused(message))
            }
            _ if self.json => Ok(()),
            answer => output::text(&render::answer(&answer)),
        }
    }

    /// Executes the lines of `input` and stops at the first failure. Skips blank lines and lines that start with `#`.
    pub fn run_script(&mut self, mut input: impl BufRead) -> Result<(), failure::Failure> {
        let mut number = 0_u64;
        loop {
            number += 1;
            let mut bytes = Vec::new();
            let max_bytes = language::parse::MAX_LINE_BYTES as u64 + 2;
            let read = input.by_ref().take(max_bytes).read_until(b'\n', &mut bytes);
            let count =
                read.map_err(|error| failure::Failure::refused(format!("standard input: {error}")))?;
            if count == 0 {
                return Ok(());
            }
            let Ok(text) = String::from_utf8(bytes) else {
                return Err(failure::Failure::Usage(vec![format!(
                    "line {number}: it is not UTF-8 text"
                )]));
            };
            let line = text.trim_end_matches(['\n', '\r']);
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            self.execute(line, None)
                .map_err(|failure| at_line(number, failure))?;
        }
    }

    /// Executes lines from an interactive prompt until end of input, `exit` or `quit`. Failures are printed and do not
    /// end the prompt.
    pub fn run_prompt(&mut self) -> Result<(), failure::Failure> {
        let prompt_failure = |error: ReadlineError| failure::Failure::refused(format!("prompt: {error}"));
        let config = rustyline::Config::builder()
            .max_history_size(HISTORY_LINES)
            .map_err(prompt_failure)?
            .build();
        let history = rustyline::history::MemHistory::with_config(&config);
        let mut editor = rustyline::Editor::<(), _>::with_history(config, history).map_err(prompt_failure)?;
        loop {
            let line = match editor.readline(PROMPT) {
                Ok(line) => line,
                Err(ReadlineError::Interrupted) => continue,
                Err(ReadlineError::Eof) => return Ok(()),
                Err(error) => return Err(prompt_failure(error)),
            };
            match line.trim() {
                "" => continue,
                "exit" | "quit" => return Ok(()),
                "help" => output::text(PROMPT_HELP)?,
                _ => match self.execute(&line, None) {
                    Err(failure::Failure::OutputClosed) => return Err(failure::Failure::OutputClosed),
                    Err(failure) => drop(failure.report()),
                    Ok(()) => {}
                },
            }
            editor.add_history_entry(line).map_err(prompt_failure)?;
        }
    }

    /// Reports a syntax error, with a caret below the column.
    fn reject(&self, line: &str, error: &error::Error) -> Result<(), failure::Failure> {
        if self.json {
            output::json(&answer::Answer::from(error.clone()))?;
        }
        let marked = format!(
            "{}\n{}^ {error}",
            render::printable(line),
            " ".repeat(error.column - 1)
        );
        Err(failure::Failure::Usage(vec![format!(
            "the statement is not understood\n{marked}"
        )]))
    }
}

/// Prefixes the messages of a failure with a line number.
fn at_line(number: u64, failure: failure::Failure) -> failure::Failure {
    match failure {
        failure::Failure::Refused(message) => failure::Failure::Refused(format!("line {number}: {message}")),
        failure::Failure::Usage(errors) => {
            let errors = errors.into_iter().map(|error| format!("line {number}: {error}"));
            failure::Failure::Usage(errors.collect())
        }
        failure::Failure::OutputClosed => failure::Failure::OutputClosed,
    }
}
