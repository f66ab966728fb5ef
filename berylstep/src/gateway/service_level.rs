//! Service levels of the requests at this node.

use std::cell::RefCell;

use berylstep_core::burn::{BurnCount, BurnTable, TargetOutcome, WindowCounts};
use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::desired::{DesiredState, RouteEntry};

use crate::burn::report::{BurnReport, ClassReport, ClassTarget, OrganisationReport};
use crate::clock::RuntimeClock;

/// Organisations that are counted apart; 32,000 take about 3 MB.
const MAX_ORGANISATIONS: usize = 32_000;

/// Organisations that a report names.
const NAMED_ORGANISATIONS: usize = 100;

/// Name under which all other organisations are counted.
const OTHER_ORGANISATIONS: &str = "(others)";

/// Requests by route and by organisation, and whether they met the route's target.
#[derive(Debug)]
pub struct LevelLedger {
    clock: RuntimeClock,
    routes: RefCell<BurnTable>,
    organisations: RefCell<HashMap<SharedName, BurnCount>>,
}

impl LevelLedger {
    /// An empty ledger.
    pub fn new(clock: RuntimeClock) -> Self {
        Self { clock, routes: RefCell::default(), organisations: RefCell::default() }
    }

    /// Counts a request that has ended.
    pub fn count(
        &self,
        route: &SharedName,
        organisation: Option<&SharedName>,
        outcome: TargetOutcome,
    ) {
        self.routes.borrow_mut().record(self.clock.now(), route, outcome);
        let Some(organisation) = organisation else { return };
        let mut organisations = self.organisations.borrow_mut();
        let is_apart =
            organisations.len() < MAX_ORGANISATIONS || organisations.contains_key(organisation);
        let name = if is_apart { organisation.clone() } else { OTHER_ORGANISATIONS.into() };
        organisations.entry(name).or_default().add(outcome);
    }

    /// Report on the routes of `desired`; routes that it does not hold are forgotten.
    pub fn report(&self, desired: &DesiredState, wanted: f64, nodes: usize) -> BurnReport {
        let now = self.clock.now();
        let routes: HashMap<SharedName, &RouteEntry> =
            desired.routes().map(|route| (route.name.clone(), &**route)).collect();
        let mut table = self.routes.borrow_mut();
        table.retain(|name| routes.contains_key(name));
        let counts: HashMap<SharedName, WindowCounts> =
            table.counts(now).map(|(route, counts)| (route.clone(), counts)).collect();
        let classes = routes.into_iter().map(|(name, route)| {
            let counts = counts.get(&name).copied().unwrap_or_default();
            let target = ClassTarget {
                class: name,
                tier: route.priority,
                latency_ms: route.target.as_millis() as u64,
                attainment: wanted,
            };
            ClassReport::new(target, counts)
        });
        let mut classes: Vec<_> = classes.collect();
        classes.sort_by(|left, right| (left.tier, &left.class).cmp(&(right.tier, &right.class)));
        BurnReport {
            nodes: 1,
            live_nodes: nodes,
            counted_s: now.as_secs(),
            classes,
            organisations: self.organisations(),
        }
    }

    fn organisations(&self) -> Vec<OrganisationReport> {
        let counts = self.organisations.borrow();
        let reports = counts.iter().map(|(name, count)| OrganisationReport {
            organisation: name.clone(),
            met: count.met,
            missed: count.missed,
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by(|left, right| {
            (right.missed, &left.organisation).cmp(&(left.missed, &right.organisation))
        });
        reports.truncate(NAMED_ORGANISATIONS);
        reports
    }
}
