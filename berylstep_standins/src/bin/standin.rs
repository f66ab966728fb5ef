//! Runs one stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;

use berylstep_standins::engine::EngineSettings;
use berylstep_standins::{engine, platform, service};
use gumdrop::Options;

/// Options of the whole command.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(command, required)]
    command: Option<Standin>,
}

/// Which stand-in to run.
#[derive(Debug, Options)]
enum Standin {
    #[options(help = "platform: tables, objects, VM list, orders, usage")]
    Platform(PlatformOptions),
    #[options(help = "model engine")]
    Engine(EngineOptions),
    #[options(help = "plain service")]
    Service(ServiceOptions),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct EngineOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "name, which answers carry", default = "engine")]
    name: String,
    #[options(no_short, help = "milliseconds for a token", default = "5")]
    token_ms: u64,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "name, which answers carry", default = "service")]
    name: String,
}

fn main() -> ExitCode {
    env_logger::init();
    let options = CommandOptions::parse_args_default_or_exit();
    let result = smol::block_on(run(options.command.expect("command is required")));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(standin: Standin) -> std::io::Result<()> {
    match standin {
        Standin::Platform(options) => {
            platform::run(options.listen.expect("address is required")).await
        }
        Standin::Engine(options) => {
            let EngineOptions { listen, name, token_ms, .. } = options;
            engine::run(listen.expect("address is required"), EngineSettings { name, token_ms })
                .await
        }
        Standin::Service(options) => {
            service::run(options.listen.expect("address is required"), options.name).await
        }
    }
}
