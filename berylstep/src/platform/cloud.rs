//! Calls that are the duty of one node at a time: usage reports and orders of replicas.

use std::time::Duration;

use berylstep_core::fleet::window::WindowCounts;
use http_types::{Method, Request};
use serde::Serialize;

use super::store::encode;
use super::{rejected, CallError, PlatformClient};

/// Longest time for one call; a call that got no answer may still be carried out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

const HOLDER: &str = "Berylstep-Duty-Holder";
const FENCING: &str = "Berylstep-Fencing-Token";
const OK: u16 = 200;

/// Under whose duty a call is made.
#[derive(Clone, Copy, Debug)]
pub struct DutyTerms<'a> {
    /// Name of the node that holds the duty.
    pub holder: &'a str,
    /// Fencing token of its lease.
    pub fencing: u64,
}

/// An order for the number of replicas of one kind in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOrder {
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the reclaimable kind is ordered.
    pub spot: bool,
    /// Number wanted.
    pub count: u32,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct UsageBody<'a> {
    window_index: u64,
    counts: &'a WindowCounts,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired_count: u32,
    #[serde(skip_serializing_if = "is_false")]
    spot: bool,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde hands a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl PlatformClient {
    /// Reports the requests of each organisation that began in one window.
    pub async fn report_usage(
        &self,
        terms: DutyTerms<'_>,
        window: u64,
        counts: &WindowCounts,
    ) -> Result<(), CallError> {
        let body = encode(&UsageBody { window_index: window, counts })?;
        self.duty_call("/usage", terms, body).await
    }

    /// Orders replicas.
    pub async fn order_replicas(
        &self,
        terms: DutyTerms<'_>,
        order: &ReplicaOrder,
    ) -> Result<(), CallError> {
        let body = encode(&OrderBody {
            service: &order.service,
            zone: &order.zone,
            desired_count: order.count,
            spot: order.spot,
        })?;
        self.duty_call("/scaling", terms, body).await
    }

    async fn duty_call(
        &self,
        path: &str,
        terms: DutyTerms<'_>,
        body: Vec<u8>,
    ) -> Result<(), CallError> {
        let mut request: Request = self.request(Method::Post, path, &[])?;
        request.insert_header(HOLDER, terms.holder);
        request.insert_header(FENCING, terms.fencing.to_string());
        request.set_body(body);
        request.set_content_type(http_types::mime::JSON);
        match self.call(request, CALL_TIMEOUT).await? {
            (OK, _) => Ok(()),
            (status, body) => Err(rejected(status, &body)),
        }
    }
}
