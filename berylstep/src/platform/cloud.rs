//! Calls that only the holder of the duties makes: usage reports and replica orders.

use std::time::Duration;

use berylstep_core::fleet::window::WindowCounts;
use http_types::{Method, Request};
use serde::Serialize;

use super::store::encode;
use super::{rejected, CallError, PlatformClient};

/// Timeout of one call; a call without a response may still be carried out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

const DUTY_HOLDER: &str = "Berylstep-Duty-Holder";
const FENCING_TOKEN: &str = "Berylstep-Fencing-Token";
const OK: u16 = 200;

/// Holder of the duties in whose name a call is made.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the node that holds the duties.
    pub node: &'a str,
    /// Fencing token of its lease, which lets the platform reject calls of an earlier holder.
    pub fencing: u64,
}

/// An order for the number of replicas of one kind in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOrder {
    /// Name of the service.
    pub service: String,
    /// Availability zone of the replicas.
    pub zone: String,
    /// Whether the order is for spot replicas, which the platform may reclaim.
    pub spot: bool,
    /// Desired number of replicas, in total.
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

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl PlatformClient {
    /// Reports the number of requests of each organisation that were counted in one window.
    pub async fn report_usage(
        &self,
        holder: DutyHolder<'_>,
        window: u64,
        counts: &WindowCounts,
    ) -> Result<(), CallError> {
        let body = encode(&UsageBody { window_index: window, counts })?;
        self.duty_call("/usage", holder, body).await
    }

    /// Orders a total number of replicas.
    pub async fn order_replicas(
        &self,
        holder: DutyHolder<'_>,
        order: &ReplicaOrder,
    ) -> Result<(), CallError> {
        let body = encode(&OrderBody {
            service: &order.service,
            zone: &order.zone,
            desired_count: order.count,
            spot: order.spot,
        })?;
        self.duty_call("/scaling", holder, body).await
    }

    async fn duty_call(
        &self,
        path: &str,
        holder: DutyHolder<'_>,
        body: Vec<u8>,
    ) -> Result<(), CallError> {
        let mut request: Request = self.request(Method::Post, path, &[])?;
        request.insert_header(DUTY_HOLDER, holder.node);
        request.insert_header(FENCING_TOKEN, holder.fencing.to_string());
        request.set_body(body);
        request.set_content_type(http_types::mime::JSON);
        match self.call(request, CALL_TIMEOUT).await? {
            (OK, _) => Ok(()),
            (status, body) => Err(rejected(status, &body)),
        }
    }
}
