//! Resolves the organisation, route and class of a caller's request.

use std::sync::Arc;

use berylstep_core::collections::SharedName;
use berylstep_core::config::{ClassEntity, ConfigTable, RouteEntity};
use berylstep_core::key::KeyHash;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_http::ReceivedRequest;
use http_types::Request;
use serde::Deserialize;

use super::credentials::{presented_key, refuse_exposed_key};
use crate::node::NodeContext;

/// Header with which a caller selects one of the route's classes.
pub const CLASS_HEADER: &str = "berylstep-class";

/// Paths of the OpenAI-compatible model endpoints.
const MODEL_PATHS: &[&str] = &["/v1/chat/completions", "/v1/completions"];

/// Fields of a model request that are used for routing and scheduling.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ModelFields {
    /// Name of the requested model, which selects the route.
    #[serde(default)]
    pub model: String,
    /// Whether the caller requests a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Limit of output tokens, if the caller sets one.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A caller's request with its resolved organisation, route and class.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request line and headers.
    pub head: Request,
    /// Body, received completely.
    pub body: Arc<[u8]>,
    /// Organisation of the presented key; `None` for a request without a key on an open route.
    pub organisation: Option<SharedName>,
    /// Hash of the presented key.
    pub key: Option<KeyHash>,
    /// Route that matches the path or the model.
    pub route: Arc<RouteEntity>,
    /// Class that the caller selected, or the route's first.
    pub class: Arc<ClassEntity>,
    /// Parsed fields of a model request; `None` for plain services.
    pub model: Option<ModelFields>,
}

/// Resolves the organisation, route and class of a request.
///
/// # Errors
///
/// If the key is not valid or exposed to upstreams, no route matches, or the route doesn't have the
/// class.
pub fn resolve(
    node: &NodeContext,
    received: ReceivedRequest,
) -> Result<CallerRequest, RequestRefusal> {
    let ReceivedRequest { request, body } = received;
    let config = node.config.read().expect("config lock");
    let presented = presented_key(&request)?;
    let key = presented.map(|key| KeyHash::of(&node.settings.site_secret, key));
    let organisation = match &key {
        Some(hash) => Some(config.organisation_of(hash).cloned().ok_or_else(bad_key_refusal)?),
        None => None,
    };
    let secret = &node.settings.site_secret;
    refuse_exposed_key(&config, secret, &request, &body, presented)?;
    let (route, model) = find_route(&config, &request, &body)?;
    if organisation.is_none() && !route.open {
        return Err(bad_key_refusal());
    }
    let class = find_class(&config, &request, &route)?;
    Ok(CallerRequest { head: request, body: body.into(), organisation, key, route, class, model })
}

fn bad_key_refusal() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadKey, "the key is missing, unknown or withdrawn")
}

fn find_route(
    config: &ConfigTable,
    request: &Request,
    body: &[u8],
) -> Result<(Arc<RouteEntity>, Option<ModelFields>), RequestRefusal> {
    let path = request.url().path();
    if !MODEL_PATHS.contains(&path) {
        let route = config.path_route(path).cloned();
        let no_route = || RequestRefusal::not_run(RefusalReason::NoRoute, "no route for the path");
        return Ok((route.ok_or_else(no_route)?, None));
    }
    let fields: ModelFields = serde_json::from_slice(body).map_err(|err| {
        let message = format!("the body is not a valid model request: {err}");
        RequestRefusal::not_run(RefusalReason::BadRequest, message)
    })?;
    let route = config.model_route(&fields.model).cloned().ok_or_else(|| {
        let message = format!("there is no model {:?}", fields.model);
        RequestRefusal::not_run(RefusalReason::NoRoute, message)
    })?;
    Ok((route, Some(fields)))
}

fn find_class(
    config: &ConfigTable,
    request: &Request,
    route: &RouteEntity,
) -> Result<Arc<ClassEntity>, RequestRefusal> {
    let named = request.header(CLASS_HEADER).map(|values| values.last().as_str());
    let name = match named {
        Some(name) => route.classes.iter().find(|class| &***class == name),
        None => route.classes.first(),
    };
    let class = name.and_then(|name| config.class(name)).cloned();
    class.ok_or_else(|| {
        let message = "the route has no such class";
        RequestRefusal::not_run(RefusalReason::ClassNotAllowed, message)
    })
}
