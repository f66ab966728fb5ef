//! Cold replicas, and what this node may do about them with what it knows.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::cold::{ColdBounds, ColdRule, FleetSight, TURN_LIFETIME};
use berylstep_core::fleet::replica::ReplicaRow;
use berylstep_core::rendezvous;

use crate::clock::RuntimeClock;
use crate::gateway::attempt::ReplicaTarget;
use crate::gateway::cold_metrics::{ColdMetrics, WithheldCause};
use crate::gateway::mirror::StoreMirror;
use crate::gateway::peers::PeerTable;
use crate::gateway::request::{RequestHandler, RoutedRequest};
use crate::gateway::telemetry::GatewayMetrics;

/// Time after its start within which a node learns the size of the fleet.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Interval between two pulses from which a node counts as paused; it is usually a quarter of a second.
const PAUSE_TIME: Duration = Duration::from_millis(900);

/// Time after a pause in which a node hears from its peers and from the store again.
const RECOVERY_TIME: Duration = Duration::from_millis(600);

/// Time for which what this node knows of its fleet is not computed again, since it is asked for each replica.
const SIGHT_RETENTION: Duration = Duration::from_millis(10);

/// Tells which replicas are cold, and how much of their turns this node may hand out.
#[derive(Debug)]
pub struct ColdWatch {
    context: ColdContext,
    started_at: Duration,
    ticked_at: Cell<Duration>,
    recovers_until: Cell<Duration>,
    cold_replicas: Cell<i64>,
    /// What this node knows of its fleet, with the time of its computation.
    latest_sight: Cell<Option<(Duration, FleetSight)>>,
    metrics: ColdMetrics,
}

/// Components that a [`ColdWatch`] works with.
#[derive(Clone, Debug)]
pub struct ColdContext {
    /// Source of monotonic time.
    pub clock: RuntimeClock,
    /// Name of this node.
    pub node: SharedName,
    /// Local copy of the store.
    pub mirror: Rc<StoreMirror>,
    /// Other nodes of the fleet.
    pub peers: Rc<PeerTable>,
    /// Bounds on the requests to a cold replica.
    pub bounds: ColdBounds,
    /// Number of seeds, which a node that has heard from nobody takes for the fleet.
    pub seeds: usize,
    /// Metrics of this gateway.
    pub metrics: Rc<GatewayMetrics>,
}

impl ColdWatch {
    /// Creates a watch of a node that has just started.
    pub fn new(context: ColdContext) -> Self {
        let now = context.clock.now();
        let metrics = ColdMetrics::new(context.metrics.instruments());
        Self {
            metrics: metrics.expect("metric names and labels are valid"),
            context,
            started_at: now,
            ticked_at: Cell::new(now),
            recovers_until: Cell::new(Duration::ZERO),
            cold_replicas: Cell::new(0),
            latest_sight: Cell::new(None),
        }
    }

    /// Records that this node is about to send a pulse, and finds out whether it was paused before.
    pub fn record_tick(&self) {
        let now = self.context.clock.now();
        let interval = now.saturating_sub(self.ticked_at.replace(now));
        if interval >= PAUSE_TIME {
            log::info!("event=node_was_paused interval_ms={}", interval.as_millis());
            self.recovers_until.set(now + RECOVERY_TIME);
        }
    }

    /// Returns what this node knows of its fleet.
    fn sight(&self) -> FleetSight {
        let now = self.context.clock.now();
        match self.latest_sight.get() {
            Some((at, sight)) if now.saturating_sub(at) < SIGHT_RETENTION => sight,
            _ => {
                let sight = self.compute_sight();
                self.latest_sight.set(Some((now, sight)));
                sight
            }
        }
    }

