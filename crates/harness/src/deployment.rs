//! A deployment of control replicas, nodes and stand-ins, each a process.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::process;
use crate::settings;
use crate::{Error, caller, execution_log};

/// Longest wait for a deployment to reach an expected state.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
/// Longest status that an error shows, in bytes.
const MAX_SHOWN_BYTES: usize = 1_500;
/// Pause between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a replica's decision on a ticket, after which the next replica is tried.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a replica's answer to a query; a paused replica does not answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// VM of a backend server, which runs a node and the stand-in of the server.
#[derive(Debug)]
pub struct Vm {
    /// Configuration of the backend server.
    pub server: settings::Server,
    /// Node.
    pub node: process::Process,
    /// Stand-in of the backend server.
    pub standin: process::Process,
}

impl Vm {
    /// Returns the node's address for callers.
    pub fn caller(&self) -> &str {
        self.node.field("caller").unwrap_or("")
    }

    /// Returns the address of the stand-in.
    pub fn standin_address(&self) -> &str {
        self.standin.last_word()
    }

    /// Pauses both processes, like a VM that the hypervisor does not schedule.
    pub fn pause(&self) {
        self.node.pause();
        self.standin.pause();
    }

    /// Resumes both processes.
    pub fn resume(&self) {
        self.standin.resume();
        self.node.resume();
    }

    /// Returns the executions that the stand-in has logged, including those of its earlier runs.
    pub fn executions(&self) -> Vec<execution_log::Execution> {
        execution_log::parse(&self.server.name, &self.standin.log())
    }

    /// Kills both processes, like the loss of the VM.
    pub fn kill(&mut self) {
        self.node.kill();
        self.standin.kill();
    }
}

/// Control replicas, nodes and stand-ins on one loopback address.
#[derive(Debug)]
pub struct Deployment {
    /// Configuration that it was started with.
    pub spec: settings::Spec,
    /// Its loopback address.
    pub ip: String,
    /// Pause between two polls of the status; a large deployment, whose status is long, needs a
    /// longer one.
    pub poll_interval: Duration,
    /// Control replicas; `None` for one that was killed.
    pub control: Vec<Option<process::Process>>,
    /// Backend servers' VMs.
    pub vms: Vec<Vm>,
    bin: PathBuf,
    directory: tempfile::TempDir,
    http: reqwest::Client,
}

