//! Starts daemons with the command and the template of the deploy file, and calls them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

/// Time limit for a whole case.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);
/// Time limit for a daemon to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Running daemon, killed when dropped.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    listener.map_or(0, |address| address.port())
}

fn free_udp_port() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    socket.map_or(0, |address| address.port())
}

/// Fills the template of the deploy file as the platform does, except that the metrics get a free
/// port.
fn settings(root: &Path, values: &[(&str, String)]) -> std::io::Result<String> {
    let mut text = std::fs::read_to_string(root.join("deploy/daemon.toml.in"))?;
    text = text.replace("{{ip}}:9400", &format!("127.0.0.1:{}", free_port()));
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    Ok(text)
}

impl Daemon {
    /// Starts a daemon and waits until it is ready. Its log goes to `folder`.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Result<Daemon, String> {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".to_owned()));
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml"));
        let deploy = deploy.map_err(|error| format!("deploy file: {error}"))?;
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let command = command.ok_or("the deploy file names no command")?.trim_matches('"');
        let [callers, ready, directory] =
            [(); 3].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port())));
        let values = [
            ("node", name.to_owned()),
            ("zone", "hofdi".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("bootstrap|json", "true".to_owned()),
            ("platform.address", store.to_string()),
            ("listen.front", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", free_udp_port().to_string()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "56".to_owned()),
            ("bounds.quota_overage", "0.1".to_owned()),
            ("bounds.quota_slack", "110000".to_owned()),
            ("bounds.cold_overage", "1.5".to_owned()),
            ("bounds.cold_slack", "5".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
        ];
        let path = folder.join(format!("{name}.toml"));
        let text = settings(&root, &values).map_err(|error| format!("template: {error}"))?;
        std::fs::write(&path, text).map_err(|error| format!("settings: {error}"))?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")));
        let log = log.map_err(|error| format!("log: {error}"))?;
        let mut program = Command::new(root.join(command));
        program.env("CORIANDERYOKE_SETTINGS", &path).stdin(Stdio::null()).stdout(log);
        // SAFETY: the call sets an attribute of the new process and allocates nothing.
        unsafe { program.pre_exec(end_with_parent) };
        let child =
            program.spawn().map_err(|error| format!("{command}: {error}; build it first"))?;
        let daemon = Daemon { name: name.to_owned(), callers, ready, child };
        let until = Instant::now() + READY_TIMEOUT;
        while status(daemon.ready, "/readyz") != Some(200) {
            if Instant::now() > until {
                return Err(format!("{name} isn't ready in time"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(daemon)
    }

    /// Tells the process to stop, as the platform does.
    pub fn terminate(&self) -> bool {
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child that hasn't been waited for, so that the id is its own.
        i32::try_from(self.child.id()).is_ok_and(|id| unsafe { kill(id, SIGTERM) } == 0)
    }
}

/// Makes the new process end with its parent, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    // SAFETY: the call takes numbers alone.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Ends the process with 2 if the case takes too long, and with it the daemons.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        eprintln!("the case couldn't run: it took more than {CASE_TIMEOUT:?}");
        std::process::exit(2)
    });
}

/// Sends a GET request on a new connection. Returns the status and body.
pub fn get(address: SocketAddr, target: &str) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut connection = Connection::new(stream);
    connection.write(format!("GET {target} HTTP/1.1\r\nHost: a.example\r\n\r\n").as_bytes());
    let head = connection.read_head()?;
    let status = head.word(1).parse().ok()?;
    let body = connection.read_body(&head)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

fn status(address: SocketAddr, target: &str) -> Option<u16> {
    get(address, target).map(|(status, _)| status)
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(result: Result<bool, String>) -> ! {
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    std::process::exit(code)
}
