//! The context of a subcommand: settings, platform client and author.

use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke::ops::config::Author;
use corianderyoke::util::settings;
use corianderyoke_coord::register::Problem;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_platform::http::Settings as PlatformSettings;
use serde::Deserialize;
use serde::Serialize;

use crate::cli::Global;

/// Settings of the command line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Settings {
    /// Address of the platform as `ip:port`.
    pub platform: String,
    /// Timeout of a request to the platform, in milliseconds.
    pub timeout_ms: u64,
    /// Name in the audit trail; `$USER` if empty.
    pub operator: String,
    /// Time limit of `--wait`, in seconds.
    pub wait_s: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let platform = PlatformSettings::default();
        Settings {
            platform: platform.address,
            timeout_ms: platform.timeout.as_millis() as u64,
            operator: String::new(),
            wait_s: 10,
        }
    }
}

/// Platform client and options of a subcommand.
pub struct Context {
    /// Client of the platform.
    pub platform: HttpPlatform,
    /// Time limit of `--wait`.
    pub wait: Duration,
    operator: String,
}

impl Context {
    /// Reads the settings file and overrides its values by the command line's options.
    pub fn new(global: Global) -> anyhow::Result<Context> {
        let mut settings = match &global.config {
            Some(file) => settings::load_checked(file, check)?,
            None => Settings::default(),
        };
        if let Some(platform) = global.platform {
            settings.platform = platform;
        }
        if let Some(operator) = global.operator {
            settings.operator = operator;
        }
        let problems = check(&settings);
        if !problems.is_empty() {
            return Err(settings::Error::Problems(problems).into());
        }
        let platform = HttpPlatform::new(PlatformSettings {
            address: settings.platform,
            timeout: Duration::from_millis(settings.timeout_ms),
            ..PlatformSettings::default()
        })?;
        let wait = Duration::from_secs(settings.wait_s);
        Ok(Context { platform, wait, operator: operator(settings.operator) })
    }

    /// The author of a change made by `action`, for the audit trail.
    pub fn author(&self, action: impl Into<String>) -> Author {
        Author { operator: self.operator.clone(), action: action.into() }
    }
}

fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    if settings.platform.parse::<SocketAddr>().is_err() {
        problems.push(Problem::new("platform", format!("`{}`", settings.platform), "ip:port"));
    }
    if settings.timeout_ms == 0 {
        problems.push(Problem::new("timeout_ms", 0, "more than 0"));
    }
    problems
}

fn operator(name: String) -> String {
    if !name.is_empty() {
        return name;
    }
    std::env::var("USER").ok().filter(|name| !name.is_empty()).unwrap_or_else(|| "unknown".into())
}
