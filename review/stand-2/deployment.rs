//! A small deployment on loopback: the project's programs, started with the commands of the deploy
//! file and the settings of its templates.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    /// Sets the signal that a process gets when its parent ends.
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub inbound: u16,
    pub ready: u16,
    pub outbound: u16,
    pub control: u16,
    pub replicas: u16,
    pub sessions: u16,
    pub server: u16,
}

pub const HOST: &str = "jepu9.example";

pub fn core_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 91, 1, index)
}

pub fn side_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 91, 2, index)
}

/// Finds ten ports in a row that are free on all addresses.
fn free_ports(addresses: &[Ipv4Addr]) -> Ports {
    let start = 20_000 + (std::process::id() % 997) as u16 * 20;
    for first in (start..60_000)
        .step_by(10)
        .chain((20_000..start).step_by(10))
    {
        let is_free = (first..first + 10).all(|port| {
            let mut addresses = addresses.iter();
            addresses.all(|ip| TcpListener::bind((*ip, port)).is_ok())
        });
        if is_free {
            return Ports {
                inbound: first,
                ready: first + 1,
                outbound: first + 2,
                control: first + 3,
                replicas: first + 4,
                sessions: first + 5,
                server: first + 6,
            };
        }
    }
    panic!("no free ports");
}

/// A process of the project. It is killed when dropped.
pub struct Process {
    pub name: String,
    program: &'static str,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Process {
    pub fn start(&mut self) {
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.expect("the output file can be opened");
        let errors = output.try_clone().expect("the file has a second handle");
        let mut command = Command::new(self.program);
        // SAFETY: the call changes nothing but the signal that the new process gets.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("SEQUOIAYOKE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file starts"));
        self.record.line(format!("start {}", self.name));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("kill {}", self.name));
        }
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the resident memory in bytes.
    pub fn resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The machines: `cores` that serve control, and one `sidecar` for each name of a service.
pub struct Deployment {
    pub ports: Ports,
    pub cores: Vec<Process>,
    pub sides: Vec<Process>,
    pub services: Vec<String>,
    pub record: Arc<Record>,
    folder: PathBuf,
    /// Whether each core machine has a port of its own for others, which a proxy then forwards to.
    has_own_ports: bool,
}

impl Deployment {
    pub fn start(record: &Arc<Record>, cores: u8, services: &[&str], memory_mib: u32) -> Self {
        let mut deployment = Self::new(record, cores, services, memory_mib, false);
        deployment.start_all();
        deployment
    }

    /// Creates a deployment whose processes are not started.
    pub fn new(
        record: &Arc<Record>,
        cores: u8,
        services: &[&str],
        memory_mib: u32,
        has_own_ports: bool,
    ) -> Self {
        let core_ips = (1..=cores).map(core_ip);
        let side_ips = (1..=services.len() as u8).map(side_ip);
        let ports = free_ports(&core_ips.chain(side_ips).collect::<Vec<_>>());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut deployment = Self {
            ports,
            cores: Vec::new(),
            sides: Vec::new(),
            services: services.iter().map(|name| (*name).to_owned()).collect(),
            record: Arc::clone(record),
            folder,
            has_own_ports,
        };
        for index in 1..=cores {
            let process = deployment.process(&format!("core-{index}"), "director");
            deployment.cores.push(process);
            deployment.write_core_settings(index, cores, true);
        }
        for index in 1..=services.len() as u8 {
            let process = deployment.process(&format!("sidecar-{index}"), "gateway");
            deployment.sides.push(process);
            deployment.write_side_settings(index, cores, memory_mib);
        }
        deployment
    }

    /// Starts all processes.
    pub fn start_all(&mut self) {
        let processes = self.cores.iter_mut().chain(&mut self.sides);
        processes.for_each(Process::start);
        // A process that starts again is told that it is not the first start.
        thread::sleep(Duration::from_millis(300));
        let cores = self.cores.len() as u8;
        for index in 1..=cores {
            self.write_core_settings(index, cores, false);
        }
    }

    /// Returns the port at which a core machine listens for others, and at which it calls them.
    pub fn replica_port(&self, index: u8) -> u16 {
        match self.has_own_ports {
            true => self.ports.server + u16::from(index),
            false => self.ports.replicas,
        }
    }

    fn process(&self, name: &str, role: &str) -> Process {
        let program = match role {
            "director" => "target/release/sequoiayoke-director",
            _ => "target/release/sequoiayoke-gateway",
        };
        Process {
            name: name.to_owned(),
            program,
            settings: self.folder.join(format!("{name}.jsonc")),
            output: self.folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(&self.record),
        }
    }

