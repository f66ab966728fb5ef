//! Settings of `berylstep serve`: parsing, defaults and validation.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::lease::LeaseTimes;
use displaydoc::Display;

use crate::cli::ServeOptions;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Prefix of the environment variables of this program.
const VARIABLE_PREFIX: &str = "BERYLSTEP_";

/// Environment variables that are not flags of `serve`.
const OTHER_VARIABLES: &[&str] = &[
    "BERYLSTEP_LOG",
    "BERYLSTEP_OPERATORS",
    "BERYLSTEP_AGAINST",
    "BERYLSTEP_TOKEN",
    "BERYLSTEP_SETTLE",
    "BERYLSTEP_JSON",
];

/// Error in one setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingError {
    /// --{flag} (or {variable}) is required: {accepted}
    Missing {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Name of the environment variable.
        variable: String,
        /// Description of the accepted values.
        accepted: &'static str,
    },
    /// --{flag} (or {variable}) is {value:?}, accepted: {accepted}
    Invalid {
        /// Flag without the leading dashes.
        flag: &'static str,
        /// Name of the environment variable.
        variable: String,
        /// Rejected value.
        value: String,
        /// Description of the accepted values.
        accepted: &'static str,
    },
    /// {variable} is not a known variable
    Unknown {
        /// Name of the environment variable.
        variable: String,
    },
}

impl std::error::Error for SettingError {}

/// Policy for assigning slots of upstreams to requests; a slot is room for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPolicy {
    /// For each pool, one node at a time assigns the slots.
    Arbiter,
    /// Every node assigns slots by itself from delayed load reports; a baseline for measurements.
    Alone,
}

/// Validated settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique within the cluster.
    pub node: SharedName,
    /// Name of the cluster; links from nodes of other clusters are refused.
    pub cluster: SharedName,
    /// Region of the VM; `local` by default.
    pub region: SharedName,
    /// Availability zone of the VM.
    pub zone: SharedName,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address advertised to callers; `listen` by default.
    pub advertise: SocketAddr,
    /// Address of the listener for peer links.
    pub peer_listen: SocketAddr,
    /// Address advertised to other nodes; `peer_listen` by default.
    pub peer_advertise: SocketAddr,
    /// Address of the listener for operators and metrics.
    pub operator_listen: SocketAddr,
    /// Address of the platform's interfaces.
    pub platform: SocketAddr,
    /// Secret shared by the nodes; authenticates peers and is the key of the HMAC over callers' keys.
    pub site_secret: Vec<u8>,
    /// Bearer token of operators.
    pub operator_key: String,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Time for which callers may cache the answer of `/v1/entries`.
    pub entries_ttl: Duration,
    /// Policy for assigning slots.
    pub slot_policy: SlotPolicy,
    /// Length of a usage window; must be the same at all nodes.
    pub usage_window: Duration,
    /// Durations of the leases of duties; must be the same at all nodes.
    pub lease_times: LeaseTimes,
    /// Receivers that ignore fencing tokens.
    pub unfenced_receivers: UnfencedReceivers,
    /// Whether this node may place orders for upstreams.
    pub orders: OrderMode,
    /// Prices of upstreams.
    pub prices: UpstreamPrices,
}

/// Interfaces of the platform that ignore fencing tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnfencedReceivers {
    /// Whether the interface for orders ignores them.
    pub orders: bool,
    /// Whether the interface for usage reports ignores them.
    pub usage: bool,
}

/// Whether a node may place orders for upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderMode {
    /// The node places orders for the availability zones whose leases it holds.
    On,
    /// The node places no orders.
    Off,
}

/// Hourly price of one upstream by kind; the unit is arbitrary but the same for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamPrices {
    /// Price of an upstream that the platform does not evict.
    pub dependable: u64,
    /// Price of an upstream that the platform may evict.
    pub cheap: u64,
}

