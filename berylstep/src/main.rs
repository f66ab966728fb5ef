//! Router for language-model traffic with service levels and priorities.

fn main() -> std::process::ExitCode {
    berylstep::cli::run()
}
