//! Who an operator is and what it may do.

use kitetrail_core::TeamId;
use salvo::{Request, http::header::AUTHORIZATION};

use crate::{
    control::OperatorError,
    settings::{Digest, OperatorRole, Token},
};

/// What an operator wants to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// Look.
    Read,
    /// Change specs.
    Change,
    /// Change what holds for all teams.
    Configure,
}

/// Who an operator is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, for the record. `None` where no tokens are asked for.
    pub name: Option<String>,
    /// The team whose specs it may change; `None` stands for all.
    pub team: Option<TeamId>,
}

/// Finds out who sends a request and whether it may do what it wants.
pub fn identify(
    tokens: &[Token],
    request: &Request,
    wish: Wish,
) -> Result<Identity, OperatorError> {
    if tokens.is_empty() {
        return Ok(Identity { name: None, team: None });
    }
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = header.and_then(|value| value.strip_prefix("Bearer "));
    let Some(bearer) = bearer else {
        return Err(forbidden("a token is needed: give it by KITETRAIL_TOKEN or --token"));
    };
    let digest = Digest::of(bearer);
    let Some(token) = tokens.iter().find(|token| token.sha256 == digest) else {
        return Err(forbidden("the token is not known to this box"));
    };
    let Token { name, role, team, .. } = token;
    match (role, wish, team) {
        (_, Wish::Read, _)
        | (OperatorRole::Operator, Wish::Change, _)
        | (OperatorRole::Operator, Wish::Configure, None) => {
            Ok(Identity { name: Some(name.clone()), team: team.clone() })
        }
        (OperatorRole::ReadOnly, _, _) => {
            Err(forbidden(&format!("{name} may look but not change anything")))
        }
        (OperatorRole::Operator, Wish::Configure, Some(team)) => {
            Err(forbidden(&format!("{name} may change specs of team {team} alone")))
        }
    }
}

fn forbidden(message: &str) -> OperatorError {
    OperatorError::Forbidden { message: message.to_owned() }
}
