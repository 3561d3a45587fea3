//! Faults of stand-ins.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::deployment::{MAX_WAIT, Vm};
use crate::{Error, settings};

/// Pause between two looks at a load.
const LOOK: Duration = Duration::from_millis(10);

/// Gives a fault command to the stand-in of a VM.
///
/// A connection that breaks is tried again, since a fault may have broken it.
///
/// # Errors
///
/// Fails if the stand-in does not take it in time.
pub async fn set(
    http: &reqwest::Client,
    pair: &Vm,
    name: &str,
    fields: &Value,
) -> Result<(), Error> {
    let url = format!("http://{}/fault/v1/{name}", pair.standin_address());
    let start = Instant::now();
    loop {
        match http.post(&url).json(fields).send().await {
            Ok(answer) => {
                answer.error_for_status()?;
                return Ok(());
            }
            Err(error) if start.elapsed() >= MAX_WAIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Returns what the present run of the stand-in has counted.
///
/// # Errors
///
/// Fails if the stand-in does not answer.
pub async fn executions(http: &reqwest::Client, pair: &Vm) -> Result<Value, Error> {
    let url = format!("http://{}/fault/v1/executions", pair.standin_address());
    Ok(http.get(url).send().await?.json().await?)
}

/// Returns the numbers of requests that run and that wait at the stand-in.
///
/// # Errors
///
/// Fails if the stand-in does not answer.
pub async fn load(http: &reqwest::Client, pair: &Vm) -> Result<(u64, u64), Error> {
    let url = format!("http://{}/v1/load", pair.standin_address());
    let sent = http.get(url).header("sequoiayoke-sender", settings::TOKEN);
    let body: Value = sent.send().await?.json().await?;
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    Ok((number("running"), number("queued")))
}

/// Waits until `condition` holds for the running and waiting requests of the stand-in.
///
/// # Errors
///
/// Fails if it does not hold in time.
pub async fn wait_load<F>(http: &reqwest::Client, pair: &Vm, condition: F) -> Result<(), Error>
where
    F: Fn(u64, u64) -> bool,
{
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        // A fault may break this connection too.
        if let Ok((running, queued)) = load(http, pair).await
            && condition(running, queued)
        {
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
    Err(Error::Timeout("the load of a stand-in".to_owned()))
}
