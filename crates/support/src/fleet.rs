//! A fleet of processes on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::builder::Builder;
use crate::process::Process;

/// Longest time until all routers are ready.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Processes by name, and what is needed to talk to them.
pub struct Fleet {
    /// What it was built from.
    pub builder: Builder,
    /// Client for callers' requests; one connection a request.
    pub client: reqwest::Client,
    /// Secrets of the teams' keys, by team.
    pub secrets: IndexMap<String, String>,
    processes: IndexMap<String, Process>,
    folder: TempDir,
}

impl Fleet {
    pub(crate) async fn start(builder: Builder) -> Result<Fleet> {
        let client = reqwest::Client::builder().pool_max_idle_per_host(0).build()?;
        let mut fleet = Fleet {
            builder,
            client,
            secrets: IndexMap::new(),
            processes: IndexMap::new(),
            folder: tempfile::tempdir()?,
        };
        fleet.start_standin("platform", "platform", "")?;
        let upstreams = fleet.start_upstreams()?;
        let register = fleet.builder.register(&upstreams);
        fleet.write("register.toml", &register)?;
        fleet.write("cli.toml", &format!("platform = \"{}\"\n", fleet.platform()?))?;
        let register = fleet.path("register.toml");
        fleet.operate(&["apply", &register.display().to_string()])?;
        fleet.issue_keys()?;
        for number in 1..=fleet.builder.controllers {
            fleet.start_daemon("controller", number)?;
        }
        for number in 1..=fleet.builder.routers {
            fleet.start_daemon("router", number)?;
        }
        for number in 1..=fleet.builder.routers {
            fleet.ready(&format!("router-{number}")).await?;
        }
        Ok(fleet)
    }

    fn start_upstreams(&mut self) -> Result<Vec<(String, String)>> {
        let mut upstreams = Vec::new();
        for number in 1..=self.builder.engines {
            let settings = self.builder.engine(number);
            let name = format!("engine-{number}");
            let address = self.start_standin(&name, "engine", &settings)?;
            upstreams.push((name, address.to_string()));
        }
        for number in 1..=self.builder.services {
            let name = format!("orders-{number}");
            let address = self.start_standin(&name, "service", "")?;
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
            self.secrets.insert(team, secret.to_owned());
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

    /// Starts router or controller `number`, also anew after its end.
    pub fn start_daemon(&mut self, role: &str, number: usize) -> Result<()> {
        let name = format!("{role}-{number}");
        let platform = self.platform()?;
        let zone = self.builder.zone(number);
        let settings = format!("name = \"{name}\"\nzone = \"{zone}\"\nplatform = \"{platform}\"\n");
        let file = format!("{name}.toml");
        self.write(&file, &settings)?;
        let arguments = ["--config".to_owned(), self.path(&file).display().to_string()];
        let binary = self.binary(&format!("corianderyoke-{role}"));
        let process = Process::start(&binary, &arguments, &self.log(&name))?;
        self.processes.insert(name, process);
        Ok(())
    }

    /// Waits until a daemon says that it is ready.
    pub async fn ready(&self, name: &str) -> Result<()> {
        let url = format!("http://{}/readyz", self.process(name)?.address("operators")?);
        let start = Instant::now();
        while start.elapsed() < READY_WITHIN {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            sleep(LOOK_EVERY).await;
        }
        let log = std::fs::read_to_string(self.log(name)).unwrap_or_default();
        bail!("{name} wasn't ready in time; its log:\n{log}")
    }

    /// Address of the platform's stand-in.
    pub fn platform(&self) -> Result<SocketAddr> {
        self.process("platform")?.address("")
    }

    /// Callers' URL of router `number` with `path` behind it.
    pub fn url(&self, number: usize, path: &str) -> Result<String> {
        let address = self.process(&format!("router-{number}"))?.address("callers")?;
        Ok(format!("http://{address}{path}"))
    }

    /// URL of a stand-in with `path` behind it.
    pub fn standin(&self, name: &str, path: &str) -> Result<String> {
        Ok(format!("http://{}{path}", self.process(name)?.address("")?))
    }

    /// The secret of a team's key.
    pub fn secret(&self, team: &str) -> &str {
        self.secrets.get(team).map_or("", String::as_str)
    }

    /// Runs the operators' command line and expects success.
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

    /// The process called `name`.
    pub fn process(&self, name: &str) -> Result<&Process> {
        self.processes.get(name).with_context(|| format!("no process `{name}`"))
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let mut process =
            self.processes.swap_remove(name).with_context(|| format!("no process `{name}`"))?;
        process.kill()
    }

    /// Freezes a process.
    pub fn pause(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    pub fn resume(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGCONT)
    }

    /// Tells a process to stop.
    pub fn terminate(&self, name: &str) -> Result<()> {
        self.process(name)?.signal(Signal::SIGTERM)
    }

    /// Waits for the end of a process that was told to stop.
    pub fn ended(&mut self, name: &str, limit: Duration) -> Result<ExitStatus> {
        let process = self.processes.get_mut(name);
        process.with_context(|| format!("no process `{name}`"))?.wait(limit)
    }

    /// What a process logged.
    pub fn logged(&self, name: &str) -> String {
        std::fs::read_to_string(self.log(name)).unwrap_or_default()
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
