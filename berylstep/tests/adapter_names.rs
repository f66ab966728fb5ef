//! Names of the platform stay in the adapter.

use std::path::{Path, PathBuf};

/// Parts of names that only the platform uses.
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

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn nothing_outside_the_adapter_knows_the_platforms_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for folder in ["src", "../berylstep_core/src", "../berylstep_http/src", "../berylstep_wire/src"]
    {
        sources(&root.join(folder), &mut found);
    }
    let adapter = root.join("src/platform");
    let is_outside =
        |path: &&PathBuf| !path.starts_with(&adapter) && **path != root.join("src/platform.rs");
    let mut leaks = Vec::new();
    for path in found.iter().filter(is_outside) {
        let text = std::fs::read_to_string(path).unwrap();
        for name in PLATFORM_NAMES.iter().filter(|name| text.contains(**name)) {
            // The native interface has readable paths of its own under this prefix.
            let is_native = *name == "/v1/" && !path.starts_with(root.join("src/gateway"));
            if !is_native {
                leaks.push(format!("{}: {name}", path.display()));
            }
        }
    }
    assert!(leaks.is_empty(), "{leaks:#?}");
}