    fn compute_sight(&self) -> FleetSight {
        let ColdContext { clock, mirror, peers, seeds, .. } = &self.context;
        let now = clock.now();
        let peak = peers.peak_nodes();
        let is_new = now.saturating_sub(self.started_at) < FLEET_DISCOVERY_TIME;
        let known = match is_new || peak == 1 {
            true => peak.max(seeds + 1),
            false => peak,
        };
        let interval = now.saturating_sub(self.ticked_at.get());
        FleetSight {
            heard: peers.heard_nodes(now),
            known,
            has_store: mirror.is_following_store() || peers.hears_store_follower(now),
            was_paused: interval >= PAUSE_TIME || now < self.recovers_until.get(),
        }
    }

    /// Returns the part of the turns of cold replicas that this node may hand out as their keeper.
    pub fn turn_share(&self) -> f64 {
        self.sight().turn_share()
    }

    /// Returns whether nodes that this one doesn't hear from probably hand out more turns than it does.
    pub fn is_small_part(&self) -> bool {
        self.sight().is_small_part()
    }

    /// Returns the part of a turn by which this node begins later to hand out the turns of a replica. It differs
    /// between nodes where many may do so without hearing each other.
    pub fn turn_lag(&self, replica: u32) -> f64 {
        match self.is_small_part() {
            true => {
                rendezvous::score(&self.context.node, &replica.to_string()) as f64 / u64::MAX as f64
            }
            false => 0.0,
        }
    }

    fn rule(&self, row: &ReplicaRow) -> Option<ColdRule> {
        self.context.mirror.desired()?.service(&row.entry.service)?.cold
    }

    /// Returns the rate at which turns for a replica are handed out because it is or was cold; `None` if it
    /// needs none.
    pub fn turn_rate(&self, row: &ReplicaRow) -> Option<f64> {
        let rule = self.rule(row)?;
        let bounds = &self.context.bounds;
        match self.sight().is_outdated() {
            true => Some(bounds.turn_rate(rule.per_second)),
            false => row.cold.turn_rate(&rule, bounds, self.context.clock.now()),
        }
    }

    /// Updates the metrics, and logs a change of the number of cold replicas.
    pub fn report(&self) {
        let now = self.context.clock.now();
        let cold = {
            let replicas = self.context.mirror.replicas.borrow();
            let is_cold =
                |row: &&ReplicaRow| self.rule(row).is_some_and(|rule| row.cold.is_cold(&rule, now));
            replicas.rows().filter(is_cold).count() as i64
        };
        self.metrics.cold_replicas.set(cold);
        let zones = self.context.mirror.replicas.borrow().evacuated().names().len();
        self.metrics.evacuated_zones.set(zones as i64);
        if self.cold_replicas.replace(cold) != cold {
            log::info!(
                "event=cold_replicas count={cold} share={:.2} outdated={}",
                self.turn_share(),
                self.sight().is_outdated()
            );
        }
    }
}

impl RequestHandler {
    /// Decides, when a request is about to be written to a replica, whether it may still be sent. The replica
    /// may have become cold, or its zone evacuated, since it was selected.
    pub(super) fn check_cold_target(
        &self,
        request: &RoutedRequest<'_>,
        target: &ReplicaTarget,
    ) -> Result<(), &'static str> {
        let cause = match self.withheld_cause(target) {
            Some(cause) => cause,
            None => return Ok(()),
        };
        self.cold.metrics.record_withheld(&request.service, cause);
        log::info!(
            "event=request_withheld id={} replica={} cause={}",
            request.id(),
            target.id,
            cause.label()
        );
        Err(cause.label())
    }

    fn withheld_cause(&self, target: &ReplicaTarget) -> Option<WithheldCause> {
        if self.is_evacuated(target) {
            return Some(WithheldCause::Evacuated);
        }
        let replicas = self.mirror.replicas.borrow();
        self.cold.turn_rate(replicas.get(&target.id)?)?;
        match target.turn_at {
            None => Some(WithheldCause::NoTurn),
            Some(at) if self.clock.now().saturating_sub(at) > TURN_LIFETIME => {
                Some(WithheldCause::LateTurn)
            }
            Some(_) => {
                self.cold.metrics.record_attempt();
                None
            }
        }
    }
}
