//! Generates Rust types for the operators' settings from `proto/operator.proto`.

fn main() {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    protobuf_codegen::Codegen::new()
        .pure()
        .include("proto")
        .input("proto/operator.proto")
        .cargo_out_dir("proto")
        .run_from_script();
}
