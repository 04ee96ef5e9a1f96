//! One process of a fleet.

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

/// Longest time until a process says that it listens.
const LISTENS_WITHIN: Duration = Duration::from_secs(30);
/// Time between two looks at whether a process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A running process that said where it listens.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Addresses as the process told them, by name; the stand-ins' only one has no name.
    pub addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `binary` with `arguments` and waits until it listens. Its standard error goes to
    /// the file `log`.
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
        let (told, listens) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(|line| line.ok()) {
                if let Some(addresses) = line.strip_prefix("listening ") {
                    let _ = told.send(addresses.to_owned());
                }
            }
        });
        let mut process = Process { child, addresses: Vec::new() };
        let line = listens.recv_timeout(LISTENS_WITHIN);
        let line = line.map_err(|_| anyhow!("{} didn't listen in time", binary.display()))?;
        process.addresses = addresses(&line)?;
        Ok(process)
    }

    /// The address called `name`.
    pub fn address(&self, name: &str) -> Result<SocketAddr> {
        let found = self.addresses.iter().find(|(found, _)| found == name);
        found.map(|(_, address)| *address).with_context(|| format!("no address `{name}`"))
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("failed to send a signal")
    }

    /// Kills it at once and waits for its end.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for its end.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            thread::sleep(LOOK_EVERY);
        }
        bail!("the process didn't end within {limit:?}")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn addresses(line: &str) -> Result<Vec<(String, SocketAddr)>> {
    let words = line.split_whitespace();
    words
        .map(|word| {
            let (name, address) = word.split_once('=').unwrap_or(("", word));
            Ok((name.to_owned(), address.parse()?))
        })
        .collect()
}
