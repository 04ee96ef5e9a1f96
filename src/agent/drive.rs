//! The loops of an agent: membership, peers, configuration, the platform's instance list.

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
use super::Service;
use super::Standing;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Time between two polls of the membership machine.
const POLL_EVERY: Duration = Duration::from_millis(50);
/// Longest wait for a peer's answer to a membership message.
const PEER_WITHIN: Duration = Duration::from_millis(1000);
/// Longest wait for the store's answer to one of the machine's accesses.
const STORE_WITHIN: Duration = Duration::from_millis(1000);
/// Time between two reads of the instance list.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Pause before a member that was removed starts over.
const REJOIN_AFTER: Duration = Duration::from_millis(200);
/// Longest time that a departure may take.
const DEPART_WITHIN: Duration = Duration::from_secs(5);

impl Agent {
    /// Sets what answers the calls that aren't about membership; once.
    pub fn serve(&self, service: Arc<dyn Service>) {
        // A second call has no effect, which suits a restart of the same daemon.
        let _ = self.service.set(service);
    }

    /// Starts the loops; they end with the runtime.
    pub fn run(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).membership());
        tokio::spawn(Arc::clone(self).configuration());
        tokio::spawn(Arc::clone(self).list());
    }

    /// Says whether the daemon is fit for callers, with the next renewal.
    pub fn set_state(&self, state: RowState) {
        self.machine.lock().set_state(clock::now(), state);
    }

    /// Stops acting, takes this member out of the view and waits until that is written.
    pub async fn depart(self: &Arc<Self>) {
        let ended = self.ended.notified();
        let effects = self.machine.lock().depart(clock::now());
        self.carry_out(effects);
        // Where the store is away the others remove this member once its term has lapsed.
        let _ = timeout(DEPART_WITHIN, ended).await;
        if let Some(transport) = self.transport.read().as_ref() {
            transport.close();
        }
    }

    async fn membership(self: Arc<Self>) {
        loop {
            sleep(POLL_EVERY).await;
            let effects = self.machine.lock().poll(clock::now());
            self.carry_out(effects);
            self.look();
        }
    }

    /// Brings trust and the outage evidence in step with the rows and the view.
    fn look(&self) {
        let (names, id, view) = {
            let machine = self.machine.lock();
            let names: IndexMap<Fingerprint, String> = machine
                .rows()
                .filter_map(|(name, stored)| {
                    let fingerprint = stored.row.fingerprint.parse().ok()?;
                    let incarnation = stored.row.incarnation;
                    let id = MemberId { name: name.clone(), incarnation };
                    Some((fingerprint, id.to_string()))
                })
                .collect();
            (names, machine.id().clone(), machine.view().cloned())
        };
        if !names.is_empty() {
            self.trust.replace(names);
        }
        if let Some(view) = view {
            self.config.look(&id, &view, clock::now());
        }
        self.tell(&id);
    }

    /// Logs where this member's standing changed.
    fn tell(&self, id: &MemberId) {
        let now = Standing {
            member: self.is_member(),
            acting: self.may_act(),
            fresh: self.config_fresh(),
        };
        let before = std::mem::replace(&mut *self.told.lock(), now);
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

    fn carry_out(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { id, op } => {
                    let agent = Arc::clone(self);
                    let me = self.id();
                    tokio::spawn(async move {
                        let (platform, cell) = (&*agent.platform, &agent.settings.cell);
                        let history = &agent.settings.history;
                        let access = store::access(platform, history, cell, &me.name, op);
                        // A lost answer has to leave time for another renewal within the term.
                        let answer = timeout(STORE_WITHIN, access).await;
                        let answer = answer.unwrap_or(membership::StoreAnswer::Unknown);
                        agent.input(&me, |machine| {
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
                Effect::Ended(end) => self.end(end),
            }
        }
    }

    /// Hands an answer or reply to the machine that asked; an earlier incarnation's isn't the
    /// present one's, whose numbers start anew.
    fn input(self: &Arc<Self>, me: &MemberId, input: impl FnOnce(&mut Machine) -> Vec<Effect>) {
        let effects = {
            let mut machine = self.machine.lock();
            if machine.id() != me {
                return;
            }
            input(&mut machine)
        };
        self.carry_out(effects);
    }

    fn end(self: &Arc<Self>, end: EndReason) {
        self.ended.notify_waiters();
        if end == EndReason::Left {
            return;
        }
        events::log(Event::Removed, format_args!("why={end:?}"));
        let agent = Arc::clone(self);
        tokio::spawn(async move {
            if let Some(transport) = agent.transport.write().take() {
                transport.close();
            }
            let asked = agent.settings.peers;
            loop {
                sleep(REJOIN_AFTER).await;
                if agent.listen(asked).is_ok() {
                    return;
                }
            }
        });
    }

    async fn send(self: Arc<Self>, me: MemberId, address: String, request: Request) {
        let Some(peer) = self.peer_at(&address) else {
            return;
        };
        let asked = clock::now();
        let call = convert::call(request, self.config.told(asked));
        let Ok(answer) = self.exchange(&peer, call, PEER_WITHIN).await else {
            return;
        };
        let Some(reply) = convert::reply(&answer) else {
            return;
        };
        let newer = match &answer {
            Answer::Ping(peer::PingResponse { config: Some(told), .. }) => {
                self.config.heard(&reply.ack.id, asked, told)
            }
            _ => false,
        };
        self.input(&me, |machine| machine.on_reply(clock::now(), &address, reply));
        if newer {
            self.pull(&peer).await;
        }
    }

    /// Fetches a newer configuration: from the store, or from the peer that told of it.
    async fn pull(&self, peer: &PeerAddr) {
        if self.config.poll(&*self.platform).await {
            return;
        }
        let call = Call::Register(peer::RegisterRequest {});
        if let Ok(Answer::Register(told)) = self.exchange(peer, call, PEER_WITHIN).await {
            self.config.adopt(&told);
        }
    }

    fn peer_at(&self, address: &str) -> Option<PeerAddr> {
        let address: SocketAddr = address.parse().ok()?;
        let machine = self.machine.lock();
        let mut peers = machine.rows().filter_map(|(_, stored)| peer_addr(&stored.row));
        peers.find(|peer| peer.addr == address)
    }

    async fn configuration(self: Arc<Self>) {
        loop {
            self.config.poll(&*self.platform).await;
            let _ = timeout(self.settings.poll_every, self.fetch.notified()).await;
        }
    }

    async fn list(self: Arc<Self>) {
        loop {
            if let Ok(instances) = self.platform.instances().await {
                let gone = instances.iter().filter(|i| i.state == InstanceState::Leaving);
                let gone: IndexSet<String> = gone.map(|i| i.name.clone()).collect();
                let before = std::mem::replace(&mut *self.leaving.write(), gone.clone());
                for name in gone.iter().filter(|name| !before.contains(*name)) {
                    events::log(Event::UpstreamLeaving, format_args!("instance={name}"));
                }
                let names: IndexSet<String> = instances.into_iter().map(|i| i.name).collect();
                self.machine.lock().update_instances(clock::now(), &names);
            }
            sleep(LIST_EVERY).await;
        }
    }

    /// Whether this process is in a view.
    pub fn is_member(&self) -> bool {
        self.machine.lock().stage() == Stage::Member
    }
}

/// Hands the calls of peers to the agent, as long as it lives.
pub(crate) struct Incoming {
    pub(crate) agent: Weak<Agent>,
}

#[async_trait]
impl Handler for Incoming {
    async fn handle(&self, from: &str, request: peer::Request) -> peer::Response {
        let answer = match (self.agent.upgrade(), MemberId::parse(from), request.body) {
            (Some(agent), Some(from), Some(call)) => agent.incoming(&from, call).await,
            _ => None,
        };
        let refused = || Answer::Refused(peer::Refused { reason: "not taken here".to_owned() });
        peer::Response { body: Some(answer.unwrap_or_else(refused)) }
    }
}

impl Agent {
    async fn incoming(self: &Arc<Self>, from: &MemberId, call: Call) -> Option<Answer> {
        if let Some(request) = convert::request(&call) {
            let (reply, effects) = self.machine.lock().on_request(clock::now(), from, request);
            self.carry_out(effects);
            let newer = match &call {
                Call::Ping(ping) => ping.config.as_ref().map_or(0, |config| config.revision),
                _ => 0,
            };
            if newer > self.config.revision().0 {
                self.fetch.notify_one();
            }
            return Some(convert::answer(reply, self.config.told(clock::now())));
        }
        if let Call::Register(_) = call {
            return Some(Answer::Register(self.config.export()));
        }
        self.service.get()?.answer(from, call).await
    }
}
