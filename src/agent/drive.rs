//! The background loops of an agent, which poll the membership machine, the configuration and the
//! platform's instance list, and the handling of peers' calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_coord::membership;
use corianderyoke_coord::membership::Effect;
use corianderyoke_coord::membership::EndReason;
use corianderyoke_coord::membership::Machine;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Request;
use corianderyoke_coord::membership::RowState;
use corianderyoke_coord::membership::Stage;
use corianderyoke_platform::InstanceState;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use corianderyoke_wire::Fingerprint;
use corianderyoke_wire::Handler;
use corianderyoke_wire::PeerAddr;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::sleep;
use tokio::time::timeout;

use super::convert;
use super::peer_addr;
use super::store;
use super::Agent;
use super::LoggedStatus;
use super::Service;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Time between two polls of the membership machine.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a peer's response to a membership message.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait for the store's response to an access of the machine.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two reads of the platform's instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before each attempt of a removed member to rejoin as a new incarnation.
const REJOIN_DELAY: Duration = Duration::from_millis(200);
/// Longest wait until this member is out of the view when it departs.
const DEPART_TIMEOUT: Duration = Duration::from_secs(5);

impl Agent {
    /// Sets the handler of calls that aren't about membership. Only the first call has an effect.
    pub fn set_service(&self, service: Arc<dyn Service>) {
        // Ignoring a second call is right for a restart of the same daemon.
        let _ = self.service.set(service);
    }

