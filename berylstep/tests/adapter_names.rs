//! Checks that only the platform adapter uses the platform's names.

use std::path::{Path, PathBuf};

/// Substrings of names that belong to the platform.
const PLATFORM_NAMES: &[&str] = &[
    "Berylstep-",
    "Kv-",
    "/v1/",
    "rows-",
    "RowVersion",
    "WindowIndex",
    "DesiredCount",
    "TargetLatencyMs",
    "X-Api-Key",
    "/scaling",
];

fn collect_sources(folder: &Path, sources: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}

#[test]
fn only_the_adapter_uses_the_platforms_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut sources = Vec::new();
    for folder in ["src", "../berylstep_core/src", "../berylstep_http/src", "../berylstep_wire/src"]
    {
        collect_sources(&root.join(folder), &mut sources);
    }
    let adapter = root.join("src/platform");
    let is_outside =
        |path: &&PathBuf| !path.starts_with(&adapter) && **path != root.join("src/platform.rs");
    let mut leaks = Vec::new();
    for path in sources.iter().filter(is_outside) {
        let text = std::fs::read_to_string(path).unwrap();
        for name in PLATFORM_NAMES.iter().filter(|name| text.contains(**name)) {
            // The native interface has its own paths with this prefix.
            let is_native = *name == "/v1/" && !path.starts_with(root.join("src/gateway"));
            if !is_native {
                leaks.push(format!("{}: {name}", path.display()));
            }
        }
    }
    assert!(leaks.is_empty(), "{leaks:#?}");
}
