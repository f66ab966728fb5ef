//! Operator actions on a trial site, and nodes behind relays that can cut their connections.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::{start_node, SiteNode, TrialSite, OPERATOR_KEY};
use crate::client::{CallAnswer, CallRequest};
use crate::process::free_address;
use crate::relay::{RelayMode, TcpRelay};

/// Relays on the connections of a node.
#[derive(Debug)]
pub struct NodeRelays {
    /// Relay of connections from other nodes to this one.
    pub peers: TcpRelay,
    /// Relay of connections from this node to the platform.
    pub platform: TcpRelay,
}

impl TrialSite {
    /// Starts a node that reaches the platform and is reached by other nodes through relays.
    pub fn add_relayed_node(
        &mut self,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<NodeRelays> {
        let name = format!("n{}", self.nodes.len());
        let [caller_address, peer_address, operator_address] =
            [free_address(), free_address(), free_address()];
        let relays = NodeRelays {
            peers: TcpRelay::start(peer_address)?,
            platform: TcpRelay::start(self.platform_address)?,
        };
        let advertised = relays.peers.address().to_string();
        let mut flags = vec!["--peer-advertise", &*advertised];
        flags.extend(arguments);
        let addresses = [caller_address, peer_address, operator_address];
        let process = start_node(relays.platform.address(), &name, zone, addresses, &flags)?;
        self.nodes.push(SiteNode { process, name, caller_address, peer_address, operator_address });
        Ok(relays)
    }

    /// Starts a node with a given name, on free addresses.
    pub fn add_node_named(
        &mut self,
        name: &str,
        zone: &str,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        let name = name.to_owned();
        let addresses = [free_address(), free_address(), free_address()];
        let [caller_address, peer_address, operator_address] = addresses;
        let process = start_node(self.platform_address, &name, zone, addresses, arguments)?;
        self.nodes.push(SiteNode { process, name, caller_address, peer_address, operator_address });
        Ok(())
    }

    /// Closes all links between nodes and waits until they have been established again.
    ///
    /// Each link then runs through the relay of the node with the higher name. This does not hold
    /// right after a join, since a new node dials the others itself.
    pub fn reestablish_links(&self, relays: &[NodeRelays]) {
        for relay in relays {
            relay.peers.set_mode(RelayMode::Cut);
        }
        for index in 0..self.nodes.len() {
            self.wait_until("the links are cut", |site| site.linked_peers(index) == 0);
        }
        for relay in relays {
            relay.peers.set_mode(RelayMode::Open);
        }
        for index in 0..self.nodes.len() {
            self.wait_until("the nodes have linked again", |site| {
                site.linked_peers(index) == site.nodes.len() - 1
            });
        }
    }

    /// Returns the answer of a node to `/operator/status`.
    pub fn status(&self, node: usize) -> Value {
        let operator_address = self.nodes[node].operator_address;
        self.call(CallRequest::get(operator_address, "/operator/status").key(OPERATOR_KEY)).json()
    }

    /// Returns the number of peers that a node has heard from within the last 600 ms.
    pub fn linked_peers(&self, node: usize) -> usize {
        let status = self.status(node);
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let is_heard = |member: &&Value| member["heard_ms"].as_u64().is_some_and(|ms| ms < 600);
        members.iter().filter(is_heard).count()
    }

    /// Returns the configuration version in force at a node.
    pub fn version(&self, node: usize) -> u64 {
        self.status(node)["config_version"].as_u64().unwrap_or_default()
    }

    /// Submits a change based on the version in force at the node.
    pub fn change(&self, node: usize, change: &Value) -> CallAnswer {
        let mut change = change.clone();
        change["against"] = json!(self.version(node));
        self.apply(node, &change)
    }

    /// Queries a node for the outcome of the change with this token.
    pub fn change_outcome(&self, node: usize, token: &str) -> CallAnswer {
        let target = format!("/operator/changes/{token}");
        self.call(CallRequest::get(self.nodes[node].operator_address, &target).key(OPERATOR_KEY))
    }

    /// Returns the entry addresses that a node advertises to callers.
    pub fn advertised_entries(&self, node: usize) -> Vec<SocketAddr> {
        let answer =
            self.call(CallRequest::get(self.nodes[node].caller_address, "/v1/entries")).json();
        let entries = answer["entries"].as_array().cloned().unwrap_or_default();
        let urls = entries.iter().filter_map(|entry| entry["url"].as_str());
        urls.filter_map(|url| url.strip_prefix("http://")?.parse().ok()).collect()
    }

    /// Returns the rows of the platform's table whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Value> {
        let target = format!("/table/scan?prefix={prefix}&after=&limit=100000");
        let answer = self.call(CallRequest::get(self.platform_address, &target)).json();
        answer["rows"].as_array().cloned().unwrap_or_default()
    }
}

/// Returns a change that creates a class, an organisation with `key`, and routes to the model pool
/// `drafter` and the service pool `booking`.
pub fn initial_change(key: &str) -> Value {
    let class = json!({ "class": {
        "name": "drafting", "tier": 2, "latency_ms": 500, "attainment": 0.9, "deadline_ms": 10_000,
    }});
    let model = json!({ "route": {
        "name": "drafter", "match": { "model": "drafter" }, "pool": "drafter",
        "classes": ["drafting"],
    }});
    let booking = json!({ "route": {
        "name": "booking", "match": { "prefix": "/booking" }, "pool": "booking",
        "classes": ["drafting"],
    }});
    let organisation = json!({ "organisation": { "name": "rivers" } });
    json!({
        "against": 0,
        "put": [class, organisation, model, booking],
        "grant": [{ "organisation": "rivers", "key": key }],
    })
}
