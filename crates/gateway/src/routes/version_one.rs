//! Routes of the deprecated version-1 API, on top of those of version 2.

use std::sync::Arc;

use bronzespoke_model::id;
use bronzespoke_request::admission;
use bytes::BytesMut;
use http::{Response, StatusCode, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    body, error,
    filter::{self, version_one},
    routes::{self, jobs, request},
    server::context,
};

/// Maximum length of a target's response that is converted to the form of version 1, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Serves `POST /v1/request`.
pub(crate) async fn request(
    context: &Arc<context::Context>,
    head: &Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    let view = Arc::clone(&context.handle.view.borrow());
    version_one::check_enabled(view.config.version_one)?;
    let limit = view.config.request_body_bytes as usize;
    let received = filter::body::receive(
        &head.headers,
        body,
        limit,
        &context.body_memory,
        &context.settings,
    )
    .await?;
    let parsed: version_one::Request = filter::json::parse(&received.bytes)?;
    let granted = filter::key::team_of(&context.handle, parsed.key.as_bytes())?;
    let team = &granted.team;
    version_one::count(&team.name, "request");
    let time_limit = parsed.time_limit(view.config.request_deadline_ms)?;
    let id = parsed
        .id
        .as_deref()
        .map(|id| filter::request_id::check(id, "id"))
        .transpose()?;
    let service = view.services.get(&parsed.service);
    let service = service.ok_or_else(|| request::unknown_name("service", &parsed.service))?;
    let params = request::Params {
        granted: Some(&granted),
        owner: admission::Owner::Team(team.id),
        service: service.id,
        service_name: &service.name,
        weight: team.quota.weight,
        limit: team.quota.requests,
        time_limit,
        id,
        body: filter::body::Received {
            bytes: parsed.body.into(),
            memory: received.memory,
        },
    };
    translate(request::serve(context, head, params).await?).await
}

/// Serves `POST /v1/job`.
pub(crate) async fn submit(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    version_one::check_enabled(context.handle.view.borrow().config.version_one)?;
    let parsed: version_one::Job = routes::receive_json(context, head, body).await?;
    let team = filter::key::team_of(&context.handle, parsed.key.as_bytes())?.team;
    version_one::count(&team.name, "job");
    let job = jobs::accept(context, head, team.id, None, parsed.spec()?).await?;
    Ok(routes::json(StatusCode::OK, &version_one::Accepted { job }))
}

/// Serves `GET /v1/job/{job}`.
pub(crate) async fn read(
    context: &context::Context,
    head: &Parts,
    job: id::JobId,
) -> Result<Response<body::Body>, error::Error> {
    version_one::check_enabled(context.handle.view.borrow().config.version_one)?;
    let key = head.headers.get(version_one::KEY_HEADER);
    let key = key.map_or(&b""[..], |value| value.as_bytes());
    let team = filter::key::team_of(&context.handle, key)?.team;
    version_one::count(&team.name, "read");
    let status = jobs::status(context, head, team.id, job, false).await?;
    let state = version_one::state_name(status.state);
    Ok(routes::json(StatusCode::OK, &version_one::State { job, state }))
}

async fn translate(response: Response<body::Body>) -> Result<Response<body::Body>, error::Error> {
    let failed =
        |message: &str| error::Error::unknown(StatusCode::BAD_GATEWAY, "target_failed", message.to_owned());
    let code = response.status().as_u16();
    let mut body = response.into_body();
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failed(&error.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        if received.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(failed("the answer is too long for version 1; use /v2"));
        }
        received.extend_from_slice(&data);
    }
    let text = std::str::from_utf8(&received)
        .map_err(|_error| failed("the answer is not text, as version 1 needs; use /v2"))?;
    let done = version_one::Done {
        status: "done",
        code,
        body: text,
    };
    Ok(routes::json(StatusCode::OK, &done))
}