impl NodeSettings {
    /// Resolves each setting from its flag, else its environment variable, else its default.
    ///
    /// Returns every error in flags and variables, unknown variables included.
    pub fn resolve(
        options: &ServeOptions,
        variables: &[(String, String)],
    ) -> Result<Self, Vec<SettingError>> {
        let mut reader = SettingReader::new(variables);
        let listen = reader.required("listen", &options.listen, ADDRESS);
        let peer_listen = reader.required("peer-listen", &options.peer_listen, ADDRESS);
        let advertise = reader.optional("advertise", &options.advertise, ADDRESS);
        let peer_advertise = reader.optional("peer-advertise", &options.peer_advertise, ADDRESS);
        let operator_listen = reader.required("operator-listen", &options.operator_listen, ADDRESS);
        let platform = reader.required("platform", &options.platform, ADDRESS);
        let node = reader.required("node", &options.node, NAME).map(|SettingName(name)| name);
        let zone = reader.required("zone", &options.zone, NAME).map(|SettingName(name)| name);
        let region = reader.or_default("region", &options.region, "local", NAME);
        let cluster = reader.or_default("cluster", &options.cluster, "berylstep", NAME);
        let site_secret = reader.secret("site-secret-file", &options.site_secret_file);
        let operator_key = reader.secret("operator-key-file", &options.operator_key_file);
        let max_body_bytes =
            reader.or_default("max-body-bytes", &options.max_body_bytes, "4194304", COUNT);
        let max_connections =
            reader.or_default("max-connections", &options.max_connections, "4096", COUNT);
        let entries_ttl_ms: Option<Count> =
            reader.or_default("entries-ttl-ms", &options.entries_ttl_ms, "5000", COUNT);
        let slot_policy =
            reader.or_default("slot-policy", &options.slot_policy, "arbiter", "arbiter or alone");
        let usage_window_ms: Option<Count> =
            reader.or_default("usage-window-ms", &options.usage_window_ms, "60000", COUNT);
        let lease_expiry_ms: Option<Count> =
            reader.or_default("lease-expiry-ms", &options.lease_expiry_ms, "6000", COUNT);
        let unfenced =
            reader.or_default("unfenced-receivers", &options.unfenced_receivers, "none", RECEIVERS);
        let orders = reader.or_default("orders", &options.orders, "on", "on or off");
        let dependable_price: Option<Count> =
            reader.or_default("dependable-price", &options.dependable_price, "300", COUNT);
        let cheap_price: Option<Count> =
            reader.or_default("cheap-price", &options.cheap_price, "100", COUNT);
        let resolved = (|| {
            Some(Self {
                node: node?,
                cluster: cluster.map(|SettingName(name)| name)?,
                region: region.map(|SettingName(name)| name)?,
                zone: zone?,
                listen: listen?,
                advertise: advertise.or(listen)?,
                peer_listen: peer_listen?,
                peer_advertise: peer_advertise.or(peer_listen)?,
                operator_listen: operator_listen?,
                platform: platform?,
                site_secret: site_secret?.into_bytes(),
                operator_key: operator_key?,
                max_body_bytes: max_body_bytes.map(|Count(count)| count)?,
                max_connections: max_connections.map(|Count(count)| count)?,
                entries_ttl: Duration::from_millis(entries_ttl_ms?.0 as u64),
                slot_policy: slot_policy?,
                usage_window: Duration::from_millis(usage_window_ms?.0 as u64),
                lease_times: LeaseTimes {
                    expiry: Duration::from_millis(lease_expiry_ms?.0 as u64),
                },
                unfenced_receivers: unfenced?,
                orders: orders?,
                prices: UpstreamPrices {
                    dependable: dependable_price?.0 as u64,
                    cheap: cheap_price?.0 as u64,
                },
            })
        })();
        match resolved {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }
}

// Descriptions of accepted values, for error messages.
const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8080";
const NAME: &str = "1 to 63 letters, digits, dots or dashes";
const RECEIVERS: &str = "none, orders, usage or orders,usage";
const COUNT: &str = "a whole number from 1";
const SECRET: &str = "a file with at least 16 bytes, or the secret itself in the variable";

/// Returns the environment variable of a flag without leading dashes.
pub fn environment_variable(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

#[derive(Clone, Debug)]
struct SettingName(SharedName);

impl FromStr for SettingName {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let valid_char = |c: char| c.is_ascii_alphanumeric() || c == '.' || c == '-';
        let valid = (1..=63).contains(&text.len()) && text.chars().all(valid_char);
        valid.then(|| Self(text.into())).ok_or(())
    }
}

#[derive(Clone, Copy, Debug)]
struct Count(usize);

impl FromStr for Count {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text.parse() {
            Ok(count) if count > 0 => Ok(Self(count)),
            _ => Err(()),
        }
    }
}

