//! Starts and controls a fleet of processes on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use corianderyoke_platform::protocol::InstanceList;
use corianderyoke_platform::Instance;
use corianderyoke_platform::InstanceState;
use corianderyoke_standin::relay::tcp;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::builder::Builder;
use crate::process::Process;

/// Timeout for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prefix of every key; the stand-ins count requests that contain it.
const SECRET_PREFIX: &str = "ck_";

/// A running fleet: its processes, addresses and team keys.
pub struct Fleet {
    /// Configuration of the fleet.
    pub builder: Builder,
    /// HTTP client for callers' requests; opens a new connection for each request.
    pub client: reqwest::Client,
    /// Secrets of the teams' keys, by team.
    pub secrets: IndexMap<String, String>,
    /// Names of the teams' keys, by team.
    pub keys: IndexMap<String, String>,
    processes: IndexMap<String, Process>,
    /// Relays in front of each upstream, and between each daemon and the platform, by name of the
    /// upstream or daemon.
    relays: IndexMap<String, tcp::Relay>,
    peer_addresses: IndexMap<String, SocketAddr>,
    /// Number of daemon starts; numbers the history files, one per start.
    daemon_starts: usize,
    folder: TempDir,
}

impl Fleet {
    pub(crate) async fn start(builder: Builder) -> Result<Fleet> {
        let client = reqwest::Client::builder().pool_max_idle_per_host(0).build()?;
        let mut fleet = Fleet {
            builder,
            client,
            secrets: IndexMap::new(),
            keys: IndexMap::new(),
            processes: IndexMap::new(),
            relays: IndexMap::new(),
            peer_addresses: IndexMap::new(),
            daemon_starts: 0,
            folder: tempfile::tempdir()?,
        };
        fleet.start_standin("platform", "platform", "")?;
        let upstreams = fleet.start_upstreams().await?;
        fleet.post_instances(&[]).await?;
        let register = fleet.builder.register(&upstreams);
        fleet.write("register.toml", &register)?;
        fleet.write("cli.toml", &format!("platform = \"{}\"\n", fleet.platform()?))?;
        let register = fleet.path("register.toml");
        fleet.operate(&["apply", &register.display().to_string()])?;
        fleet.issue_keys()?;
        for number in 1..=fleet.builder.controllers {
            fleet.start_daemon("controller", number).await?;
        }
        for number in 1..=fleet.builder.routers {
            fleet.start_daemon("router", number).await?;
        }
        for number in 1..=fleet.builder.routers {
            fleet.ready(&format!("router-{number}")).await?;
        }
        Ok(fleet)
    }

    async fn start_upstreams(&mut self) -> Result<Vec<(String, String)>> {
        let mut upstreams = Vec::new();
        for number in 1..=self.builder.engines {
            let secrets = format!("secrets = [\"{SECRET_PREFIX}\"]\n");
            let settings = secrets + &self.builder.engine_settings(number);
            let name = format!("engine-{number}");
            let address = self.start_standin(&name, "engine", &settings)?;
            let address = self.relay_address(&name, address).await?;
            upstreams.push((name, address.to_string()));
        }
        for number in 1..=self.builder.services {
            let name = format!("orders-{number}");
            let settings = format!("secrets = [\"{SECRET_PREFIX}\"]\n");
            let address = self.start_standin(&name, "service", &settings)?;
            let address = self.relay_address(&name, address).await?;
            upstreams.push((name, address.to_string()));
        }
        Ok(upstreams)
    }

    fn issue_keys(&mut self) -> Result<()> {
        for team in 1..=self.builder.teams {
            let team = format!("t{team}");
            let issued = self.operate(&["--json", "issue-key", &team])?;
            let issued: Value = serde_json::from_slice(&issued.stdout)?;
            let secret = issued["secret"].as_str().context("no secret was issued")?;
            self.secrets.insert(team.clone(), secret.to_owned());
            let name = issued["key"].as_str().context("the issued key has no name")?;
            self.keys.insert(team, name.to_owned());
        }
        Ok(())
    }

