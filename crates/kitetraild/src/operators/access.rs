//! Authentication and authorization of operators.

use kitetrail_core::TeamId;
use salvo::{Request, http::header::AUTHORIZATION};

use crate::{
    control::OperatorError,
    settings::{Digest, OperatorRole, Token},
};

/// The access that a request requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequiredAccess {
    /// Read.
    Read,
    /// Change specs.
    Change,
    /// Change the configuration, which applies to all teams.
    Configure,
}

/// The identity of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The operator's name, for the audit log, or `None` if the settings list no tokens.
    pub name: Option<String>,
    /// The team whose specs the operator may change, or `None` for all teams.
    pub team: Option<TeamId>,
}

/// Authenticates the sender of a request and checks that it has the required access.
pub fn authorize(
    tokens: &[Token],
    request: &Request,
    required_access: RequiredAccess,
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
    match (role, required_access, team) {
        (_, RequiredAccess::Read, _)
        | (OperatorRole::Operator, RequiredAccess::Change, _)
        | (OperatorRole::Operator, RequiredAccess::Configure, None) => {
            Ok(Identity { name: Some(name.clone()), team: team.clone() })
        }
        (OperatorRole::ReadOnly, _, _) => {
            Err(forbidden(&format!("{name} may look but not change anything")))
        }
        (OperatorRole::Operator, RequiredAccess::Configure, Some(team)) => {
            Err(forbidden(&format!("{name} may change specs of team {team} alone")))
        }
    }
}

fn forbidden(message: &str) -> OperatorError {
    OperatorError::Forbidden { message: message.to_owned() }
}
