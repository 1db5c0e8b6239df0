//! The committed code is what the generator makes of `proto/peer.proto`.
//!
//! Run with `KITETRAIL_GENERATE=1` to write it anew.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{env, fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files = protox::compile(["peer.proto", "jobs.proto"], [root.join("proto")]).unwrap();
    tonic_prost_build::configure().out_dir(out).compile_fds(files).unwrap();
    for name in ["kitetrail.peer.v1.rs", "kitetrail.jobs.v1.rs"] {
        let fresh = fs::read_to_string(out.join(name)).unwrap();
        let committed = root.join("src/generated").join(name);
        if env::var_os("KITETRAIL_GENERATE").is_some() {
            fs::create_dir_all(root.join("src/generated")).unwrap();
            fs::write(&committed, &fresh).unwrap();
        }
        assert!(fs::read_to_string(&committed).unwrap() == fresh, "generate {name} anew");
    }
}
