//! Command line interface.

pub mod burn;
pub mod change;
pub mod client;
pub mod fleet;
pub mod report;
pub mod status;

use std::process::ExitCode;

use gumdrop::Options;

use crate::config::{NodeSettings, SettingError};
use crate::{gateway, logging, node};

/// Exit code for errors in the command line or settings.
const EXIT_USAGE: u8 = 2;

/// Flags of `serve`; each also has a `BERYLSTEP_` environment variable.
pub const SERVE_FLAGS: &[&str] = &[
    "node",
    "cluster",
    "region",
    "zone",
    "listen",
    "advertise",
    "peer-listen",
    "peer-advertise",
    "operator-listen",
    "platform",
    "site-secret-file",
    "operator-key-file",
    "max-body-bytes",
    "max-connections",
    "entries-ttl-ms",
    "slot-policy",
    "usage-window-ms",
    "lease-expiry-ms",
    "unfenced-receivers",
    "orders",
    "dependable-price",
    "cheap-price",
];

/// Options of the whole command.
#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    command: Option<Subcommand>,
}

/// Command to run.
// Parsed once per process, so large variants are harmless.
#[allow(clippy::large_enum_variant)]
#[derive(Debug, Options)]
enum Subcommand {
    #[options(help = "run a node")]
    Serve(ServeOptions),
    #[options(help = "run a node of a fleet on a platform with a table store")]
    Gateway(GatewayOptions),
    #[options(help = "send an operator's change to a node")]
    Apply(change::ApplyOptions),
    #[options(help = "check settings, or a file with a change")]
    Check(change::CheckOptions),
    #[options(help = "show what a node knows of its site")]
    Status(report::ReportOptions),
    #[options(help = "show how fast each class uses up its allowed misses")]
    Burn(report::ReportOptions),
    #[options(help = "print the version")]
    Version(VersionOptions),
}

/// Options of `gateway`.
#[derive(Debug, Options)]
struct GatewayOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, meta = "PATH", help = "settings file [BERYLSTEP_SETTINGS]")]
    settings: Option<String>,
}

/// Options of `version`.
#[derive(Debug, Options)]
struct VersionOptions {
    #[options(help = "print help")]
    help: bool,
}

