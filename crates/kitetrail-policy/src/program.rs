//! A compiled policy.

use kitetrail_core::{
    TaskClass, TeamId,
    placement::AllowedRelief,
    task::{Spec, SpecKind},
};
use rhai::{AST, Dynamic, Engine, Map, Position, Scope};

use crate::PolicyError;

/// The most steps one question may take.
const MAX_OPERATIONS: u64 = 20_000;
/// The most calls within calls.
const MAX_CALL_DEPTH: usize = 16;
/// The longest text a policy may build, in bytes.
const MAX_TEXT_BYTES: usize = 4_096;
/// The most entries in a list or map a policy may build.
const MAX_ENTRIES: usize = 256;
/// The functions that are asked, and their numbers of parameters.
const FUNCTIONS: [(&str, usize); 5] =
    [("rank", 1), ("may_share", 2), ("sacrifice", 1), ("max_slowdown", 1), ("tail_weight", 0)];

/// What a policy sees of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskFacts {
    /// Its class.
    pub class: TaskClass,
    /// Its kind.
    pub kind: SpecKind,
    /// The team that owns it.
    pub team: TeamId,
}

impl From<&Spec> for TaskFacts {
    fn from(spec: &Spec) -> Self {
        Self { class: spec.class.clone(), kind: spec.kind, team: spec.team.clone() }
    }
}

impl TaskFacts {
    fn to_map(&self) -> Map {
        Map::from([
            ("class".into(), self.class.to_string().into()),
            ("kind".into(), self.kind.to_string().into()),
            ("team".into(), self.team.to_string().into()),
        ])
    }
}

/// A compiled policy.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles a policy. Nothing of it is run.
    pub fn compile(text: &str) -> Result<Self, PolicyError> {
        let engine = engine();
        let ast = engine.compile(text).map_err(|error| PolicyError::Syntax {
            line: line_of(error.position()),
            cause: error.err_type().to_string(),
        })?;
        let program = Self { engine, ast };
        program.check_functions(text)?;
        Ok(program)
    }

    /// How much a task matters. `None` if the policy doesn't say.
    pub fn rank(&self, task: &TaskFacts) -> Result<Option<u8>, String> {
        let Some(answer) = self.ask("rank", [task.to_map().into()])? else { return Ok(None) };
        let rank = answer.as_int().ok().and_then(|rank| u8::try_from(rank).ok());
        rank.map(Some).ok_or_else(|| "the answer must be a whole number from 0 to 255".to_owned())
    }

    /// Whether two tasks may share a worker. `None` if the policy doesn't say.
    pub fn may_share(&self, one: &TaskFacts, other: &TaskFacts) -> Result<Option<bool>, String> {
        let parameters = [one.to_map().into(), other.to_map().into()];
        let Some(answer) = self.ask("may_share", parameters)? else { return Ok(None) };
        answer.as_bool().map(Some).map_err(|_| "the answer must be true or false".to_owned())
    }

    /// What may be done to a task under pressure. `None` if the policy doesn't say.
    pub fn sacrifice(&self, task: &TaskFacts) -> Result<Option<AllowedRelief>, String> {
        let Some(answer) = self.ask("sacrifice", [task.to_map().into()])? else {
            return Ok(None);
        };
        match answer.into_string().as_deref() {
            Ok("never") => Ok(Some(AllowedRelief::Never)),
            Ok("throttle") => Ok(Some(AllowedRelief::Throttle)),
            Ok("evict") => Ok(Some(AllowedRelief::Evict)),
            _ => Err("the answer must be \"never\", \"throttle\" or \"evict\"".to_owned()),
        }
    }

    /// The slowdown a task may suffer. `None` if the policy doesn't say.
    pub fn max_slowdown(&self, task: &TaskFacts) -> Result<Option<f64>, String> {
        let Some(answer) = self.ask("max_slowdown", [task.to_map().into()])? else {
            return Ok(None);
        };
        match number(&answer) {
            Some(slowdown) if slowdown >= 1.0 => Ok(Some(slowdown)),
            _ => Err("the answer must be a number from 1.0".to_owned()),
        }
    }

    /// How much tail latency weighs. `None` if the policy doesn't say.
    pub fn tail_weight(&self) -> Result<Option<f64>, String> {
        let Some(answer) = self.ask("tail_weight", [])? else { return Ok(None) };
        match number(&answer) {
            Some(weight) if (0.0..=1.0).contains(&weight) => Ok(Some(weight)),
            _ => Err("the answer must be a number from 0.0 to 1.0".to_owned()),
        }
    }

    fn ask<const N: usize>(
        &self,
        function: &'static str,
        parameters: [Dynamic; N],
    ) -> Result<Option<Dynamic>, String> {
        if !self.ast.iter_functions().any(|known| known.name == function) {
            return Ok(None);
        }
        let mut scope = Scope::new();
        let options = rhai::CallFnOptions::new().eval_ast(false);
        let answer = self.engine.call_fn_with_options::<Dynamic>(
            options,
            &mut scope,
            &self.ast,
            function,
            parameters.to_vec(),
        );
        answer.map(Some).map_err(|error| error.to_string())
    }

    fn check_functions(&self, text: &str) -> Result<(), PolicyError> {
        let unknown = self.ast.iter_functions().find(|function| {
            let known = FUNCTIONS.contains(&(function.name, function.params.len()));
            !known && !function.name.starts_with('_')
        });
        let Some(function) = unknown else { return Ok(()) };
        let head = format!("fn {}", function.name);
        let line = text.lines().position(|line| line.contains(&head)).map_or(0, |at| at + 1);
        let (name, parameters) = (function.name.to_owned(), function.params.len());
        Err(PolicyError::UnknownFunction { line, name, parameters })
    }
}

fn engine() -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(MAX_OPERATIONS)
        .set_max_call_levels(MAX_CALL_DEPTH)
        .set_max_string_size(MAX_TEXT_BYTES)
        .set_max_array_size(MAX_ENTRIES)
        .set_max_map_size(MAX_ENTRIES)
        .disable_symbol("eval")
        .disable_symbol("import")
        .disable_symbol("print")
        .disable_symbol("debug")
        .set_fail_on_invalid_map_property(true);
    engine.set_module_resolver(rhai::module_resolvers::DummyModuleResolver::new());
    engine
}

fn number(answer: &Dynamic) -> Option<f64> {
    answer.as_float().ok().or_else(|| answer.as_int().ok().map(|whole| whole as f64))
}

fn line_of(position: Position) -> usize {
    position.line().unwrap_or(0)
}
