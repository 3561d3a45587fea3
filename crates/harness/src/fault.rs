//! Faults that stand-ins inject on command, and their counters.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::deployment::{MAX_WAIT, Vm};
use crate::{Error, settings};

/// Pause between two polls of a load or two attempts of a command.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a fault command to the stand-in of a VM.
///
/// Retries after a failed connection, since an earlier fault may have broken it.
///
/// # Errors
///
/// Fails if the stand-in rejects the command or cannot be reached in time.
pub async fn set(
    http: &reqwest::Client,
    vm: &Vm,
    command: &str,
    fields: &Value,
) -> Result<(), Error> {
    let url = format!("http://{}/fault/v1/{command}", vm.standin_address());
    let start = Instant::now();
    loop {
        match http.post(&url).json(fields).send().await {
            Ok(answer) => {
                answer.error_for_status()?;
                return Ok(());
            }
            Err(error) if start.elapsed() >= MAX_WAIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Returns the execution counters of the stand-in's current process.
///
/// # Errors
///
/// Fails if the stand-in does not answer.
pub async fn executions(http: &reqwest::Client, vm: &Vm) -> Result<Value, Error> {
    let url = format!("http://{}/fault/v1/executions", vm.standin_address());
    Ok(http.get(url).send().await?.json().await?)
}

/// Returns the numbers of running and queued requests of the stand-in.
///
/// # Errors
///
/// Fails if the stand-in does not answer.
pub async fn load(http: &reqwest::Client, vm: &Vm) -> Result<(u64, u64), Error> {
    let url = format!("http://{}/v1/load", vm.standin_address());
    let request = http.get(url).header("sequoiayoke-sender", settings::TOKEN);
    let body: Value = request.send().await?.json().await?;
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    Ok((number("running"), number("queued")))
}

/// Waits until `condition` holds for the numbers of running and queued requests of the stand-in.
///
/// # Errors
///
/// Fails if it does not hold in time.
pub async fn wait_load<F>(http: &reqwest::Client, vm: &Vm, condition: F) -> Result<(), Error>
where
    F: Fn(u64, u64) -> bool,
{
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        // Polls again after an error, since a fault may break this connection too.
        if let Ok((running, queued)) = load(http, vm).await
            && condition(running, queued)
        {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::Timeout("the expected load of a stand-in".to_owned()))
}
