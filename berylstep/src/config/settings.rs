//! Settings of `berylstep serve`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::lease::LeaseTimes;
use displaydoc::Display;

use crate::cli::ServeOptions;

/// Shortest accepted site secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

const VARIABLE_PREFIX: &str = "BERYLSTEP_";

/// Variables that are read besides the flags' own.
const OTHER_VARIABLES: &[&str] = &[
    "BERYLSTEP_LOG",
    "BERYLSTEP_OPERATORS",
    "BERYLSTEP_AGAINST",
    "BERYLSTEP_TOKEN",
    "BERYLSTEP_SETTLE",
    "BERYLSTEP_JSON",
];

/// A setting that is missing, unknown or has no accepted value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingError {
    /// --{flag} (or {variable}) is required: {accepted}
    Missing {
        /// Flag without dashes.
        flag: &'static str,
        /// Environment variable.
        variable: String,
        /// Accepted values.
        accepted: &'static str,
    },
    /// --{flag} (or {variable}) is {value:?}, accepted: {accepted}
    Invalid {
        /// Flag without dashes.
        flag: &'static str,
        /// Environment variable.
        variable: String,
        /// Given value.
        value: String,
        /// Accepted values.
        accepted: &'static str,
    },
    /// {variable} is not a known variable
    Unknown {
        /// Environment variable.
        variable: String,
    },
}

impl std::error::Error for SettingError {}

/// How slots of upstreams are handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPolicy {
    /// One node at a time hands out each pool's slots.
    Arbiter,
    /// Every node decides alone from lagging load reports; the baseline for measurements.
    Alone,
}

/// Checked settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique within the cluster.
    pub node: SharedName,
    /// Name of the cluster; nodes of other clusters are turned away.
    pub cluster: SharedName,
    /// Region of the VM.
    pub region: SharedName,
    /// Availability zone of the VM.
    pub zone: SharedName,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address named to callers.
    pub advertise: SocketAddr,
    /// Address on which other nodes are served.
    pub peer_listen: SocketAddr,
    /// Address named to other nodes.
    pub peer_advertise: SocketAddr,
    /// Address on which operators and metrics are served.
    pub operator_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secret shared by the nodes: authenticates peers and keys the hashes of callers' keys.
    pub site_secret: Vec<u8>,
    /// Key that operators present.
    pub operator_key: String,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Most caller connections at once.
    pub max_connections: usize,
    /// Time for which callers keep the answer of `/v1/entries`.
    pub entries_ttl: Duration,
    /// How slots are handed out.
    pub slot_policy: SlotPolicy,
    /// Length of a usage window; the same at all nodes.
    pub usage_window: Duration,
    /// Durations of duties' leases; the same at all nodes.
    pub lease_times: LeaseTimes,
    /// Receivers that ignore fencing numbers.
    pub unfenced_receivers: UnfencedReceivers,
    /// Whether this node may place orders of upstreams.
    pub orders: OrderMode,
    /// Cost of upstreams.
    pub prices: ReplicaPrices,
}

/// Which receivers of the platform ignore fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnfencedReceivers {
    /// The interface for orders does.
    pub orders: bool,
    /// The interface for usage reports does.
    pub usage: bool,
}

/// Whether a node places orders of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderMode {
    /// Orders are placed under the zones' leases.
    On,
    /// No orders are placed.
    Off,
}

/// Cost of one upstream for an hour, by kind, in any unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPrices {
    /// Upstream that the platform does not evict.
    pub dependable: u64,
    /// Upstream that may be evicted.
    pub cheap: u64,
}

impl NodeSettings {
    /// Resolves flags, then environment variables, then defaults; reports every error.
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
                prices: ReplicaPrices {
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

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8080";
const NAME: &str = "1 to 63 letters, digits, dots or dashes";
const RECEIVERS: &str = "none, orders, usage or orders,usage";
const COUNT: &str = "a whole number from 1";
const SECRET: &str = "a file with at least 16 bytes, or the secret itself in the variable";

/// Variable of a flag.
pub fn variable_of(flag: &str) -> String {
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

/// Reads settings and gathers errors.
#[derive(Debug)]
struct SettingReader<'a> {
    variables: &'a [(String, String)],
    known: Vec<String>,
    errors: Vec<SettingError>,
}

impl<'a> SettingReader<'a> {
    fn new(variables: &'a [(String, String)]) -> Self {
        let mut reader = Self { variables, known: Vec::new(), errors: Vec::new() };
        reader.known = crate::cli::SERVE_FLAGS.iter().map(|flag| variable_of(flag)).collect();
        reader.known.extend(OTHER_VARIABLES.iter().map(|&name| name.to_owned()));
        reader.known.extend(["site-secret", "operator-key"].map(variable_of));
        for (name, _) in variables {
            if name.starts_with(VARIABLE_PREFIX) && !reader.known.contains(name) {
                reader.errors.push(SettingError::Unknown { variable: name.clone() });
            }
        }
        reader
    }

    fn given(&self, flag: &str, option: &Option<String>) -> Option<String> {
        option.clone().or_else(|| self.variable(&variable_of(flag)))
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
        let value = self.given(flag, option)?;
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                let variable = variable_of(flag);
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
        if self.given(flag, option).is_none() {
            let variable = variable_of(flag);
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
        let value = self.given(flag, option).unwrap_or_else(|| default.to_owned());
        self.optional(flag, &Some(value), accepted)
    }

    /// Reads a secret from the file of `flag`, or from the variable without `_FILE`.
    fn secret(&mut self, flag: &'static str, option: &Option<String>) -> Option<String> {
        let variable = variable_of(flag.trim_end_matches("-file"));
        let path = self.given(flag, option);
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
