//! A whole deployment.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::process;
use crate::settings;
use crate::{Error, caller, execution_log};

/// Time that a deployment has to reach an expected state.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
/// Bytes of a status that an error shows.
const MAX_SHOWN: usize = 1_500;
/// Pause between two looks at a state.
const LOOK: Duration = Duration::from_millis(10);
/// Time that a replica has to decide about a ticket before the next one is asked.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a replica has to answer an operator; a paused one does not answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(500);

/// A backend server's VM: its node and its stand-in.
#[derive(Debug)]
pub struct Vm {
    /// What it was made of.
    pub server: settings::Server,
    /// The node.
    pub node: process::Process,
    /// The stand-in of the backend server.
    pub standin: process::Process,
}

impl Vm {
    /// Returns the address for callers of the node.
    pub fn caller(&self) -> &str {
        self.node.field("caller").unwrap_or("")
    }

    /// Returns the address of the stand-in.
    pub fn standin_address(&self) -> &str {
        self.standin.last_word()
    }

    /// Pauses both processes, as a VM does that is not scheduled.
    pub fn pause(&self) {
        self.node.pause();
        self.standin.pause();
    }

    /// Resumes both processes.
    pub fn resume(&self) {
        self.standin.resume();
        self.node.resume();
    }

    /// Returns the executions that the stand-in of this name has logged, also in earlier runs.
    pub fn executions(&self) -> Vec<execution_log::Execution> {
        execution_log::parse(&self.server.name, &self.standin.log())
    }

    /// Ends both processes at once, as a lost VM would.
    pub fn kill(&mut self) {
        self.node.kill();
        self.standin.kill();
    }
}

