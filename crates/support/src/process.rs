//! Starts, signals and stops one process of a fleet.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Timeout for a process to report its listening addresses.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that listens; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Listening addresses by name; a stand-in has one address with an empty name.
    pub addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `binary` and waits until it listens. Its standard error is appended to the file
    /// `log`.
    ///
    /// # Errors
    ///
    /// Fails if the binary can't be started or doesn't listen in time.
    pub fn start(binary: &Path, arguments: &[String], log: &Path) -> Result<Process> {
        let errors = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .with_context(|| format!("failed to start {}; build it first", binary.display()))?;
        let output = child.stdout.take().context("failed to read the process's output")?;
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(|line| line.ok()) {
                if let Some(addresses) = line.strip_prefix("listening ") {
                    let _ = sender.send(addresses.to_owned());
                }
            }
        });
        let mut process = Process { child, addresses: Vec::new() };
        let line = receiver.recv_timeout(LISTEN_TIMEOUT);
        let line = line.map_err(|_| anyhow!("{} didn't listen in time", binary.display()))?;
        process.addresses = parse_addresses(&line)?;
        Ok(process)
    }

    /// Listening address with this name.
    pub fn address(&self, name: &str) -> Result<SocketAddr> {
        let found = self.addresses.iter().find(|(found, _)| found == name);
        found.map(|(_, address)| *address).with_context(|| format!("no address `{name}`"))
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("failed to send a signal")
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process exits; fails after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!("the process didn't exit within {limit:?}")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_addresses(line: &str) -> Result<Vec<(String, SocketAddr)>> {
    let words = line.split_whitespace();
    words
        .map(|word| {
            let (name, address) = word.split_once('=').unwrap_or(("", word));
            Ok((name.to_owned(), address.parse()?))
        })
        .collect()
}
