//! Reads flags and their environment twins, and collects every fault.

use std::ffi::OsString;

/// Looks up an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// A flag and its twin in the environment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flag {
    pub(super) short: Option<&'static str>,
    pub(super) name: &'static str,
    pub(super) twin: &'static str,
}

/// Reads flags one after the other.
pub(super) struct Reader<'a> {
    arguments: pico_args::Arguments,
    environment: Environment<'a>,
    given: Vec<&'static str>,
    faults: Vec<String>,
}

/// Returns a flag with one name.
pub(super) const fn flag(name: &'static str, twin: &'static str) -> Flag {
    Flag {
        short: None,
        name,
        twin,
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(arguments: Vec<OsString>, environment: Environment<'a>) -> Self {
        Self {
            arguments: pico_args::Arguments::from_vec(arguments),
            environment,
            given: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Tells whether a flag without a twin is present.
    pub(super) fn contains(&mut self, names: [&'static str; 2]) -> bool {
        self.arguments.contains(names)
    }

    /// Reads a switch.
    pub(super) fn switch(&mut self, flag: Flag) -> bool {
        if self.arguments.contains(flag.name) {
            self.given.push(flag.name);
            return true;
        }
        let Some(text) = (self.environment)(flag.twin) else {
            return false;
        };
        match text.as_str() {
            "1" | "true" => true,
            "0" | "false" | "" => false,
            _ => {
                self.reject(flag.twin, &text, "`true`, `1`, `false` or `0` is allowed");
                false
            }
        }
    }

    /// Reads a value given once at most.
    pub(super) fn one<T>(
        &mut self,
        flag: Flag,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let mut values = self.texts(flag);
        if values.len() > 1 {
            self.faults.push(format!(
                "{}: it is given {} times; once is allowed",
                flag.name,
                values.len()
            ));
        }
        let (source, text) = values.pop()?;
        self.value(source, &text, allowed, read)
    }

    /// Reads values given any number of times; in the environment they are separated by commas.
    pub(super) fn many<T>(&mut self, flag: Flag, allowed: &str, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let mut values = Vec::new();
        for (source, text) in self.texts(flag) {
            for part in text.split(',') {
                values.extend(self.value(source, part.trim(), allowed, &read));
            }
        }
        values
    }

    /// Records a fault of a value.
    pub(super) fn reject(&mut self, source: &str, text: &str, allowed: &str) {
        let text = bronzespoke_language::render::printable(text);
        self.faults
            .push(format!("{source}: `{text}` is not allowed; {allowed}"));
    }

    /// Records a fault.
    pub(super) fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Tells whether a flag, not its twin, is present.
    pub(super) fn was_given(&self, flag: Flag) -> bool {
        self.given.contains(&flag.name)
    }

    /// Returns the arguments that are not flags, and the faults. Unknown flags are faults.
    pub(super) fn finish(mut self) -> (Vec<String>, Vec<String>) {
        let mut free = Vec::new();
        for argument in self.arguments.finish() {
            let text = argument.to_string_lossy().into_owned();
            let named = self
                .faults
                .iter()
                .any(|fault| fault.starts_with(&format!("{text}:")));
            if !text.starts_with('-') {
                free.push(text);
            } else if !named {
                let text = bronzespoke_language::render::printable(&text);
                self.faults
                    .push(format!("{text}: this flag is not known; see --help"));
            }
        }
        (free, self.faults)
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
                let text = (self.environment)(flag.twin).filter(|text| !text.is_empty());
                text.map(|text| (flag.twin, text)).into_iter().collect()
            }
            Err(pico_args::Error::OptionWithoutAValue(name)) => {
                self.faults.push(format!("{name}: a value is missing"));
                Vec::new()
            }
            Err(error) => {
                self.faults.push(format!("{}: {error}", flag.name));
                Vec::new()
            }
        }
    }

    fn value<T>(
        &mut self,
        source: &'static str,
        text: &str,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = read(text);
        if value.is_none() {
            self.reject(source, text, allowed);
        }
        value
    }
}