/// Options of `serve`; absent ones come from variables, then from defaults.
#[derive(Debug, Default, Options)]
pub struct ServeOptions {
    /// Prints help.
    #[options(help = "print help")]
    pub help: bool,
    /// See [`NodeSettings::node`].
    #[options(no_short, meta = "NAME", help = "name of the node [BERYLSTEP_NODE]")]
    pub node: Option<String>,
    /// See [`NodeSettings::cluster`].
    #[options(
        no_short,
        meta = "NAME",
        help = "name of the cluster [BERYLSTEP_CLUSTER, default berylstep]"
    )]
    pub cluster: Option<String>,
    /// See [`NodeSettings::region`].
    #[options(
        no_short,
        meta = "NAME",
        help = "region of the VM [BERYLSTEP_REGION, default local]"
    )]
    pub region: Option<String>,
    /// See [`NodeSettings::zone`].
    #[options(no_short, meta = "NAME", help = "availability zone of the VM [BERYLSTEP_ZONE]")]
    pub zone: Option<String>,
    /// See [`NodeSettings::listen`].
    #[options(no_short, meta = "ADDRESS", help = "listen for callers [BERYLSTEP_LISTEN]")]
    pub listen: Option<String>,
    /// See [`NodeSettings::advertise`].
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "address named to callers [BERYLSTEP_ADVERTISE, default --listen]"
    )]
    pub advertise: Option<String>,
    /// See [`NodeSettings::peer_listen`].
    #[options(no_short, meta = "ADDRESS", help = "listen for other nodes [BERYLSTEP_PEER_LISTEN]")]
    pub peer_listen: Option<String>,
    /// See [`NodeSettings::peer_advertise`].
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "address named to other nodes [BERYLSTEP_PEER_ADVERTISE, default --peer-listen]"
    )]
    pub peer_advertise: Option<String>,
    /// See [`NodeSettings::operator_listen`].
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "listen for operators and metrics [BERYLSTEP_OPERATOR_LISTEN]"
    )]
    pub operator_listen: Option<String>,
    /// See [`NodeSettings::platform`].
    #[options(no_short, meta = "ADDRESS", help = "address of the platform [BERYLSTEP_PLATFORM]")]
    pub platform: Option<String>,
    /// See [`NodeSettings::site_secret`].
    #[options(
        no_short,
        meta = "PATH",
        help = "file with the site secret [BERYLSTEP_SITE_SECRET_FILE, or the secret in BERYLSTEP_SITE_SECRET]"
    )]
    pub site_secret_file: Option<String>,
    /// See [`NodeSettings::operator_key`].
    #[options(
        no_short,
        meta = "PATH",
        help = "file with the operators' key [BERYLSTEP_OPERATOR_KEY_FILE, or the key in BERYLSTEP_OPERATOR_KEY]"
    )]
    pub operator_key_file: Option<String>,
    /// See [`NodeSettings::max_body_bytes`].
    #[options(
        no_short,
        meta = "BYTES",
        help = "largest request body in bytes [BERYLSTEP_MAX_BODY_BYTES, default 4194304]"
    )]
    pub max_body_bytes: Option<String>,
    /// See [`NodeSettings::max_connections`].
    #[options(
        no_short,
        meta = "COUNT",
        help = "most caller connections at once [BERYLSTEP_MAX_CONNECTIONS, default 4096]"
    )]
    pub max_connections: Option<String>,
    /// See [`NodeSettings::entries_ttl`].
    #[options(
        no_short,
        meta = "MS",
        help = "milliseconds for which callers keep the list of entries [BERYLSTEP_ENTRIES_TTL_MS, default 5000]"
    )]
    pub entries_ttl_ms: Option<String>,
    /// See [`NodeSettings::slot_policy`].
    #[options(
        no_short,
        meta = "POLICY",
        help = "arbiter, or alone as a baseline for measurements [BERYLSTEP_SLOT_POLICY, default arbiter]"
    )]
    pub slot_policy: Option<String>,
    /// See [`NodeSettings::usage_window`].
    #[options(
        no_short,
        meta = "MS",
        help = "milliseconds of a usage window, the same at all nodes [BERYLSTEP_USAGE_WINDOW_MS, default 60000]"
    )]
    pub usage_window_ms: Option<String>,
    /// See [`NodeSettings::lease_times`].
    #[options(
        no_short,
        meta = "MS",
        help = "milliseconds until a duty's lease expires, the same at all nodes [BERYLSTEP_LEASE_EXPIRY_MS, default 6000]"
    )]
    pub lease_expiry_ms: Option<String>,
    /// See [`NodeSettings::unfenced_receivers`].
    #[options(
        no_short,
        meta = "LIST",
        help = "receivers that ignore fencing numbers: none, orders, usage or orders,usage [BERYLSTEP_UNFENCED_RECEIVERS, default none]"
    )]
    pub unfenced_receivers: Option<String>,
    /// See [`NodeSettings::orders`].
    #[options(
        no_short,
        meta = "MODE",
        help = "on, or off to place no orders of upstreams [BERYLSTEP_ORDERS, default on]"
    )]
    pub orders: Option<String>,
    /// See [`NodeSettings::prices`].
    #[options(
        no_short,
        meta = "PRICE",
        help = "cost of a dependable upstream for an hour, a whole number in any unit [BERYLSTEP_DEPENDABLE_PRICE, default 300]"
    )]
    pub dependable_price: Option<String>,
    /// See [`NodeSettings::prices`].
    #[options(
        no_short,
        meta = "PRICE",
        help = "cost of a cheap upstream for an hour, in the same unit [BERYLSTEP_CHEAP_PRICE, default 100]"
    )]
    pub cheap_price: Option<String>,
}

impl ServeOptions {
    /// Returns the help text of the flags.
    pub fn usage_text() -> &'static str {
        Self::usage()
    }
}

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let options = CommandOptions::parse_args_default_or_exit();
    match options.command {
        Some(Subcommand::Serve(options)) => serve(&options),
        Some(Subcommand::Gateway(options)) => run_gateway(options),
        Some(Subcommand::Apply(options)) => change::apply(&options),
        Some(Subcommand::Check(options)) => change::check(&options),
        Some(Subcommand::Status(options)) => status::show(&options),
        Some(Subcommand::Burn(options)) => burn::show(&options),
        Some(Subcommand::Version(_)) => {
            println!("berylstep {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("no command given, see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Prints errors in settings and returns the exit code.
fn print_setting_errors(errors: &[SettingError]) -> ExitCode {
    for err in errors {
        eprintln!("error: {err}");
    }
    ExitCode::from(EXIT_USAGE)
}

/// Environment variable with the path of a gateway's settings file.
const SETTINGS_VARIABLE: &str = "BERYLSTEP_SETTINGS";

fn run_gateway(options: GatewayOptions) -> ExitCode {
    let path = options.settings.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        eprintln!("error: no settings file, see --settings");
        return ExitCode::from(EXIT_USAGE);
    };
    logging::initialize_key_value();
    match gateway::run(path.into()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed error=\"{err}\"");
            ExitCode::FAILURE
        }
    }
}

fn serve(options: &ServeOptions) -> ExitCode {
    let variables: Vec<_> = std::env::vars().collect();
    let settings = match NodeSettings::resolve(options, &variables) {
        Ok(settings) => settings,
        Err(errors) => return print_setting_errors(&errors),
    };
    logging::initialize();
    match smol::block_on(node::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("node stopped: {err}");
            ExitCode::FAILURE
        }
    }
}
