//! Membership messages and their wire form.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Ack;
use corianderyoke_coord::membership::Member;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Reply;
use corianderyoke_coord::membership::ReplyBody;
use corianderyoke_coord::membership::Request;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::View;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;

/// Puts a request into its wire form; `config` goes with pings.
pub fn call(request: Request, config: peer::Config) -> Call {
    match request {
        Request::Ping { epoch } => Call::Ping(peer::PingRequest { epoch, config: Some(config) }),
        Request::Promise { epoch, round } => Call::Promise(peer::PromiseRequest { epoch, round }),
        Request::Consent { epoch, member, version } => {
            let member = Some(id_to(&member));
            Call::Consent(peer::ConsentRequest { epoch, member, version })
        }
        Request::Inventory { view } => {
            Call::Inventory(peer::InventoryRequest { view: Some(view_to(&view)) })
        }
    }
}

/// Reads a request; `None` for calls that aren't about membership.
pub fn request(call: &Call) -> Option<Request> {
    Some(match call {
        Call::Ping(ping) => Request::Ping { epoch: ping.epoch },
        Call::Promise(ask) => Request::Promise { epoch: ask.epoch, round: ask.round },
        Call::Consent(ask) => Request::Consent {
            epoch: ask.epoch,
            member: id_from(ask.member.as_ref()?),
            version: ask.version,
        },
        Call::Inventory(ask) => {
            Request::Inventory { view: Arc::new(view_from(ask.view.as_ref()?)?) }
        }
        _ => return None,
    })
}

/// Puts a reply into its wire form; `config` goes with replies to pings.
pub fn answer(reply: Reply, config: peer::Config) -> Answer {
    let standing = Some(standing_to(&reply));
    match reply.body {
        ReplyBody::Ping => Answer::Ping(peer::PingResponse { standing, config: Some(config) }),
        ReplyBody::Promise { round, given } => {
            Answer::Promise(peer::PromiseResponse { standing, round, given })
        }
        ReplyBody::Consent { member, version, given } => {
            let member = Some(id_to(&member));
            Answer::Consent(peer::ConsentResponse { standing, member, version, given })
        }
        ReplyBody::Inventory => Answer::Inventory(peer::InventoryResponse { standing }),
    }
}

/// Reads a reply; `None` where it isn't one or parts are missing.
pub fn reply(answer: &Answer) -> Option<Reply> {
    let (standing, body) = match answer {
        Answer::Ping(reply) => (&reply.standing, ReplyBody::Ping),
        Answer::Promise(reply) => {
            (&reply.standing, ReplyBody::Promise { round: reply.round, given: reply.given })
        }
        Answer::Consent(reply) => {
            let member = id_from(reply.member.as_ref()?);
            let (version, given) = (reply.version, reply.given);
            (&reply.standing, ReplyBody::Consent { member, version, given })
        }
        Answer::Inventory(reply) => (&reply.standing, ReplyBody::Inventory),
        _ => return None,
    };
    let standing = standing.as_ref()?;
    let ack = standing.ack.as_ref()?;
    Some(Reply {
        ack: Ack {
            id: MemberId { name: ack.name.clone(), incarnation: ack.incarnation },
            epoch: ack.epoch,
            clear: ack.clear,
            uptime: Duration::from_millis(ack.uptime_ms),
        },
        request_epoch: standing.asked,
        view: standing.view.as_ref().and_then(view_from).map(Arc::new),
        body,
    })
}

fn standing_to(reply: &Reply) -> peer::Standing {
    let ack = peer::Ack {
        name: reply.ack.id.name.clone(),
        incarnation: reply.ack.id.incarnation,
        epoch: reply.ack.epoch,
        clear: reply.ack.clear,
        uptime_ms: reply.ack.uptime.as_millis() as u64,
    };
    let view = reply.view.as_deref().map(view_to);
    peer::Standing { ack: Some(ack), asked: reply.request_epoch, view }
}

fn id_to(id: &MemberId) -> peer::Member {
    let (name, incarnation) = (id.name.clone(), id.incarnation);
    peer::Member { name, incarnation, ..peer::Member::default() }
}

fn id_from(member: &peer::Member) -> MemberId {
    MemberId { name: member.name.clone(), incarnation: member.incarnation }
}

fn member_to(member: &Member) -> peer::Member {
    let role = match member.role {
        Role::Router => "router",
        Role::Controller => "controller",
    };
    peer::Member { role: role.to_owned(), address: member.address.clone(), ..id_to(&member.id) }
}

fn member_from(member: &peer::Member) -> Option<Member> {
    let role = match member.role.as_str() {
        "router" => Role::Router,
        "controller" => Role::Controller,
        _ => return None,
    };
    Some(Member { id: id_from(member), role, address: member.address.clone() })
}

fn view_to(view: &View) -> peer::View {
    peer::View {
        epoch: view.epoch,
        version: view.version,
        members: view.members.iter().map(member_to).collect(),
        previous: view.previous.iter().map(member_to).collect(),
        departed: view.departed.as_ref().map(id_to),
    }
}

/// A view with a member that can't be read is no view: acting by a part of it would be wrong.
fn view_from(view: &peer::View) -> Option<View> {
    Some(View {
        epoch: view.epoch,
        version: view.version,
        members: view.members.iter().map(member_from).collect::<Option<_>>()?,
        previous: view.previous.iter().map(member_from).collect::<Option<_>>()?,
        departed: view.departed.as_ref().map(id_from),
    })
}
