//! Runs a complete site as child processes: platform, upstreams and nodes.

pub mod operate;

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::client::{CallAnswer, CallRequest};
use crate::process::{binary, free_address, ChildProcess};

/// Secret that the nodes of a trial site share, for links between nodes.
pub const SITE_SECRET: &str = "trial-site-secret-0123456789";

/// Operator key of the nodes of a trial site.
pub const OPERATOR_KEY: &str = "trial-operator-key-0123456789";

/// Environment variable with the log filter of nodes.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

/// Log filter of nodes if the variable is not set.
const LOG_FILTER: &str = "warn";

/// Time to wait for a condition or an answer before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of slots of an upstream without the `--slots` flag.
const DEFAULT_SLOTS: u32 = 8;

/// Process and addresses of a node.
#[derive(Debug)]
pub struct SiteNode {
    /// Name; `n` and the index in [`TrialSite::nodes`] unless another one is given.
    pub name: String,
    /// Process of the node.
    pub process: ChildProcess,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    /// Address of the peer listener.
    pub peer_address: SocketAddr,
    /// Address of the operator listener.
    pub operator_address: SocketAddr,
}

/// Process of an upstream and its entry in the VM list.
#[derive(Debug)]
pub struct SiteUpstream {
    /// Process of the upstream.
    pub process: ChildProcess,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Entry in the VM list.
    pub vm: Value,
}

/// A site for tests; dropping it kills its processes.
#[derive(Debug)]
pub struct TrialSite {
    /// Process of the platform.
    pub platform: ChildProcess,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Upstreams, in start order.
    pub upstreams: Vec<SiteUpstream>,
    /// Nodes, in start order.
    pub nodes: Vec<SiteNode>,
}

impl TrialSite {
    /// Starts a site that consists only of the platform.
    pub fn start() -> std::io::Result<Self> {
        let mut command = standin("platform");
        let (platform, platform_address) = ChildProcess::start_listener(&mut command)?;
        Ok(Self { platform, platform_address, upstreams: Vec::new(), nodes: Vec::new() })
    }

    /// Starts a model engine and adds it to the VM list; `arguments` are flags of `standin engine`.
    pub fn add_engine(
        &mut self,
        pool: &str,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        self.add_upstream("engine", pool, zone, arguments)
    }

    /// Starts a plain service and adds it to the VM list; `arguments` are flags of `standin
    /// service`.
    pub fn add_service(
        &mut self,
        pool: &str,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        self.add_upstream("service", pool, zone, arguments)
    }

    fn add_upstream(
        &mut self,
        role: &str,
        pool: &str,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        let id = format!("{pool}-{}", self.upstreams.len());
        let mut command = standin(role);
        command.args(["--name", &id]).args(arguments);
        let (process, address) = ChildProcess::start_listener(&mut command)?;
        let vm = json!({
            "id": id, "address": address, "zone": zone, "role": role, "pool": pool,
            "kind": "dependable", "slots": slots_argument(arguments), "state": "live",
        });
        self.upstreams.push(SiteUpstream { process, address, vm });
        self.publish_vms();
        Ok(())
    }

    /// Replaces the platform's VM list with the current upstreams.
    pub fn publish_vms(&self) {
        let vms: Vec<_> = self.upstreams.iter().map(|upstream| &upstream.vm).collect();
        self.call(CallRequest::post(self.platform_address, "/control/vms", &vms));
    }

    /// Sets the platform's injected faults; see [`crate::platform::PlatformFaults`].
    pub fn set_faults(&self, faults: &Value) {
        self.call(CallRequest::post(self.platform_address, "/control/faults", faults));
    }

    /// Starts a node; `arguments` are additional flags of `berylstep serve`.
    pub fn add_node(&mut self, zone: &str, arguments: &[&str]) -> std::io::Result<()> {
        let name = format!("n{}", self.nodes.len());
        let [caller_address, peer_address, operator_address] =
            [free_address(), free_address(), free_address()];
        let node = SiteNode {
            process: start_node(
                self.platform_address,
                &name,
                zone,
                [caller_address, peer_address, operator_address],
                arguments,
            )?,
            name,
            caller_address,
            peer_address,
            operator_address,
        };
        self.nodes.push(node);
        Ok(())
    }

    /// Kills a node if it still runs and restarts it at the same addresses.
    pub fn restart_node(
        &mut self,
        index: usize,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        let platform = self.platform_address;
        let node = &mut self.nodes[index];
        node.process.kill();
        let addresses = [node.caller_address, node.peer_address, node.operator_address];
        node.process = start_node(platform, &node.name, zone, addresses, arguments)?;
        Ok(())
    }

    /// Submits a configuration change to a node.
    pub fn apply(&self, node: usize, change: &Value) -> CallAnswer {
        let operator_address = self.nodes[node].operator_address;
        self.call(CallRequest::post(operator_address, "/operator/apply", change).key(OPERATOR_KEY))
    }

    /// Sends a call, retrying until it is answered.
    ///
    /// # Panics
    ///
    /// If the call is not answered within [`WAIT_TIMEOUT`].
    pub fn call(&self, call: CallRequest) -> CallAnswer {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match smol::block_on(call.clone().send()) {
                Ok(answer) => return answer,
                Err(err) if Instant::now() > deadline => panic!("the call was not answered: {err}"),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Waits until `condition` holds.
    ///
    /// # Panics
    ///
    /// If it does not hold within [`WAIT_TIMEOUT`]; `what` describes it in the message.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every node serves and advertises all nodes to callers.
    pub fn wait_ready(&self) {
        for node in &self.nodes {
            self.wait_until("all nodes know each other", |site| {
                let answer = site.call(CallRequest::get(node.caller_address, "/v1/entries"));
                answer.json()["entries"].as_array().map_or(0, Vec::len) == site.nodes.len()
            });
        }
    }

    /// Waits until every node answers a request for `path` with `key` with one of `statuses`.
    pub fn wait_status(&self, path: &str, key: &str, statuses: &[u16]) {
        for node in &self.nodes {
            self.wait_until("the expected status", |site| {
                let answer = site.call(CallRequest::get(node.caller_address, path).key(key));
                statuses.contains(&answer.status)
            });
        }
    }
}

/// Returns the number of slots that the flags of an upstream set.
fn slots_argument(arguments: &[&str]) -> u32 {
    let mut pairs = arguments.windows(2);
    let given = pairs.find(|pair| pair[0] == "--slots").and_then(|pair| pair[1].parse().ok());
    given.unwrap_or(DEFAULT_SLOTS)
}

fn standin(role: &str) -> Command {
    let mut command = Command::new(binary("standin"));
    command.args([role, "--listen", "127.0.0.1:0"]);
    command
}

fn start_node(
    platform: SocketAddr,
    name: &str,
    zone: &str,
    [caller_address, peer_address, operator_address]: [SocketAddr; 3],
    arguments: &[&str],
) -> std::io::Result<ChildProcess> {
    let mut command = Command::new(binary("berylstep"));
    command.args(["serve", "--node", name, "--zone", zone]);
    for (flag, address) in [
        ("--listen", caller_address),
        ("--peer-listen", peer_address),
        ("--operator-listen", operator_address),
        ("--platform", platform),
    ] {
        command.args([flag, &address.to_string()]);
    }
    command.args(arguments);
    command.env("BERYLSTEP_SITE_SECRET", SITE_SECRET);
    command.env("BERYLSTEP_OPERATOR_KEY", OPERATOR_KEY);
    command.env(LOG_VARIABLE, std::env::var(LOG_VARIABLE).unwrap_or(LOG_FILTER.to_owned()));
    ChildProcess::start(&mut command)
}
