//! A whole site as child processes: platform, upstreams and nodes.

pub mod operate;

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::client::{CallAnswer, CallRequest};
use crate::process::{binary, free_address, ChildProcess};

/// Site secret of trial sites.
pub const SITE_SECRET: &str = "trial-site-secret-0123456789";

/// Operators' key of trial sites.
pub const OPERATOR_KEY: &str = "trial-operator-key-0123456789";

/// Variable with the log filter of nodes.
const LOG_VARIABLE: &str = "BERYLSTEP_LOG";

/// Log filter of nodes where the variable is not set.
const LOG_FILTER: &str = "warn";

/// Time within which a condition has to come true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Slots of an upstream whose flags name none.
const DEFAULT_SLOTS: u32 = 8;

/// One node's process and addresses.
#[derive(Debug)]
pub struct SiteNode {
    /// Name.
    pub name: String,
    /// Process.
    pub process: ChildProcess,
    /// Caller listener.
    pub caller_address: SocketAddr,
    /// Peer listener.
    pub peer_address: SocketAddr,
    /// Operator listener.
    pub operator_address: SocketAddr,
}

/// One upstream's process and its entry in the VM list.
#[derive(Debug)]
pub struct SiteUpstream {
    /// Process.
    pub process: ChildProcess,
    /// Address.
    pub address: SocketAddr,
    /// Entry in the VM list.
    pub vm: Value,
}

/// A site; its processes end when it is dropped.
#[derive(Debug)]
pub struct TrialSite {
    /// Platform's process.
    pub platform: ChildProcess,
    /// Platform's address.
    pub platform_address: SocketAddr,
    /// Upstreams in the order of their start.
    pub upstreams: Vec<SiteUpstream>,
    /// Nodes in the order of their start.
    pub nodes: Vec<SiteNode>,
}

impl TrialSite {
    /// Starts a site with only a platform.
    pub fn start() -> std::io::Result<Self> {
        let mut command = standin("platform");
        let (platform, platform_address) = ChildProcess::start_listener(&mut command)?;
        Ok(Self { platform, platform_address, upstreams: Vec::new(), nodes: Vec::new() })
    }

    /// Starts a model engine and lists it; `arguments` are flags of `standin engine`.
    pub fn add_engine(
        &mut self,
        pool: &str,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        self.add_upstream("engine", pool, zone, arguments)
    }

    /// Starts a plain service and lists it; `arguments` are flags of `standin service`.
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

    /// Replaces the platform's VM list by the present upstreams.
    pub fn publish_vms(&self) {
        let vms: Vec<_> = self.upstreams.iter().map(|upstream| &upstream.vm).collect();
        self.call(CallRequest::post(self.platform_address, "/control/vms", &vms));
    }

    /// Sets the platform's faults; see [`crate::platform::PlatformFaults`].
    pub fn set_faults(&self, faults: &Value) {
        self.call(CallRequest::post(self.platform_address, "/control/faults", faults));
    }

    /// Starts a node; `arguments` are further flags of `berylstep serve`.
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

    /// Starts a node again, at the same addresses, after its process ended.
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

    /// Sends an operator's change to a node.
    pub fn apply(&self, node: usize, change: &Value) -> CallAnswer {
        let operator_address = self.nodes[node].operator_address;
        self.call(CallRequest::post(operator_address, "/operator/apply", change).key(OPERATOR_KEY))
    }

    /// Sends a call that must be answered.
    pub fn call(&self, call: CallRequest) -> CallAnswer {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match smol::block_on(call.clone().send()) {
                Ok(answer) => return answer,
                Err(err) if Instant::now() > deadline => panic!("no answer: {err}"),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Waits until `condition` holds.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every node serves and names all nodes to callers.
    pub fn wait_ready(&self) {
        for node in &self.nodes {
            self.wait_until("all nodes know each other", |site| {
                let answer = site.call(CallRequest::get(node.caller_address, "/v1/entries"));
                answer.json()["entries"].as_array().map_or(0, Vec::len) == site.nodes.len()
            });
        }
    }

    /// Waits until every node answers `path` with one of the `statuses` for the holder of `key`.
    pub fn wait_status(&self, path: &str, key: &str, statuses: &[u16]) {
        for node in &self.nodes {
            self.wait_until("the expected status", |site| {
                let answer = site.call(CallRequest::get(node.caller_address, path).key(key));
                statuses.contains(&answer.status)
            });
        }
    }
}

/// Slots that the flags of an engine give it.
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
