//! HTTP endpoints for readiness, the directory, metrics and reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_http::ServerConnection;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;
use smol::future;
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use crate::clock::RuntimeClock;
use crate::gateway::connection_quota::ConnectionQuota;
use crate::gateway::freshness::FreshnessWatch;
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::reach::ReachWatch;
use crate::gateway::service_level::ServiceLevels;
use crate::gateway::settings::{GatewaySettings, LiveSettings};
use crate::gateway::stop::{GracefulStop, DIRECTORY_TTL};
use crate::gateway::telemetry::GatewayMetrics;
use crate::platform::endpoints::{directory_body, CallerLocation, DIRECTORY_PATH, READINESS_PATH};

/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the fleet status.
pub const STATUS_PATH: &str = "/status";

/// Path of the service-level burn report.
pub const BURN_PATH: &str = "/burn";

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest number of nodes in a directory response, if there are as many. A caller whose own
/// availability zone has a single node thus knows another one if that zone fails.
const MIN_ADDRESSES: usize = 2;

/// Largest number of nodes in a directory response.
const MAX_ADDRESSES: usize = 64;

/// Serves all endpoints of a gateway except callers' requests.
pub struct EndpointServer {
    /// Settings at startup.
    pub settings: Rc<GatewaySettings>,
    /// Settings that a reload may change.
    pub live: Rc<LiveSettings>,
    /// Clock for the idle timeout and peers' liveness.
    pub clock: RuntimeClock,
    /// Local copy of the platform's store.
    pub mirror: Rc<StoreMirror>,
    /// Whether this node is behind the desired state of its peers.
    pub freshness: Rc<FreshnessWatch>,
    /// Other nodes of the fleet.
    pub peers: Rc<PeerTable>,
    /// Graceful stop and the number of open requests.
    pub stop: Rc<GracefulStop>,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
    /// Outcomes against latency targets.
    pub levels: Rc<ServiceLevels>,
    /// Services that this node is cut off from.
    pub reach: Rc<ReachWatch>,
}

impl EndpointServer {
    /// Accepts connections until the process ends.
    pub async fn listen(
        self: Rc<Self>,
        tasks: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        quota: Rc<ConnectionQuota>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    let serving = async move { server.serve(stream).await };
                    tasks.spawn(quota.serve(serving)).detach();
                }
                Err(err) => {
                    log::warn!("event=accept_failed listener=endpoints error=\"{err}\"");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            // A burst of connections must not hold up requests in progress.
            future::yield_now().await;
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let mut connection = ServerConnection::new(stream);
        while connection.is_reusable() {
            let receiving = Box::pin(connection.receive(0));
            let received = match self.clock.timeout(IDLE_TIMEOUT, receiving).await {
                Some(Ok(Some(received))) => received,
                Some(Ok(None)) | None => return,
                Some(Err(err)) => {
                    log::debug!("event=endpoint_request_rejected error=\"{err}\"");
                    return;
                }
            };
            let method = received.request.method();
            let response = self.respond(&received.request);
            connection.serve(method, async move { response }).await;
        }
    }

    fn respond(&self, request: &Request) -> Response {
        match request.url().path() {
            READINESS_PATH => self.readiness(),
            DIRECTORY_PATH => self.directory(&CallerLocation::read(request)),
            METRICS_PATH => self.metrics(),
            STATUS_PATH => json_response(&self.status()),
            BURN_PATH => match self.mirror.desired() {
                Some(desired) => {
                    let nodes = self.peers.nodes(self.clock.now()).len() + 1;
                    let wanted = self.live.get().wanted_attainment;
                    json_response(&self.levels.report(&desired, wanted, nodes))
                }
                None => Response::new(StatusCode::ServiceUnavailable),
            },
            _ => Response::new(StatusCode::NotFound),
        }
    }

    /// Returns whether the directory may send callers to this node.
    pub(super) fn is_ready(&self) -> bool {
        self.freshness.is_usable() && !self.stop.is_stopping()
    }

    fn readiness(&self) -> Response {
        match self.is_ready() {
            true => Response::new(StatusCode::Ok),
            false => Response::new(StatusCode::ServiceUnavailable),
        }
    }

    fn directory(&self, location: &CallerLocation) -> Response {
        let addresses = self.addresses(&location.zone);
        if addresses.is_empty() {
            return Response::new(StatusCode::ServiceUnavailable);
        }
        let ttl = DIRECTORY_TTL.min(self.live.get().directory_ttl_max).as_secs_f64();
        let mut response = Response::new(StatusCode::Ok);
        match directory_body(&addresses, ttl) {
            Ok(body) => response.set_body(body),
            Err(err) => {
                log::error!("event=directory_failed error=\"{err}\"");
                response.set_status(StatusCode::InternalServerError);
            }
        }
        response
    }

    /// Returns the ready nodes of the caller's availability zone. Nodes of other zones fill the
    /// list up to `MIN_ADDRESSES`.
    fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let nodes = self.peers.nodes(self.clock.now());
        let ready: Vec<_> = nodes.iter().filter(|node| node.ready).collect();
        let is_own_sound = self.reach.unreachable().is_empty();
        // Callers of a node that is cut off from replicas are served by other nodes in the end.
        let has_sound = is_own_sound || ready.iter().any(|node| node.unreachable.is_empty());
        let others = ready.into_iter().filter(|node| !has_sound || node.unreachable.is_empty());
        let others = others.map(|node| (&*node.zone, node.caller_address));
        let own = (&*self.settings.zone, self.settings.listen.callers);
        let own = (self.is_ready() && (is_own_sound || !has_sound)).then_some(own);
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (node_zone, address) in own.into_iter().chain(others) {
            match node_zone == zone {
                true => local.push(address),
                false => remote.push(address),
            }
        }
        fastrand::shuffle(&mut remote);
        let missing = MIN_ADDRESSES.saturating_sub(local.len());
        local.extend(remote.into_iter().take(missing));
        local.truncate(MAX_ADDRESSES);
        local
    }

    fn metrics(&self) -> Response {
        let now = self.clock.now();
        self.metrics.open_requests.set(self.stop.open_requests().into());
        self.metrics.live_peers.set(self.peers.nodes(now).len() as i64);
        let store_age = self.mirror.store_age().map_or(-1, |age| age.as_millis() as i64);
        self.metrics.store_age.set(store_age);
        self.metrics.desired_version.set(self.mirror.desired_version() as i64);
        self.freshness.report_metrics();
        let ready = self.mirror.replicas.borrow().rows().filter(|row| row.is_ready()).count();
        self.metrics.ready_replicas.set(ready as i64);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(self.metrics.render());
        response
    }
}

fn json_response(content: &impl Serialize) -> Response {
    match serde_json::to_vec(content) {
        Ok(body) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.set_content_type(http_types::mime::JSON);
            response
        }
        Err(err) => {
            log::error!("event=report_failed error=\"{err}\"");
            Response::new(StatusCode::InternalServerError)
        }
    }
}
