//! Checks that the committed generated code matches the schema in `proto/`.

use std::path::Path;

/// Environment variable that makes the test write the generated code before it compares.
const BLESS_VARIABLE: &str = "VANEWAY_BLESS";

#[test]
fn generated_code_matches_the_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = protox::compile(["vaneway/v1/operators.proto"], [&proto]).unwrap();
    let out = tempfile::tempdir().unwrap();
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(out.path())
        .compile_fds(files)
        .unwrap();
    let generated = std::fs::read_to_string(out.path().join("vaneway.v1.rs")).unwrap();
    let committed = root.join("crates/vaneway-server/src/proto/v1.rs");
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    let committed = std::fs::read_to_string(&committed).unwrap();
    assert!(
        generated == committed,
        "run this test with {BLESS_VARIABLE}=1 and commit crates/vaneway-server/src/proto/v1.rs"
    );
}
