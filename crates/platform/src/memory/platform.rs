//! An in-process platform over a [`Store`], with the timeout behaviour of the HTTP client.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::store::Store;
use crate::Commit;
use crate::Error;
use crate::Instance;
use crate::Platform;
use crate::Result;
use crate::Row;
use crate::Transaction;

/// Default timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An in-process platform.
///
/// A request continues after its caller's timeout, as it would in a separate store. A write may
/// therefore take effect after its caller received an error.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    store: Arc<Store>,
    timeout: Duration,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        MemoryPlatform::new(Arc::new(Store::default()))
    }
}

impl MemoryPlatform {
    /// Creates a platform over `store`.
    pub fn new(store: Arc<Store>) -> Self {
        MemoryPlatform { store, timeout: REQUEST_TIMEOUT }
    }

    /// Returns the platform with another request timeout.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        MemoryPlatform { timeout, ..self }
    }

    /// The underlying store, which holds the faults and counters.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// Runs a request in its own task, so that a timeout doesn't cancel it; `None` after a timeout.
    async fn run<T, F>(&self, request: F) -> Option<Result<T>>
    where
        F: Future<Output = Result<T>> + Send + 'static,
        T: Send + 'static,
    {
        let task = tokio::spawn(request);
        tokio::time::timeout(self.timeout, task).await.ok()?.ok()
    }

    async fn read<T, F>(&self, request: F) -> Result<T>
    where
        F: Future<Output = Result<T>> + Send + 'static,
        T: Send + 'static,
    {
        match self.run(request).await {
            Some(Err(Error::Unknown(text))) => Err(Error::Unavailable(text)),
            Some(result) => result,
            None => Err(Error::Unavailable("no answer within the timeout".into())),
        }
    }

    async fn write<T, F>(&self, request: F) -> Result<T>
    where
        F: Future<Output = Result<T>> + Send + 'static,
        T: Send + 'static,
    {
        let no_response = || Error::Unknown("no answer within the timeout".into());
        self.run(request).await.unwrap_or_else(|| Err(no_response()))
    }
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>> {
        let (store, table, key) = (self.store.clone(), table.to_owned(), key.to_owned());
        self.read(async move { store.get(&table, &key, None).await }).await
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> Result<Vec<Row>> {
        let (store, table) = (self.store.clone(), table.to_owned());
        let (from, to) = (from.to_owned(), to.to_owned());
        self.read(async move { store.scan(&table, &from, &to, None).await }).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit> {
        let (store, transaction) = (self.store.clone(), transaction.clone());
        self.write(async move { store.transact(&transaction, None).await }).await
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let (store, name) = (self.store.clone(), name.to_owned());
        self.read(async move { store.object(&name, None).await }).await
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<()> {
        let (store, name) = (self.store.clone(), name.to_owned());
        self.write(async move { store.put_object(&name, body, None).await }).await
    }

    async fn instances(&self) -> Result<Vec<Instance>> {
        let store = self.store.clone();
        self.read(async move { store.instances(None).await }).await
    }
}