/// Control replicas, nodes and stand-ins on one loopback address.
#[derive(Debug)]
pub struct Deployment {
    /// What it was made of.
    pub spec: settings::Spec,
    /// Its loopback address.
    pub ip: String,
    /// Pause between two looks at the status; a large deployment's status is long.
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
    /// Starts all processes; the programs are in the directory `bin`.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub fn start(bin: &Path, spec: settings::Spec) -> Result<Self, Error> {
        let directory = tempfile::tempdir().map_err(|e| Error::Io("make a directory", e))?;
        let mut deployment = Self {
            ip: random_ip(),
            poll_interval: LOOK,
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
            let pair = deployment.start_vm(&server)?;
            deployment.vms.push(pair);
        }
        Ok(deployment)
    }

    /// Returns the HTTP client.
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Returns the warnings and errors that any process has logged.
    pub fn warnings(&self) -> Vec<String> {
        let control = self.control.iter().flatten();
        let pairs = self.vms.iter().flat_map(|pair| [&pair.node, &pair.standin]);
        let mut found = Vec::new();
        for process in control.chain(pairs) {
            let log = process.log();
            let bad = log
                .lines()
                .filter(|line| line.contains(" WARN ") || line.contains("ERROR"));
            found.extend(bad.map(|line| format!("{}: {line}", process.name())));
        }
        found
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
        let text = settings::control(&self.spec, &self.ip, index, &data.to_string_lossy());
        let name = format!("control-{index}");
        self.control[index] = Some(self.daemon(&name, "sequoiayoke-control", &text)?);
        Ok(())
    }

    /// Starts a backend server's VM.
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
        let text = settings::node(&self.spec, &self.ip, server);
        self.daemon(&format!("node-{}", server.name), "sequoiayoke-node", &text)
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

    /// Replaces the node of a VM by a new run on the same addresses; its stand-in goes on.
    ///
    /// # Errors
    ///
    /// Fails if the node does not become ready.
    pub fn restart_node(&mut self, index: usize) -> Result<(), Error> {
        let pair = &mut self.vms[index];
        pair.node.kill();
        let mut text = settings::node(&self.spec, &self.ip, &pair.server);
        for name in ["caller", "backend"] {
            text["listen"][name] = json!(pair.node.field(name));
        }
        let name = format!("node-{}", self.vms[index].server.name);
        let node = self.daemon(&name, "sequoiayoke-node", &text)?;
        self.vms[index].node = node;
        Ok(())
    }

    /// Starts both processes of a VM again after they were killed.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub fn restart_vm(&mut self, index: usize) -> Result<(), Error> {
        let server = self.vms[index].server.clone();
        self.vms[index] = self.start_vm(&server)?;
        Ok(())
    }

    /// Returns the executions that all stand-ins have logged, in the order of their starts.
    pub fn executions(&self) -> Vec<execution_log::Execution> {
        let mut all: Vec<_> = self.vms.iter().flat_map(Vm::executions).collect();
        all.sort_by_key(|one| one.at_us);
        all
    }

    /// Returns the number of the VM whose backend server has this name.
    pub fn index_of(&self, server: &str) -> Option<usize> {
        let mut pairs = self.vms.iter();
        pairs.position(|pair| pair.server.name == server)
    }

    /// Waits until a key has an owner; returns the number of its VM and the epoch.
    ///
    /// # Errors
    ///
    /// Fails if it has none in time.
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
            tokio::time::sleep(LOOK).await;
        }
        Err(Error::Timeout(format!("an owner of {service}/{key}")))
    }

    /// Asks one replica; `None` if it does not answer soon, for example while it is paused.
    pub async fn query_address(&self, address: &str, path: &str) -> Option<(u16, Value)> {
        let url = format!("http://{address}{path}");
        let sent = self.http.get(url).timeout(OPERATOR_TIMEOUT).send().await;
        let answer = sent.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.json().await.ok()?))
    }

    fn daemon(&self, name: &str, program: &str, text: &Value) -> Result<process::Process, Error> {
        let file = self.directory.path().join(format!("{name}.jsonc"));
        fs::write(&file, text.to_string()).map_err(|e| Error::Io("write settings", e))?;
        let log = self.directory.path().join(format!("{name}.log"));
        let arguments = ["--settings".to_owned(), file.to_string_lossy().into_owned()];
        process::Process::start(name, &self.bin.join(program), &arguments, log)
    }

    /// Returns the addresses for operators.
    pub fn operator_addresses(&self) -> Vec<String> {
        let count = self.spec.replicas;
        (0..count)
            .map(|index| settings::operator_address(&self.ip, index))
            .collect()
    }

    /// Asks the leader for its status.
    pub async fn status(&self) -> Option<Value> {
        for address in self.operator_addresses() {
            if let Some((200, status)) = self.query_address(&address, "/v1/status").await {
                return Some(status);
            }
        }
        None
    }

    /// Returns the number of the replica that leads.
    pub async fn leader(&self) -> Option<usize> {
        let status = self.status().await?;
        let name = status["leader"].as_str()?;
        name.strip_prefix("control-")?.parse().ok()
    }

    /// Submits a ticket to the leader, and repeats it until it is decided.
    ///
    /// # Errors
    ///
    /// Fails if no leader decides in time.
    pub async fn submit(&self, ticket: &Value) -> Result<(u16, Value), Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for address in self.operator_addresses() {
                let url = format!("http://{address}/v1/tickets");
                let sent = self.http.post(url).json(ticket).timeout(TICKET_TIMEOUT);
                let sent = sent.send().await;
                let Ok(answer) = sent else { continue };
                let status = answer.status().as_u16();
                if status == 421 || status == 504 {
                    continue;
                }
                return Ok((status, answer.json().await?));
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(Error::Timeout("a decision about a ticket".to_owned()))
    }

    /// Waits until `condition` holds for the leader's status.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold in time.
    pub async fn wait_status<F>(&self, what: &str, condition: F) -> Result<Value, Error>
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
        let mut last = last.to_string();
        last.truncate(MAX_SHOWN);
        Err(Error::Timeout(format!("{what}; last status: {last}")))
    }

    /// Waits until every node has joined and takes requests.
    ///
    /// The control plane shows a node before the node has its view, and until then it
    /// refuses every request.
    ///
    /// # Errors
    ///
    /// Fails if they do not join in time.
    pub async fn wait_joined(&self) -> Result<(), Error> {
        let count = self.vms.len();
        let all = |status: &Value| {
            status["servers"]
                .as_array()
                .is_some_and(|s| s.len() == count)
        };
        self.wait_status("all nodes have joined", all).await?;
        for pair in &self.vms {
            self.wait_ready(pair).await?;
        }
        Ok(())
    }

    async fn wait_ready(&self, pair: &Vm) -> Result<(), Error> {
        let url = format!("http://{}/v1/ready", pair.caller());
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            let sent = self.http.get(&url).send().await;
            if sent.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(Error::Timeout(format!("{} is ready", pair.server.name)))
    }

    /// Creates every service of the deployment by ticket number 1, and waits until all is owned.
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
        let owned = |status: &Value| {
            let services = status["services"].as_array();
            services.is_some_and(|all| {
                all.len() == count && all.iter().all(|one| one["vacant"] == json!(0))
            })
        };
        self.wait_status("every slice has an owner", owned).await?;
        Ok(())
    }
}

/// Returns a loopback address that no other deployment is likely to have.
fn random_ip() -> String {
    let part = |low: u8| low + rand::random::<u8>() % 200;
    format!("127.{}.{}.{}", part(20), part(20), part(20))
}
