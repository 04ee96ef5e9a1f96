//! Store of the platform: rows in tables, transactions and change feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http::query_value;
use crate::http::Connection;
use crate::json::Value;

/// Longest wait of a feed.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Table and key of a row.
type Name = (String, String);
/// Value in base64, `None` if the row was removed, and version.
type Content = (Option<String>, u64);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Name, Content>,
}

/// Store that a case controls.
pub struct Store {
    pub address: SocketAddr,
    start: Instant,
    tables: Mutex<Tables>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let tables = Mutex::default();
        let store =
            Arc::new(Store { address, start: Instant::now(), tables, changed: Condvar::new() });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.lock();
        tables.version += 1;
        let version = tables.version;
        let content = (Some(encode(value.as_bytes())), version);
        tables.rows.insert((table.to_owned(), key.to_owned()), content);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(head) = connection.read_head() {
            let Some(body) = connection.read_body(&head) else { return };
            let target = head.word(1).to_owned();
            let path = target.split('?').next().unwrap_or_default();
            let (status, text) = match path {
                "/rows-get" => self.get(&target),
                "/rows-feed" => self.feed(&target),
                "/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => (404, "{}".to_owned()),
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if !connection.respond(status, headers, text.as_bytes()) {
                return;
            }
        }
    }

    fn get(&self, target: &str) -> (u16, String) {
        let value = |name| query_value(target, name);
        let (table, from, to) = (value("table"), value("from"), value("to"));
        let tables = self.lock();
        let rows = tables.rows.iter().filter(|((name, key), (value, _))| {
            let is_in_range = *key >= from && (to.is_empty() || *key < to);
            *name == table && value.is_some() && is_in_range
        });
        let rows: Vec<String> = rows.map(row).collect();
        let (rows, version, now) = (rows.join(","), tables.version, self.now_ms());
        let text =
            format!("{{\"rows\":[{rows}],\"has_more\":false,\"ver\":{version},\"now_ms\":{now}}}");
        (200, text)
    }

    fn feed(&self, target: &str) -> (u16, String) {
        let table = query_value(target, "table");
        let after: u64 = query_value(target, "after").parse().unwrap_or(0);
        let wait: u64 = query_value(target, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
        let mut tables = self.lock();
        loop {
            let rows = tables.rows.iter();
            let rows = rows.filter(|((name, _), (_, ver))| *name == table && *ver > after);
            let mut rows: Vec<(&Name, &Content)> = rows.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, version))| *version);
                let rows: Vec<String> = rows.into_iter().map(row).collect();
                let (rows, version, now) = (rows.join(","), tables.version, self.now_ms());
                let text = format!("{{\"rows\":[{rows}],\"ver\":{version},\"now_ms\":{now}}}");
                return (200, text);
            }
            let waited = self.changed.wait_timeout(tables, left);
            tables = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Value::parse(body) else { return (400, "{}".to_owned()) };
        let name = |row: &Value| (row.text("table").to_owned(), row.text("key").to_owned());
        let mut tables = self.lock();
        let present = |row: &Value| {
            let content = tables.rows.get_key_value(&name(row));
            content.filter(|(_, (value, _))| value.is_some())
        };
        let version_of = |row: &Value| present(row).map_or(0, |(_, (_, version))| *version);
        let expected = body.list("expected");
        if expected.iter().any(|row| row.number("ver") != Some(version_of(row))) {
            let rows: Vec<String> = expected.iter().filter_map(present).map(row).collect();
            let (rows, version, now) = (rows.join(","), tables.version, self.now_ms());
            let text = format!("{{\"rows\":[{rows}],\"ver\":{version},\"now_ms\":{now}}}");
            return (412, text);
        }
        tables.version += 1;
        let version = tables.version;
        for row in body.list("put") {
            tables.rows.insert(name(row), (Some(row.text("value").to_owned()), version));
        }
        for row in body.list("remove") {
            tables.rows.insert(name(row), (None, version));
        }
        drop(tables);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }
}

fn row(((table, key), (value, version)): (&Name, &Content)) -> String {
    let begin = format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\"");
    match value {
        Some(value) => format!("{begin},\"value\":\"{value}\",\"ver\":{version}}}"),
        None => format!("{begin},\"ver\":{version},\"deleted\":true}}"),
    }
}

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = padded.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
