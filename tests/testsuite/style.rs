//! House style that the formatter of this toolchain can't check: one import a line, in three
//! groups (std, external, own).

use std::path::Path;
use std::path::PathBuf;

pub(crate) fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// 0 for std, 1 for external packages, 2 for this file's own package.
fn group(line: &str, own: &str) -> u8 {
    let path = line.trim_start_matches("pub ").trim_start_matches("use ");
    let first = path.split([':', ';', ' ']).next().unwrap_or_default();
    match first {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        first if !own.is_empty() && first == own => 2,
        _ => 1,
    }
}

fn faults(path: &Path, text: &str) -> Vec<String> {
    let mut faults = Vec::new();
    let mut last: Option<(usize, u8)> = None;
    for (i, line) in text.lines().enumerate() {
        let is_import = line.starts_with("use ");
        if !is_import {
            continue;
        }
        let place = format!("{}:{}", path.display(), i + 1);
        if line.contains('{') || line.contains('*') {
            faults.push(format!("{place}: one import a line"));
        }
        let group = group(line, "");
        if let Some((last_line, last_group)) = last {
            let adjacent = i == last_line + 1;
            if group < last_group {
                faults.push(format!("{place}: imports go std, external, own"));
            } else if adjacent && group != last_group {
                faults.push(format!("{place}: a blank line separates the groups"));
            }
        }
        last = Some((i, group));
    }
    faults
}

#[test]
fn imports_are_one_a_line_in_three_groups() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "platform", "tests", "benches", "examples"] {
        sources(&root.join(folder), &mut files);
    }
    files.retain(|path| !path.ends_with("src/proto/v1.rs"));
    assert!(files.len() > 50);
    let faults: Vec<_> = files
        .iter()
        .flat_map(|path| faults(path, &std::fs::read_to_string(path).unwrap()))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
