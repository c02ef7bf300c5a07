//! The `stagepond` binary. Everything is in the library, so that other packages can drive the same parts.

fn main() -> std::process::ExitCode {
    stagepond_sidecar::cli::main()
}
