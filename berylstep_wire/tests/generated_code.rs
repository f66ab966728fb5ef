//! Checks that the committed generated code matches the schema.

use std::path::Path;

/// Environment variable that makes the test rewrite the committed file before it compares it.
const REGENERATE_VARIABLE: &str = "BERYLSTEP_REGENERATE";

#[test]
fn generated_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(["berylstep.proto"], [root.join("proto")]).unwrap();
    let out_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    prost_build::Config::new().out_dir(out_dir).compile_fds(descriptors).unwrap();
    let generated = std::fs::read_to_string(out_dir.join("berylstep.wire.rs")).unwrap();
    let committed_path = root.join("src/generated.rs");
    if std::env::var_os(REGENERATE_VARIABLE).is_some() {
        std::fs::write(&committed_path, &generated).unwrap();
    }
    let committed = std::fs::read_to_string(&committed_path).unwrap();
    assert!(
        committed == generated,
        "generated.rs is stale: run the test with {REGENERATE_VARIABLE}=1"
    );
}
