//! Service levels of the requests that this node served.

use std::cell::RefCell;

use berylstep_core::burn::{BurnCount, BurnTable, TargetOutcome, WindowCounts};
use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::desired::{DesiredState, RouteEntry};

use crate::burn::report::{BurnReport, ClassReport, ClassTarget, OrganisationReport};
use crate::clock::RuntimeClock;

/// Largest number of organisations counted separately; 32,000 take about 3 MB.
const MAX_ORGANISATIONS: usize = 32_000;

/// Largest number of organisations in a report.
const MAX_REPORTED_ORGANISATIONS: usize = 100;

/// Name under which all other organisations are counted.
const OTHER_ORGANISATIONS: &str = "(others)";

/// Counts met and missed latency targets by route and by organisation.
#[derive(Debug)]
pub struct ServiceLevels {
    clock: RuntimeClock,
    routes: RefCell<BurnTable>,
    organisations: RefCell<HashMap<SharedName, BurnCount>>,
}

impl ServiceLevels {
    /// Creates empty counts.
    pub fn new(clock: RuntimeClock) -> Self {
        Self { clock, routes: RefCell::default(), organisations: RefCell::default() }
    }

    /// Counts a finished request.
    pub fn count_request(
        &self,
        route: &SharedName,
        organisation: Option<&SharedName>,
        outcome: TargetOutcome,
    ) {
        self.routes.borrow_mut().record(self.clock.now(), route, outcome);
        let Some(organisation) = organisation else { return };
        let mut organisations = self.organisations.borrow_mut();
        let is_separate =
            organisations.len() < MAX_ORGANISATIONS || organisations.contains_key(organisation);
        let name = if is_separate { organisation.clone() } else { OTHER_ORGANISATIONS.into() };
        organisations.entry(name).or_default().add(outcome);
    }

    /// Returns a report on the routes of `desired`, and drops the counts of all other routes.
    /// `wanted` is the wanted fraction of requests within target, `nodes` the number of live nodes.
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
        reports.truncate(MAX_REPORTED_ORGANISATIONS);
        reports
    }
}