    fn start_standin(&mut self, name: &str, kind: &str, settings: &str) -> Result<SocketAddr> {
        let file = format!("{name}.toml");
        self.write(&file, settings)?;
        let file = self.path(&file).display().to_string();
        let arguments = [kind.to_owned(), "--config".to_owned(), file];
        let process =
            Process::start(&self.binary("corianderyoke-standin"), &arguments, &self.log(name))?;
        let address = process.address("")?;
        self.processes.insert(name.to_owned(), process);
        Ok(address)
    }

    /// Starts or restarts a router or controller.
    pub async fn start_daemon(&mut self, role: &str, number: usize) -> Result<()> {
        let name = format!("{role}-{number}");
        let platform = self.platform()?;
        let platform = self.relay_address(&name, platform).await?;
        let zone = self.builder.zone(number);
        let peers = self.peer_address(&name)?;
        let mut settings = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nplatform = \"{platform}\"\npeers = \"{peers}\"\n"
        );
        if role == "router" {
            settings.push_str(&self.builder.router_lines);
        }
        self.daemon_starts += 1;
        if let Some(folder) = &self.builder.history {
            let file = folder.join(format!("{name}-{}.jsonl", self.daemon_starts));
            settings.push_str(&format!("history = \"{}\"\n", file.display()));
        }
        let file = format!("{name}.toml");
        self.write(&file, &settings)?;
        let arguments = ["--config".to_owned(), self.path(&file).display().to_string()];
        let binary = self.binary(&format!("corianderyoke-{role}"));
        let process = Process::start(&binary, &arguments, &self.log(&name))?;
        self.processes.insert(name, process);
        Ok(())
    }

    /// Returns the daemon's peer address, which stays the same across restarts. Peers take a newer
    /// incarnation at the same address as proof that the previous one has ended.
    fn peer_address(&mut self, name: &str) -> Result<SocketAddr> {
        if let Some(address) = self.peer_addresses.get(name) {
            return Ok(*address);
        }
        let address = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        self.peer_addresses.insert(name.to_owned(), address);
        Ok(address)
    }

    /// Returns the address to reach `target`. If relays are enabled, this is the address of the
    /// relay `name`, which is started on first use.
    async fn relay_address(&mut self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        if !self.builder.relays {
            return Ok(target);
        }
        if let Some(relay) = self.relays.get(name) {
            return Ok(relay.address());
        }
        let relay = tcp::Relay::start(tcp::Settings { target, ..Default::default() }).await?;
        let address = relay.address();
        self.relays.insert(name.to_owned(), relay);
        Ok(address)
    }

    /// Relay in front of an upstream, or between a daemon and the platform.
    pub fn relay(&self, name: &str) -> Result<&tcp::Relay> {
        self.relays.get(name).with_context(|| format!("no relay `{name}`"))
    }

    /// Sends the platform stand-in the list of all daemons and upstreams; those in `leaving` are
    /// listed as leaving, the others as live.
    pub async fn post_instances(&self, leaving: &[String]) -> Result<()> {
        let builder = &self.builder;
        let kinds = [
            ("router", builder.routers),
            ("controller", builder.controllers),
            ("engine", builder.engines),
            ("orders", builder.services),
        ];
        let names = kinds.into_iter().flat_map(|(kind, count)| {
            (1..=count).map(move |number| (format!("{kind}-{number}"), number))
        });
        let instances = names.map(|(name, number)| {
            let is_leaving = leaving.contains(&name);
            let state = if is_leaving { InstanceState::Leaving } else { InstanceState::Live };
            let address = String::new();
            Instance { name, zone: builder.zone(number), address, state }
        });
        let list = InstanceList { instances: instances.collect() };
        self.post("platform", "/instances", &serde_json::to_value(list)?).await
    }

    /// Injects a fault into a stand-in.
    pub async fn fault(&self, name: &str, fault: &Value) -> Result<()> {
        self.post(name, "/faults", fault).await
    }

    async fn post(&self, name: &str, path: &str, body: &Value) -> Result<()> {
        let url = self.standin(name, path)?;
        let request = self.client.post(url).header("content-type", "application/json");
        request.body(body.to_string()).send().await?.error_for_status()?;
        Ok(())
    }

    /// Kills a stand-in and restarts it at the same address, without its in-memory state.
    pub fn restart_standin(&mut self, name: &str) -> Result<()> {
        let address = self.process(name)?.address("")?;
        self.kill(name)?;
        let file = format!("{name}.toml");
        let settings = std::fs::read_to_string(self.path(&file))?;
        let settings = match settings.starts_with("listen") {
            true => settings,
            false => format!("listen = \"{address}\"\n{settings}"),
        };
        let kind = if name.starts_with("engine") { "engine" } else { "service" };
        self.start_standin(name, kind, &settings)?;
        Ok(())
    }

    /// Name of a daemon in its history records, which includes its process id.
    pub fn recorded_name(&self, name: &str) -> Result<String> {
        Ok(format!("{name}#{}", self.process(name)?.pid()))
    }

    /// Whether the fleet has a process with this name, running or paused.
    pub fn has(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    /// Removes a process that has exited.
    pub fn forget(&mut self, name: &str) {
        self.processes.swap_remove(name);
    }

    /// Waits until a daemon reports that it is ready.
    pub async fn ready(&self, name: &str) -> Result<()> {
        let url = format!("http://{}/readyz", self.process(name)?.address("operators")?);
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        let log = std::fs::read_to_string(self.log(name)).unwrap_or_default();
        bail!("{name} wasn't ready in time; its log:\n{log}")
    }

    /// Address of the platform stand-in.
    pub fn platform(&self) -> Result<SocketAddr> {
        self.process("platform")?.address("")
    }

    /// URL of `path` on the callers' address of router `number`.
    pub fn url(&self, number: usize, path: &str) -> Result<String> {
        let address = self.process(&format!("router-{number}"))?.address("callers")?;
        Ok(format!("http://{address}{path}"))
    }

    /// URL of `path` on a stand-in.
    pub fn standin(&self, name: &str, path: &str) -> Result<String> {
        Ok(format!("http://{}{path}", self.process(name)?.address("")?))
    }

    /// Secret of a team's key; empty if the team has none.
    pub fn secret(&self, team: &str) -> &str {
        self.secrets.get(team).map_or("", String::as_str)
    }

    /// Runs the operators' command line; fails unless it succeeds.
    pub fn operate(&self, arguments: &[&str]) -> Result<Output> {
        let config = self.path("cli.toml").display().to_string();
        let output = Command::new(self.binary("corianderyoke"))
            .args(["--config", &config, "--operator", "tester"])
            .args(arguments)
            .output()?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            let text = String::from_utf8_lossy(&output.stdout);
            bail!("`corianderyoke {}` failed: {errors}{text}", arguments.join(" "));
        }
        Ok(output)
    }

    /// Process with this name.
    pub fn process(&self, name: &str) -> Result<&Process> {
        self.processes.get(name).with_context(|| format!("no process `{name}`"))
    }

    /// Kills a process and removes it from the fleet.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let mut process =
            self.processes.swap_remove(name).with_context(|| format!("no process `{name}`"))?;
        process.kill()
    }

    /// Pauses a process.
    pub fn pause(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused process.
    pub fn resume(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGCONT)
    }

    /// Asks a process to shut down gracefully.
    pub fn terminate(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGTERM)
    }

    /// Waits until a process exits; fails after `limit`.
    pub fn ended(&mut self, name: &str, limit: Duration) -> Result<ExitStatus> {
        let process = self.processes.get_mut(name);
        process.with_context(|| format!("no process `{name}`"))?.wait(limit)
    }

    /// Standard error of a process so far; empty if it can't be read.
    pub fn logged(&self, name: &str) -> String {
        std::fs::read_to_string(self.log(name)).unwrap_or_default()
    }

    /// Copies the log files of all processes to `folder`.
    pub fn copy_logs(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        for entry in std::fs::read_dir(self.folder.path())? {
            let entry = entry?;
            if entry.path().extension().is_some_and(|extension| extension == "log") {
                std::fs::copy(entry.path(), folder.join(entry.file_name()))?;
            }
        }
        Ok(())
    }

    fn write(&self, file: &str, text: &str) -> Result<()> {
        Ok(std::fs::write(self.path(file), text)?)
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.path().join(file)
    }

    fn log(&self, name: &str) -> PathBuf {
        self.path(&format!("{name}.log"))
    }

    fn binary(&self, name: &str) -> PathBuf {
        Path::new(&self.builder.binaries).join(name)
    }
}