impl Deployment {
    /// Starts all processes, with the programs in the directory `bin`.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub fn start(bin: &Path, spec: settings::Spec) -> Result<Self, Error> {
        let directory =
            tempfile::tempdir().map_err(|e| Error::Io("create a temporary directory", e))?;
        let mut deployment = Self {
            ip: random_ip(),
            poll_interval: POLL_INTERVAL,
            control: (0..spec.replicas).map(|_| None).collect(),
            vms: Vec::new(),
            bin: bin.to_owned(),
            directory,
            http: caller::client()?,
            spec,
        };
        for index in 0..deployment.spec.replicas {
            deployment.start_control(index)?;
        }
        for server in deployment.spec.servers.clone() {
            let vm = deployment.start_vm(&server)?;
            deployment.vms.push(vm);
        }
        Ok(deployment)
    }

    /// Returns the HTTP client that the deployment's own requests use.
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Returns the warnings and errors that the processes have logged.
    pub fn warnings(&self) -> Vec<String> {
        let control = self.control.iter().flatten();
        let vms = self.vms.iter().flat_map(|vm| [&vm.node, &vm.standin]);
        let mut warnings = Vec::new();
        for process in control.chain(vms) {
            let log = process.log();
            let lines = log
                .lines()
                .filter(|line| line.contains(" WARN ") || line.contains("ERROR"));
            warnings.extend(lines.map(|line| format!("{}: {line}", process.name())));
        }
        warnings
    }

    /// Returns the data directory of a control replica.
    pub fn data_directory(&self, index: usize) -> PathBuf {
        self.directory.path().join(format!("control-{index}"))
    }

    /// Starts or restarts a control replica.
    ///
    /// # Errors
    ///
    /// Fails if it does not become ready.
    pub fn start_control(&mut self, index: usize) -> Result<(), Error> {
        let data = self.data_directory(index);
        let settings = settings::control(&self.spec, &self.ip, index, &data.to_string_lossy());
        let name = format!("control-{index}");
        self.control[index] = Some(self.start_daemon(&name, "sequoiayoke-control", &settings)?);
        Ok(())
    }

    /// Starts the node and the stand-in of a backend server's VM.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub fn start_vm(&self, server: &settings::Server) -> Result<Vm, Error> {
        let node = self.start_node(server)?;
        let standin = self.start_standin(server, node.field("backend").unwrap_or(""))?;
        Ok(Vm {
            server: server.clone(),
            node,
            standin,
        })
    }

    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails if it does not become ready.
    pub fn start_node(&self, server: &settings::Server) -> Result<process::Process, Error> {
        let settings = settings::node(&self.spec, &self.ip, server);
        self.start_daemon(
            &format!("node-{}", server.name),
            "sequoiayoke-node",
            &settings,
        )
    }

    /// Starts the stand-in of a backend server, which announces itself to `node`.
    ///
    /// # Errors
    ///
    /// Fails if it does not become ready.
    pub fn start_standin(
        &self,
        server: &settings::Server,
        node: &str,
    ) -> Result<process::Process, Error> {
        let mut arguments = vec![
            format!("--name={}", server.name),
            format!("--listen={}:0", self.ip),
            format!("--node={node}"),
            format!("--slots={}", server.slots),
            format!("--delay-ms={}", server.delay_ms),
            "--connections=130".to_owned(),
            "--checks-sender".to_owned(),
            format!("--token={}", settings::TOKEN),
        ];
        let services = server.services.iter();
        arguments.extend(services.map(|service| format!("--service={service}")));
        if server.checks_fencing {
            arguments.push("--checks-fencing".to_owned());
        }
        let name = format!("standin-{}", server.name);
        let log = self.directory.path().join(format!("{name}.log"));
        let program = self.bin.join("sequoiayoke-standin");
        let environment: &[_] = match self.spec.log_executions {
            true => &execution_log::ENVIRONMENT,
            false => &[],
        };
        process::Process::start_with_environment(&name, &program, &arguments, environment, log)
    }

    /// Replaces the node of a VM by a new process on the same addresses.
    ///
    /// The stand-in keeps running.
    ///
    /// # Errors
    ///
    /// Fails if the node does not become ready.
    pub fn restart_node(&mut self, index: usize) -> Result<(), Error> {
        let vm = &mut self.vms[index];
        vm.node.kill();
        let mut settings = settings::node(&self.spec, &self.ip, &vm.server);
        for name in ["caller", "backend"] {
            settings["listen"][name] = json!(vm.node.field(name));
        }
        let name = format!("node-{}", self.vms[index].server.name);
        let node = self.start_daemon(&name, "sequoiayoke-node", &settings)?;
        self.vms[index].node = node;
        Ok(())
    }

    /// Restarts both processes of a VM that was killed.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub fn restart_vm(&mut self, index: usize) -> Result<(), Error> {
        let server = self.vms[index].server.clone();
        self.vms[index] = self.start_vm(&server)?;
        Ok(())
    }

    /// Returns the executions that all stand-ins have logged, ordered by their start.
    pub fn executions(&self) -> Vec<execution_log::Execution> {
        let mut executions: Vec<_> = self.vms.iter().flat_map(Vm::executions).collect();
        executions.sort_by_key(|execution| execution.at_us);
        executions
    }

    /// Returns the index of the VM whose backend server has this name.
    pub fn index_of(&self, server: &str) -> Option<usize> {
        let mut vms = self.vms.iter();
        vms.position(|vm| vm.server.name == server)
    }

    /// Waits until a key has an owner; returns the index of the owner's VM and the epoch.
    ///
    /// # Errors
    ///
    /// Fails if it has no owner in time.
    pub async fn find_owner(&self, service: &str, key: &str) -> Result<(usize, u64), Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for address in self.operator_addresses() {
                let path = format!("/v1/explain/{service}/{key}");
                let Some((200, body)) = self.query_address(&address, &path).await else {
                    continue;
                };
                let name = body["holder"]["server"].as_str().unwrap_or("");
                let epoch = body["holder"]["epoch"].as_u64();
                if let (Some(index), Some(epoch)) = (self.index_of(name), epoch) {
                    return Ok((index, epoch));
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout(format!("an owner of {service}/{key}")))
    }

    /// Sends a query to the operator address of a replica.
    ///
    /// Returns `None` if there is no answer in time, for example because the replica is paused.
    pub async fn query_address(&self, address: &str, path: &str) -> Option<(u16, Value)> {
        let url = format!("http://{address}{path}");
        let result = self.http.get(url).timeout(QUERY_TIMEOUT).send().await;
        let answer = result.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.json().await.ok()?))
    }

    fn start_daemon(
        &self,
        name: &str,
        program: &str,
        settings: &Value,
    ) -> Result<process::Process, Error> {
        let file = self.directory.path().join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string()).map_err(|e| Error::Io("write settings", e))?;
        let log = self.directory.path().join(format!("{name}.log"));
        let arguments = ["--settings".to_owned(), file.to_string_lossy().into_owned()];
        process::Process::start(name, &self.bin.join(program), &arguments, log)
    }

    /// Returns the replicas' addresses for operators.
    pub fn operator_addresses(&self) -> Vec<String> {
        let count = self.spec.replicas;
        (0..count)
            .map(|index| settings::operator_address(&self.ip, index))
            .collect()
    }

    /// Returns the status that the leader reports, or `None` if no replica answers as the leader.
    pub async fn status(&self) -> Option<Value> {
        for address in self.operator_addresses() {
            if let Some((200, status)) = self.query_address(&address, "/v1/status").await {
                return Some(status);
            }
        }
        None
    }

    /// Returns the index of the replica that leads.
    pub async fn leader(&self) -> Option<usize> {
        let status = self.status().await?;
        let name = status["leader"].as_str()?;
        name.strip_prefix("control-")?.parse().ok()
    }

    /// Submits a ticket to each replica in turn until the leader decides on it.
    ///
    /// # Errors
    ///
    /// Fails if the leader does not decide in time.
    pub async fn submit(&self, ticket: &Value) -> Result<(u16, Value), Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for address in self.operator_addresses() {
                let url = format!("http://{address}/v1/tickets");
                let request = self.http.post(url).json(ticket).timeout(TICKET_TIMEOUT);
                let result = request.send().await;
                let Ok(answer) = result else { continue };
                let status = answer.status().as_u16();
                if status == 421 || status == 504 {
                    continue;
                }
                return Ok((status, answer.json().await?));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout("a decision on a ticket".to_owned()))
    }

    /// Waits until `condition`, which `description` names in errors, holds for the leader's status.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold in time.
    pub async fn wait_status<F>(&self, description: &str, condition: F) -> Result<Value, Error>
    where
        F: Fn(&Value) -> bool,
    {
        let start = Instant::now();
        let mut last = Value::Null;
        while start.elapsed() < MAX_WAIT {
            if let Some(status) = self.status().await {
                if condition(&status) {
                    return Ok(status);
                }
                last = status;
            }
            tokio::time::sleep(self.poll_interval).await;
        }
        let last = last.to_string();
        let last = shorten(&last, MAX_SHOWN_BYTES);
        Err(Error::Timeout(format!(
            "{description}; last status: {last}"
        )))
    }

    /// Waits until every node has joined and accepts requests.
    ///
    /// The control plane lists a node before the node has received its view, and a node
    /// without a view rejects every request.
    ///
    /// # Errors
    ///
    /// Fails if a node does not join or does not accept requests in time.
    pub async fn wait_joined(&self) -> Result<(), Error> {
        let count = self.vms.len();
        let has_all_servers = |status: &Value| {
            status["servers"]
                .as_array()
                .is_some_and(|servers| servers.len() == count)
        };
        self.wait_status("all nodes have joined", has_all_servers)
            .await?;
        for vm in &self.vms {
            self.wait_ready(vm).await?;
        }
        Ok(())
    }

    async fn wait_ready(&self, vm: &Vm) -> Result<(), Error> {
        let url = format!("http://{}/v1/ready", vm.caller());
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            let result = self.http.get(&url).send().await;
            if result.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout(format!(
            "node of {} is ready",
            vm.server.name
        )))
    }

    /// Creates every service of the deployment with ticket 1, and waits until each slice is owned.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is not accepted or a slice stays vacant.
    pub async fn create_services(&self, slices: u32) -> Result<(), Error> {
        let mut names: Vec<_> = self.spec.servers.iter().flat_map(|s| &s.services).collect();
        names.sort();
        names.dedup();
        let objects = names.iter().map(|name| {
            json!({ "service": { "name": name, "idempotent": ["GET", "HEAD"], "slices": slices } })
        });
        let ticket = json!({ "number": 1, "objects": objects.collect::<Vec<_>>() });
        let (status, answer) = self.submit(&ticket).await?;
        if status != 200 {
            return Err(Error::Timeout(format!("ticket 1: {status} {answer}")));
        }
        let count = names.len();
        let is_owned = |status: &Value| {
            let services = status["services"].as_array();
            services.is_some_and(|services| {
                services.len() == count
                    && services.iter().all(|service| service["vacant"] == json!(0))
            })
        };
        self.wait_status("every slice has an owner", is_owned)
            .await?;
        Ok(())
    }
}

/// Returns the longest start of `text` that has at most `max` bytes and whole characters.
///
/// # Examples
///
/// ```
/// use sequoiayoke_harness::deployment;
///
/// assert_eq!(deployment::shorten("köşk", 2), "k");
/// assert_eq!(deployment::shorten("köşk", 3), "kö");
/// assert_eq!(deployment::shorten("desk", 100), "desk");
/// ```
pub fn shorten(text: &str, max: usize) -> &str {
    &text[..text.floor_char_boundary(max)]
}

/// Returns a random loopback address, which another deployment is unlikely to use.
fn random_ip() -> String {
    let octet = |low: u8| low + rand::random::<u8>() % 200;
    format!("127.{}.{}.{}", octet(20), octet(20), octet(20))
}