impl FromStr for SlotPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "arbiter" => Ok(Self::Arbiter),
            "alone" => Ok(Self::Alone),
            _ => Err(()),
        }
    }
}

impl FromStr for UnfencedReceivers {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "none" => Ok(Self::default()),
            "orders" => Ok(Self { orders: true, usage: false }),
            "usage" => Ok(Self { orders: false, usage: true }),
            "orders,usage" => Ok(Self { orders: true, usage: true }),
            _ => Err(()),
        }
    }
}

impl FromStr for OrderMode {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(()),
        }
    }
}

/// Reads settings and collects errors.
#[derive(Debug)]
struct SettingReader<'a> {
    variables: &'a [(String, String)],
    known: Vec<String>,
    errors: Vec<SettingError>,
}

impl<'a> SettingReader<'a> {
    fn new(variables: &'a [(String, String)]) -> Self {
        let mut reader = Self { variables, known: Vec::new(), errors: Vec::new() };
        reader.known =
            crate::cli::SERVE_FLAGS.iter().map(|flag| environment_variable(flag)).collect();
        reader.known.extend(OTHER_VARIABLES.iter().map(|&name| name.to_owned()));
        reader.known.extend(["site-secret", "operator-key"].map(environment_variable));
        for (name, _) in variables {
            if name.starts_with(VARIABLE_PREFIX) && !reader.known.contains(name) {
                reader.errors.push(SettingError::Unknown { variable: name.clone() });
            }
        }
        reader
    }

    /// Returns the value of a flag, else of its environment variable.
    fn raw_value(&self, flag: &str, option: &Option<String>) -> Option<String> {
        option.clone().or_else(|| self.variable(&environment_variable(flag)))
    }

    fn variable(&self, name: &str) -> Option<String> {
        let found = self.variables.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.clone())
    }

    fn optional<T: FromStr>(
        &mut self,
        flag: &'static str,
        option: &Option<String>,
        accepted: &'static str,
    ) -> Option<T> {
        let value = self.raw_value(flag, option)?;
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                let variable = environment_variable(flag);
                self.errors.push(SettingError::Invalid { flag, variable, value, accepted });
                None
            }
        }
    }

    fn required<T: FromStr>(
        &mut self,
        flag: &'static str,
        option: &Option<String>,
        accepted: &'static str,
    ) -> Option<T> {
        if self.raw_value(flag, option).is_none() {
            let variable = environment_variable(flag);
            self.errors.push(SettingError::Missing { flag, variable, accepted });
        }
        self.optional(flag, option, accepted)
    }

    fn or_default<T: FromStr>(
        &mut self,
        flag: &'static str,
        option: &Option<String>,
        default: &str,
        accepted: &'static str,
    ) -> Option<T> {
        let value = self.raw_value(flag, option).unwrap_or_else(|| default.to_owned());
        self.optional(flag, &Some(value), accepted)
    }

    /// Reads a secret from the file named by `flag`, or from the variable without `_FILE`.
    fn secret(&mut self, flag: &'static str, option: &Option<String>) -> Option<String> {
        let variable = environment_variable(flag.trim_end_matches("-file"));
        let path = self.raw_value(flag, option);
        let secret = match (&path, self.variable(&variable)) {
            (Some(path), _) => std::fs::read_to_string(path).ok(),
            (None, secret) => secret,
        };
        let secret = secret.map(|secret| secret.trim().to_owned());
        match (secret, path) {
            (Some(secret), _) if secret.len() >= MIN_SECRET_BYTES => return Some(secret),
            (_, Some(value)) => {
                let accepted = SECRET;
                self.errors.push(SettingError::Invalid { flag, variable, value, accepted });
            }
            (Some(_), None) => {
                let (value, accepted) = ("too short".to_owned(), SECRET);
                self.errors.push(SettingError::Invalid { flag, variable, value, accepted });
            }
            (None, None) => {
                self.errors.push(SettingError::Missing { flag, variable, accepted: SECRET });
            }
        }
        None
    }
}