    /// Starts the background loops; they end with the runtime.
    pub fn run(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).run_membership());
        tokio::spawn(Arc::clone(self).poll_configuration());
        tokio::spawn(Arc::clone(self).poll_instances());
    }

    /// Sets the state, such as ready or leaving, that the next renewal writes into this member's
    /// row.
    pub fn set_state(&self, state: RowState) {
        self.machine.lock().set_state(clock::now(), state);
    }

    /// Gives up the lease, removes this member from the view and waits until that is written or a
    /// timeout passes.
    pub async fn depart(self: &Arc<Self>) {
        let ended = self.ended.notified();
        let effects = self.machine.lock().depart(clock::now());
        self.execute(effects);
        // If the store is unreachable, the others remove this member once its lease has expired.
        let _ = timeout(DEPART_TIMEOUT, ended).await;
        if let Some(transport) = self.transport.read().as_ref() {
            transport.close();
        }
    }

    async fn run_membership(self: Arc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let effects = self.machine.lock().poll(clock::now());
            self.execute(effects);
            self.refresh();
        }
    }

    /// Updates the trusted fingerprints from the member rows and the outage check from the view.
    fn refresh(&self) {
        let (trusted, id, view) = {
            let machine = self.machine.lock();
            let trusted: IndexMap<Fingerprint, String> = machine
                .rows()
                .filter_map(|(name, stored)| {
                    let fingerprint = stored.row.fingerprint.parse().ok()?;
                    let incarnation = stored.row.incarnation;
                    let id = MemberId { name: name.clone(), incarnation };
                    Some((fingerprint, id.to_string()))
                })
                .collect();
            (trusted, machine.id().clone(), machine.view().cloned())
        };
        if !trusted.is_empty() {
            self.trust.replace(trusted);
        }
        if let Some(view) = view {
            self.config.detect_outage(&id, &view, clock::now());
        }
        self.log_status(&id);
    }

    /// Logs the changes of this member's status since the last call.
    fn log_status(&self, id: &MemberId) {
        let now = LoggedStatus {
            member: self.is_member(),
            acting: self.may_act(),
            fresh: self.config_fresh(),
        };
        let before = std::mem::replace(&mut *self.logged.lock(), now);
        let detail = format_args!("name={} incarnation={}", id.name, id.incarnation);
        if now.member && !before.member {
            events::log(Event::Joined, detail);
        }
        if now.member && before.acting && !now.acting {
            events::log(Event::TermLapsed, detail);
        }
        if before.fresh && !now.fresh {
            events::log(Event::RevisionStale, detail);
        }
    }

    fn execute(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { id, op } => {
                    let agent = Arc::clone(self);
                    let own_id = self.id();
                    tokio::spawn(async move {
                        let (platform, cell) = (&*agent.platform, &agent.settings.cell);
                        let history = &agent.settings.history;
                        let access = store::execute(platform, history, cell, &own_id.name, op);
                        // If the response is lost, time is left to renew again within the lease.
                        let answer = timeout(STORE_TIMEOUT, access).await;
                        let answer = answer.unwrap_or(membership::StoreAnswer::Unknown);
                        agent.feed_machine(&own_id, |machine| {
                            machine.on_store_answer(clock::now(), id, answer)
                        });
                    });
                }
                Effect::Send { address, request } => {
                    tokio::spawn(Arc::clone(self).send(self.id(), address, request));
                }
                Effect::Adopted(view) => {
                    let members = view.members.len();
                    let detail = format_args!("epoch={} members={members}", view.epoch);
                    events::log(Event::ViewChanged, detail);
                }
                Effect::Settled(_) => {}
                Effect::Ended(reason) => self.handle_end(reason),
            }
        }
    }

    /// Passes input to the machine of the incarnation `own_id`. Drops it if this process has joined
    /// as a new incarnation meanwhile: request ids start over there and could match wrongly.
    fn feed_machine(
        self: &Arc<Self>,
        own_id: &MemberId,
        input: impl FnOnce(&mut Machine) -> Vec<Effect>,
    ) {
        let effects = {
            let mut machine = self.machine.lock();
            if machine.id() != own_id {
                return;
            }
            input(&mut machine)
        };
        self.execute(effects);
    }

    fn handle_end(self: &Arc<Self>, reason: EndReason) {
        self.ended.notify_waiters();
        if reason == EndReason::Left {
            return;
        }
        events::log(Event::Removed, format_args!("why={reason:?}"));
        let agent = Arc::clone(self);
        tokio::spawn(async move {
            if let Some(transport) = agent.transport.write().take() {
                transport.close();
            }
            let address = agent.settings.peers;
            loop {
                sleep(REJOIN_DELAY).await;
                if agent.listen(address).is_ok() {
                    return;
                }
            }
        });
    }

    async fn send(self: Arc<Self>, own_id: MemberId, address: String, request: Request) {
        let Some(peer) = self.peer_at(&address) else {
            return;
        };
        let sent_at = clock::now();
        let call = convert::request_to_wire(request, self.config.report(sent_at));
        let Ok(answer) = self.call_peer(&peer, call, PEER_TIMEOUT).await else {
            return;
        };
        let Some(reply) = convert::reply_from_wire(&answer) else {
            return;
        };
        let newer = match &answer {
            Answer::Ping(peer::PingResponse { config: Some(report), .. }) => {
                self.config.record_peer(&reply.ack.id, sent_at, report)
            }
            _ => false,
        };
        self.feed_machine(&own_id, |machine| machine.on_reply(clock::now(), &address, reply));
        if newer {
            self.fetch_newer(&peer).await;
        }
    }

    /// Fetches a newer configuration from the store or, failing that, from the peer that holds it.
    async fn fetch_newer(&self, peer: &PeerAddr) {
        if self.config.poll(&*self.platform).await {
            return;
        }
        let call = Call::Register(peer::RegisterRequest {});
        if let Ok(Answer::Register(response)) = self.call_peer(peer, call, PEER_TIMEOUT).await {
            self.config.adopt(&response);
        }
    }

    fn peer_at(&self, address: &str) -> Option<PeerAddr> {
        let address: SocketAddr = address.parse().ok()?;
        let machine = self.machine.lock();
        let mut peers = machine.rows().filter_map(|(_, stored)| peer_addr(&stored.row));
        peers.find(|peer| peer.addr == address)
    }

    async fn poll_configuration(self: Arc<Self>) {
        loop {
            self.config.poll(&*self.platform).await;
            let _ = timeout(self.settings.poll_interval, self.fetch_config.notified()).await;
        }
    }

    async fn poll_instances(self: Arc<Self>) {
        loop {
            if let Ok(instances) = self.platform.instances().await {
                let leaving = instances.iter().filter(|i| i.state == InstanceState::Leaving);
                let leaving: IndexSet<String> = leaving.map(|i| i.name.clone()).collect();
                let before = std::mem::replace(&mut *self.leaving.write(), leaving.clone());
                for name in leaving.iter().filter(|name| !before.contains(*name)) {
                    events::log(Event::UpstreamLeaving, format_args!("instance={name}"));
                }
                let names: IndexSet<String> = instances.into_iter().map(|i| i.name).collect();
                self.machine.lock().update_instances(clock::now(), &names);
            }
            sleep(INSTANCES_INTERVAL).await;
        }
    }

    /// Whether this process is in a view.
    pub fn is_member(&self) -> bool {
        self.machine.lock().stage() == Stage::Member
    }
}

/// Passes peers' calls to the agent while it exists.
pub(crate) struct Incoming {
    pub(crate) agent: Weak<Agent>,
}

#[async_trait]
impl Handler for Incoming {
    async fn handle(&self, from: &str, request: peer::Request) -> peer::Response {
        let answer = match (self.agent.upgrade(), MemberId::parse(from), request.body) {
            (Some(agent), Some(from), Some(call)) => agent.handle_call(&from, call).await,
            _ => None,
        };
        let refused = || Answer::Refused(peer::Refused { reason: "not taken here".to_owned() });
        peer::Response { body: Some(answer.unwrap_or_else(refused)) }
    }
}

impl Agent {
    async fn handle_call(self: &Arc<Self>, from: &MemberId, call: Call) -> Option<Answer> {
        if let Some(request) = convert::request_from_wire(&call) {
            let (reply, effects) = self.machine.lock().on_request(clock::now(), from, request);
            self.execute(effects);
            let revision = match &call {
                Call::Ping(ping) => ping.config.as_ref().map_or(0, |config| config.revision),
                _ => 0,
            };
            if revision > self.config.revision().0 {
                self.fetch_config.notify_one();
            }
            return Some(convert::reply_to_wire(reply, self.config.report(clock::now())));
        }
        if let Call::Register(_) = call {
            return Some(Answer::Register(self.config.export()));
        }
        self.service.get()?.answer(from, call).await
    }
}
