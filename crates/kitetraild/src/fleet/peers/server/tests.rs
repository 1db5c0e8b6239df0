//! Calls of other boxes that meet a busy loop.
//!
//! What users saw: cancels had no answer after 6 s of calm, 5 to 8 of 41 to 59, on days on which all boxes were eight times slower and many
//! users came at once. The order of events: the owner settled a cancel at once and kept it within 5 s; each try of its
//! caller ended in doubt after 1.3 s all the same, for up to 9 s. The cause: an answer passed the loop of the owner's box four
//! times, and each time waited for all else that was ready there, some 0.2 s. What proved it: a log in which a job that ended as cancelled at 25.1 s,
//! with four records waiting at 30 s, is still told in doubt at 30.6, 32.4 and 33.9 s.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use kitetrail_proto::jobs::{CallRequest, Cancel, call_answer::Outcome, call_request};
use tokio::{sync::mpsc, time};
use tonic::Request;

use super::{
    super::super::{
        calls::Answer,
        local_owner::{LocalOwner, OwnerInbox},
        owner::OwnerMessage,
        shared::OwnerView,
    },
    BoxStatus, Handler, Jobs,
};

fn cancel() -> Request<CallRequest> {
    let cancel = Cancel { job: "00000000000000a1".to_owned() };
    Request::new(CallRequest { call: Some(call_request::Call::Cancel(cancel)) })
}

#[tokio::test]
async fn a_call_waits_for_the_owner_alone_however_busy_its_box_is() {
    // Nobody takes the messages of the box itself.
    let (sender, _messages) = mpsc::channel(1);
    let owner = LocalOwner::default();
    let (inbox, mut calls) = mpsc::channel(1);
    let view = OwnerView { epoch: 4, address: "10.0.0.1:7380".parse().ok() };
    owner.set(Some(OwnerInbox { sender: inbox, view }));
    let handler = Handler { sender, status: BoxStatus::new(1), owner };
    let answers = async {
        let Some(OwnerMessage::Call(_, reply)) = calls.recv().await else {
            panic!("the owner is told of the call");
        };
        reply.send(Answer::Cancelled).unwrap();
    };
    let asked = time::timeout(Duration::from_secs(10), handler.call(cancel()));
    let (asked, ()) = tokio::join!(asked, answers);
    let answer = asked.expect("it is answered").unwrap().into_inner();
    assert_eq!(answer.outcome(), Outcome::Cancelled);
    assert_eq!((answer.epoch, answer.owner_address.as_str()), (4, "10.0.0.1:7380"));
}
