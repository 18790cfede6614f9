//! Reads flags and the corresponding environment variables, and collects all errors.

use std::ffi::OsString;

/// Function that returns the value of an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// A flag and the environment variable that it overrides.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flag {
    pub(super) short: Option<&'static str>,
    pub(super) name: &'static str,
    pub(super) variable: &'static str,
}

/// Reads flags one by one; errors are collected until [`Reader::finish`].
pub(super) struct Reader<'a> {
    arguments: pico_args::Arguments,
    environment: Environment<'a>,
    given: Vec<&'static str>,
    errors: Vec<String>,
}

/// Returns a flag without a short form.
pub(super) const fn flag(name: &'static str, variable: &'static str) -> Flag {
    Flag {
        short: None,
        name,
        variable,
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(arguments: Vec<OsString>, environment: Environment<'a>) -> Self {
        Self {
            arguments: pico_args::Arguments::from_vec(arguments),
            environment,
            given: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Returns whether a flag without an environment variable is present.
    pub(super) fn contains(&mut self, names: [&'static str; 2]) -> bool {
        self.arguments.contains(names)
    }

    /// Reads a flag without a value; the environment variable must be a boolean.
    pub(super) fn read_switch(&mut self, flag: Flag) -> bool {
        if self.arguments.contains(flag.name) {
            self.given.push(flag.name);
            return true;
        }
        let Some(text) = (self.environment)(flag.variable) else {
            return false;
        };
        match text.as_str() {
            "1" | "true" => true,
            "0" | "false" | "" => false,
            _ => {
                self.reject(flag.variable, &text, "`true`, `1`, `false` or `0` is allowed");
                false
            }
        }
    }

    /// Reads a flag that may be given at most once.
    pub(super) fn read_single<T>(
        &mut self,
        flag: Flag,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let mut values = self.texts(flag);
        if values.len() > 1 {
            self.errors.push(format!(
                "{}: it is given {} times; once is allowed",
                flag.name,
                values.len()
            ));
        }
        let (source, text) = values.pop()?;
        self.parse_value(source, &text, allowed, parse)
    }

    /// Reads a flag that may be repeated. A value may also be a list separated by commas, as in the environment.
    pub(super) fn read_list<T>(
        &mut self,
        flag: Flag,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (source, text) in self.texts(flag) {
            for part in text.split(',') {
                values.extend(self.parse_value(source, part.trim(), allowed, &parse));
            }
        }
        values
    }

    /// Records that a value is not allowed.
    pub(super) fn reject(&mut self, source: &str, text: &str, allowed: &str) {
        let text = bronzespoke_language::render::printable(text);
        self.errors
            .push(format!("{source}: `{text}` is not allowed; {allowed}"));
    }

    /// Records an error message.
    pub(super) fn record_error(&mut self, error: String) {
        self.errors.push(error);
    }

    /// Returns whether a flag was given on the command line.
    pub(super) fn was_given(&self, flag: Flag) -> bool {
        self.given.contains(&flag.name)
    }

    /// Returns the positional arguments and all errors. Unknown flags are errors.
    pub(super) fn finish(mut self) -> (Vec<String>, Vec<String>) {
        let mut positional = Vec::new();
        for argument in self.arguments.finish() {
            let text = argument.to_string_lossy().into_owned();
            let named = self
                .errors
                .iter()
                .any(|error| error.starts_with(&format!("{text}:")));
            if !text.starts_with('-') {
                positional.push(text);
            } else if !named {
                let text = bronzespoke_language::render::printable(&text);
                self.errors
                    .push(format!("{text}: this flag is not known; see --help"));
            }
        }
        (positional, self.errors)
    }

    fn texts(&mut self, flag: Flag) -> Vec<(&'static str, String)> {
        let values = match flag.short {
            Some(short) => self.arguments.values_from_str::<_, String>([short, flag.name]),
            None => self.arguments.values_from_str::<_, String>(flag.name),
        };
        match values {
            Ok(values) if !values.is_empty() => {
                self.given.push(flag.name);
                values.into_iter().map(|text| (flag.name, text)).collect()
            }
            Ok(_) => {
                let text = (self.environment)(flag.variable).filter(|text| !text.is_empty());
                text.map(|text| (flag.variable, text)).into_iter().collect()
            }
            Err(pico_args::Error::OptionWithoutAValue(name)) => {
                self.errors.push(format!("{name}: a value is missing"));
                Vec::new()
            }
            Err(error) => {
                self.errors.push(format!("{}: {error}", flag.name));
                Vec::new()
            }
        }
    }

    fn parse_value<T>(
        &mut self,
        source: &'static str,
        text: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = parse(text);
        if value.is_none() {
            self.reject(source, text, allowed);
        }
        value
    }
}
