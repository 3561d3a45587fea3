//! Connections of operators.

use std::rc;
use std::time::Duration;

use sequoiayoke_http1::{request, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::{CLOSE_TIMEOUT, Config};
use crate::coordinator;
use crate::operator;

/// Maximum time for which a call waits for the control thread.
const CALL_TIMEOUT: Duration = Duration::from_millis(950);

/// Serves operators through `frontend`.
pub(super) async fn run<Frontend>(listener: TcpListener, config: rc::Rc<Config>, frontend: Frontend)
where
    Frontend: operator::Frontend,
{
    let frontend = rc::Rc::new(frontend);
    let stop = config.stop.clone();
    let handler = move |request: request::Request| {
        let (config, frontend) = (rc::Rc::clone(&config), rc::Rc::clone(&frontend));
        async move { handle(&request, &config, &*frontend).await }
    };
    let server = serve::Server::new(handler).with_stop(stop, CLOSE_TIMEOUT);
    if let Err(error) = server.run(listener).await {
        tracing::error!(%error, "the operators' listener has failed");
    }
}

async fn handle<Frontend>(
    request: &request::Request,
    config: &Config,
    frontend: &Frontend,
) -> serve::Reply
where
    Frontend: operator::Frontend,
{
    let target = &request.head.target;
    let call = match frontend.decode_call(request) {
        Ok(call) => call,
        Err(reply) => {
            let status = reply.status;
            tracing::info!(target, status, "an operator's call is invalid");
            return reply;
        }
    };
    let (reply, answer) = oneshot::channel();
    let event = coordinator::Event::Operator(call, reply);
    let answer = match config.events.try_send(event) {
        Ok(()) => match tokio::time::timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => operator::Answer::Unavailable,
        },
        Err(error) => {
            tracing::warn!(%error, "the control thread did not accept a call");
            operator::Answer::Unavailable
        }
    };
    let reply = frontend.encode_answer(target, &answer);
    tracing::info!(target, status = reply.status, "answered an operator");
    reply
}