    pub fn data_folder(&self, index: u8) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    fn seeds(&self, cores: u8) -> String {
        let seed = |index| format!("\"{}:{}\"", core_ip(index), self.ports.control);
        (1..=cores.min(3)).map(seed).collect::<Vec<_>>().join(",")
    }

    fn write_core_settings(&self, index: u8, cores: u8, is_first: bool) {
        let (ip, ports) = (core_ip(index), self.ports);
        let text = format!(
            r#"{{"name":"core-{index}","region":"r","failure_domains":{{"a":"r","b":"r","c":"r"}},
"limits":{{"memory_mib":256,"descriptors":4096}},"data":"{}",
"listen":{{"operators":"{ip}:{}","replica_port":{},"session_port":{}}},
"replicas":[{}],"first_start":{is_first},"inodes_change":true,"lease":"4500ms",
"log":{{"level":"info","format":"json"}}}}"#,
            self.data_folder(index).display(),
            ports.control,
            self.replica_port(index),
            ports.sessions,
            self.seeds(cores),
        );
        let file = self.folder.join(format!("core-{index}.jsonc"));
        fs::write(file, text).expect("settings can be written");
    }

    fn write_side_settings(&self, index: u8, cores: u8, memory_mib: u32) {
        let (ip, ports) = (side_ip(index), self.ports);
        let service = &self.services[usize::from(index) - 1];
        let text = format!(
            r#"{{"failure_domain":"{}","service":"{service}","backend":"{ip}:{}",
"listen":{{"callers":"{ip}:{}","ready":"{ip}:{}","announcements":"{ip}:{}","peers":"{ip}:{}"}},
"control":{{"replicas":[{}],"session_port":{}}},
"lease":{{"length":"4500ms","max_hold":"10000ms"}},"link_mbps":1000.0,
"retries":{{"ratio":0.2,"allowance":62,"window":"10s"}},"drain":"2000ms","grace":"6s",
"limits":{{"memory_mib":{memory_mib},"descriptors":4100}},
"log":{{"level":"info","format":"json"}}}}"#,
            zone(index),
            ports.server,
            ports.outbound,
            ports.ready,
            ports.control,
            ports.inbound,
            self.seeds(cores),
            ports.sessions,
        );
        let file = self.folder.join(format!("sidecar-{index}.jsonc"));
        fs::write(file, text).expect("settings can be written");
    }

    pub fn side(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::from((side_ip(index), port))
    }

    pub fn core(&self, index: u8) -> SocketAddr {
        SocketAddr::from((core_ip(index), self.ports.control))
    }

    /// Calls the operator's API at a core machine, and follows two redirects.
    pub fn operate(
        &self,
        index: u8,
        call: &str,
        fields: &str,
        body: &[u8],
    ) -> Option<http::Message> {
        let mut address = self.core(index);
        let timeout = Duration::from_secs(1);
        for _ in 0..3 {
            let head = format!(
                "POST /v1/rpc?call={call} HTTP/1.1\r\ncontent-type: application/json\r\n{fields}"
            );
            let answer = http::call(address, &head, body, timeout).ok()?;
            if answer.status() != 307 {
                return Some(answer);
            }
            let location = answer.field("location")?.strip_prefix("http://")?;
            address = location.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Sends a configuration until it is acknowledged; returns whether that happened in time.
    pub fn configure(&self, base: u64, body: &str, timeout: Duration) -> bool {
        let fields = format!("Sequoiayoke-Base-Version: r{base}\r\n");
        let start = Instant::now();
        let cores = self.cores.len() as u8;
        let mut index = 0;
        while start.elapsed() < timeout {
            index = index % cores + 1;
            let answer = self.operate(index, "config.replace", &fields, body.as_bytes());
            let status = answer.map_or(0, |answer| answer.status());
            if status == 200 {
                self.record.line(format!(
                    "operator: config on r{base} acknowledged by core-{index}"
                ));
                return true;
            }
            if matches!(status, 400 | 409 | 412 | 413 | 422) {
                self.record
                    .line(format!("operator: config on r{base} refused with {status}"));
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until every sidecar says that it is ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        let is_ready = |index: u8| {
            let head = "GET /v1/ready HTTP/1.1\r\n";
            let address = self.side(index, self.ports.ready);
            let answer = http::call(address, head, b"", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while start.elapsed() < timeout {
            if (1..=self.sides.len() as u8).all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.sides.clear();
        self.cores.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the zone of a machine.
pub fn zone(index: u8) -> &'static str {
    match index {
        1 | 4 | 6 | 8 => "b",
        2 | 5 | 7 | 9 => "c",
        _ => "a",
    }
}
