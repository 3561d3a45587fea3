//! Configuration of a deployment, and the settings files of its processes.

use serde_json::{Value, json};

/// Secret that the processes of a deployment share.
const SECRET: &str = "harness-shared-secret-0001";
/// Token with which nodes authenticate to their backend servers.
pub const TOKEN: &str = "harness-backend-token-0001";
/// First port of control replica 0; the ports of replica n are 10 * n higher.
const CONTROL_PORT: u16 = 7100;

/// Configuration of a backend server and its node.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of the backend server.
    pub name: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time that a request takes, in ms.
    pub delay_ms: u64,
    /// Whether it checks fencing tokens.
    pub checks_fencing: bool,
}

/// Configuration of a deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of control replicas.
    pub replicas: usize,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Log level of control replicas and nodes.
    pub level: String,
    /// Whether the stand-ins log each execution.
    pub log_executions: bool,
    /// Whether nodes serve metrics.
    pub metrics: bool,
}

impl Spec {
    /// Creates the configuration of `replicas` control replicas without backend servers.
    pub fn new(replicas: usize) -> Self {
        Self {
            replicas,
            servers: Vec::new(),
            level: "info".to_owned(),
            log_executions: false,
            metrics: false,
        }
    }

    /// Makes the stand-ins log each execution; see [`crate::execution_log`].
    pub fn with_execution_log(mut self) -> Self {
        self.log_executions = true;
        self
    }

    /// Adds `count` backend servers for a service, spread over three failure domains.
    pub fn with_service(mut self, service: &str, count: usize, slots: u32, delay_ms: u64) -> Self {
        for number in 1..=count {
            self.servers.push(Server {
                name: format!("{service}-{number}"),
                services: vec![service.to_owned()],
                failure_domain: format!("domain-{}", (number - 1) % 3 + 1),
                slots,
                delay_ms,
                checks_fencing: true,
            });
        }
        self
    }

    /// Sets whether the backend servers added so far check fencing tokens.
    pub fn with_fencing(mut self, checks: bool) -> Self {
        for server in &mut self.servers {
            server.checks_fencing = checks;
        }
        self
    }
}

/// Returns the address of a control replica at `offset` from its first port.
fn address(ip: &str, index: usize, offset: u16) -> String {
    let port = CONTROL_PORT + 10 * u16::try_from(index).unwrap_or(0) + offset;
    format!("{ip}:{port}")
}

/// Returns the address of a control replica for nodes.
pub fn node_address(ip: &str, index: usize) -> String {
    address(ip, index, 1)
}

/// Returns the address of a control replica for operators.
pub fn operator_address(ip: &str, index: usize) -> String {
    address(ip, index, 2)
}

/// Returns the settings of a control replica.
pub fn control(spec: &Spec, ip: &str, index: usize, data: &str) -> Value {
    let replicas = (0..spec.replicas).map(|replica| {
        json!({
            "name": format!("control-{replica}"),
            "failure_domain": format!("domain-{}", replica % 3 + 1),
            "replica": address(ip, replica, 0),
            "node": node_address(ip, replica),
            "operator": operator_address(ip, replica),
        })
    });
    json!({
        "region": "anatolia",
        "replica": format!("control-{index}"),
        "failure_domain": format!("domain-{}", index % 3 + 1),
        "data": data,
        "secret": SECRET,
        "listen": {
            "replica": address(ip, index, 0),
            "node": node_address(ip, index),
            "operator": operator_address(ip, index),
        },
        "replicas": replicas.collect::<Vec<_>>(),
        "log": { "level": spec.level },
    })
}

/// Returns the settings of a node.
pub fn node(spec: &Spec, ip: &str, server: &Server) -> Value {
    let control = (0..spec.replicas).map(|replica| node_address(ip, replica));
    json!({
        "region": "anatolia",
        "failure_domain": server.failure_domain,
        "secret": SECRET,
        "listen": {
            "caller": format!("{ip}:0"),
            "peer": format!("{ip}:0"),
            "backend": format!("{ip}:0"),
            "metrics": spec.metrics.then(|| format!("{ip}:0")),
        },
        "control": control.collect::<Vec<_>>(),
        "backend": { "token": TOKEN },
        "log": { "level": spec.level },
    })
}
