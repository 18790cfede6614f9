//! Checks `docs/proof.md` against the workspace.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const PAGE: &str = "docs/proof.md";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the texts between backquotes on the page.
fn quoted(page: &str) -> Vec<&str> {
    page.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// Collects all Rust files below a folder.
fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_')
}

/// Guards against a page that names a file that was moved or removed.
#[test]
fn every_named_file_exists() {
    let page = read(PAGE);
    let files: Vec<_> = quoted(&page)
        .into_iter()
        .filter(|text| ["crates/", "docs/"].iter().any(|folder| text.starts_with(folder)))
        .map(|text| text.split("::").next().unwrap_or(text))
        .collect();
    assert!(files.len() > 20, "the page names its mechanisms");
    let missing: Vec<_> = files
        .into_iter()
        .filter(|file| !root().join(file).exists())
        .collect();
    assert!(missing.is_empty(), "files that do not exist: {missing:?}");
}

/// Guards against a page that names a test that was renamed, removed or never written. A test is named as `path::name`:
/// the file must contain a function of that name. A test case is named after a second `::` and must appear in the file.
#[test]
fn every_named_test_exists() {
    let page = read(PAGE);
    let mut count = 0;
    let mut missing = Vec::new();
    for text in quoted(&page).into_iter().filter(|text| text.contains(".rs::")) {
        let mut parts = text.split("::");
        let source = read(parts.next().unwrap_or_default());
        let name = parts.next().unwrap_or_default();
        count += 1;
        let case = parts.next();
        let has_case = case.is_none_or(|case| {
            [" ", "("]
                .iter()
                .any(|before| source.contains(&format!("{before}{case} = {{")))
        });
        if !is_name(name) || !source.contains(&format!("fn {name}(")) || !has_case {
            missing.push(text);
        }
    }
    assert!(count > 20, "the page names its tests");
    assert!(missing.is_empty(), "tests that do not exist: {missing:?}");
}

/// Guards against a page that cites a policy row that no policy module prints. The modules build the last parts of a
/// row's name with `format!`, so only the package and the measure are checked.
#[test]
fn every_named_policy_row_exists() {
    let mut files = Vec::new();
    sources(&root().join("crates/bench/src/policy"), &mut files);
    let code: String = files
        .iter()
        .map(|file| fs::read_to_string(file).unwrap())
        .collect();
    let packages = ["consensus.", "control.", "gossip.", "request.", "schedule."];
    let page = read(PAGE);
    let rows: BTreeSet<&str> = quoted(&page)
        .into_iter()
        .filter(|text| packages.iter().any(|package| text.starts_with(package)))
        .collect();
    assert!(!rows.is_empty(), "the page names its measures");
    let is_printed = |row: &&str| {
        let measure = row.split('.').nth(1).unwrap_or_default();
        code.contains(measure)
    };
    let missing: Vec<_> = rows.into_iter().filter(|row| !is_printed(row)).collect();
    assert!(missing.is_empty(), "rows that no module prints: {missing:?}");
}
