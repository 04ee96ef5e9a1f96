//! Converts membership messages and views to and from their wire form.

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

/// Converts a request to its wire form; pings carry `config`.
pub fn request_to_wire(request: Request, config: peer::Config) -> Call {
    match request {
        Request::Ping { epoch } => Call::Ping(peer::PingRequest { epoch, config: Some(config) }),
        Request::Promise { epoch, round } => Call::Promise(peer::PromiseRequest { epoch, round }),
        Request::Consent { epoch, member, version } => {
            let member = Some(id_to_wire(&member));
            Call::Consent(peer::ConsentRequest { epoch, member, version })
        }
        Request::Inventory { view } => {
            Call::Inventory(peer::InventoryRequest { view: Some(view_to_wire(&view)) })
        }
    }
}

/// Converts a call to a membership request; `None` if it is another call or malformed.
pub fn request_from_wire(call: &Call) -> Option<Request> {
    Some(match call {
        Call::Ping(ping) => Request::Ping { epoch: ping.epoch },
        Call::Promise(promise) => Request::Promise { epoch: promise.epoch, round: promise.round },
        Call::Consent(consent) => Request::Consent {
            epoch: consent.epoch,
            member: id_from_wire(consent.member.as_ref()?),
            version: consent.version,
        },
        Call::Inventory(inventory) => {
            Request::Inventory { view: Arc::new(view_from_wire(inventory.view.as_ref()?)?) }
        }
        _ => return None,
    })
}

/// Converts a reply to its wire form; replies to pings carry `config`.
pub fn reply_to_wire(reply: Reply, config: peer::Config) -> Answer {
    let standing = Some(standing_to_wire(&reply));
    match reply.body {
        ReplyBody::Ping => Answer::Ping(peer::PingResponse { standing, config: Some(config) }),
        ReplyBody::Promise { round, given } => {
            Answer::Promise(peer::PromiseResponse { standing, round, given })
        }
        ReplyBody::Consent { member, version, given } => {
            let member = Some(id_to_wire(&member));
            Answer::Consent(peer::ConsentResponse { standing, member, version, given })
        }
        ReplyBody::Inventory => Answer::Inventory(peer::InventoryResponse { standing }),
    }
}

/// Converts an answer to a membership reply; `None` if it is another answer or malformed.
pub fn reply_from_wire(answer: &Answer) -> Option<Reply> {
    let (standing, body) = match answer {
        Answer::Ping(reply) => (&reply.standing, ReplyBody::Ping),
        Answer::Promise(reply) => {
            (&reply.standing, ReplyBody::Promise { round: reply.round, given: reply.given })
        }
        Answer::Consent(reply) => {
            let member = id_from_wire(reply.member.as_ref()?);
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
        view: standing.view.as_ref().and_then(view_from_wire).map(Arc::new),
        body,
    })
}

fn standing_to_wire(reply: &Reply) -> peer::Standing {
    let ack = peer::Ack {
        name: reply.ack.id.name.clone(),
        incarnation: reply.ack.id.incarnation,
        epoch: reply.ack.epoch,
        clear: reply.ack.clear,
        uptime_ms: reply.ack.uptime.as_millis() as u64,
    };
    let view = reply.view.as_deref().map(view_to_wire);
    peer::Standing { ack: Some(ack), asked: reply.request_epoch, view }
}

fn id_to_wire(id: &MemberId) -> peer::Member {
    let (name, incarnation) = (id.name.clone(), id.incarnation);
    peer::Member { name, incarnation, ..peer::Member::default() }
}

fn id_from_wire(member: &peer::Member) -> MemberId {
    MemberId { name: member.name.clone(), incarnation: member.incarnation }
}

fn member_to_wire(member: &Member) -> peer::Member {
    let role = match member.role {
        Role::Router => "router",
        Role::Controller => "controller",
    };
    peer::Member {
        role: role.to_owned(),
        address: member.address.clone(),
        ..id_to_wire(&member.id)
    }
}

fn member_from_wire(member: &peer::Member) -> Option<Member> {
    let role = match member.role.as_str() {
        "router" => Role::Router,
        "controller" => Role::Controller,
        _ => return None,
    };
    Some(Member { id: id_from_wire(member), role, address: member.address.clone() })
}

fn view_to_wire(view: &View) -> peer::View {
    peer::View {
        epoch: view.epoch,
        version: view.version,
        members: view.members.iter().map(member_to_wire).collect(),
        previous: view.previous.iter().map(member_to_wire).collect(),
        departed: view.departed.as_ref().map(id_to_wire),
    }
}

/// Rejects the whole view if any member is malformed: decisions by part of a view would be wrong.
fn view_from_wire(view: &peer::View) -> Option<View> {
    Some(View {
        epoch: view.epoch,
        version: view.version,
        members: view.members.iter().map(member_from_wire).collect::<Option<_>>()?,
        previous: view.previous.iter().map(member_from_wire).collect::<Option<_>>()?,
        departed: view.departed.as_ref().map(id_from_wire),
    })
}
