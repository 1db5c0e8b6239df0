//! A compiled policy.

use kitetrail_core::{
    TaskClass, TeamId,
    placement::AllowedRelief,
    task::{Spec, SpecKind},
};
use rhai::{AST, Dynamic, Engine, Map, Position, Scope};

use crate::PolicyError;

/// The maximum number of operations of one function call.
const MAX_OPERATIONS: u64 = 20_000;
/// The maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 16;
/// The maximum length of a string that a policy may build, in bytes.
const MAX_TEXT_BYTES: usize = 4_096;
/// The maximum number of entries of an array or map that a policy may build.
const MAX_ENTRIES: usize = 256;
/// The functions that a policy may define, with their numbers of parameters.
const POLICY_FUNCTIONS: [(&str, usize); 5] =
    [("rank", 1), ("may_share", 2), ("sacrifice", 1), ("max_slowdown", 1), ("tail_weight", 0)];

/// The properties of a task that are visible to a policy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskFacts {
    /// The class of the task.
    pub class: TaskClass,
    /// The kind of the task.
    pub kind: SpecKind,
    /// The team that owns the task.
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
    /// Compiles a policy without running any of its code.
    pub fn compile(text: &str) -> Result<Self, PolicyError> {
        let engine = build_engine();
        let ast = engine.compile(text).map_err(|error| PolicyError::Syntax {
            line: line_number(error.position()),
            cause: error.err_type().to_string(),
        })?;
        let program = Self { engine, ast };
        program.check_functions(text)?;
        Ok(program)
    }

    /// Calls `rank(task)`: the importance of a task.
    ///
    /// Returns `None` if the policy does not define the function.
    pub fn rank(&self, task: &TaskFacts) -> Result<Option<u8>, String> {
        let Some(result) = self.call("rank", [task.to_map().into()])? else { return Ok(None) };
        let rank = result.as_int().ok().and_then(|rank| u8::try_from(rank).ok());
        rank.map(Some).ok_or_else(|| "the answer must be a whole number from 0 to 255".to_owned())
    }

    /// Calls `may_share(one, other)`: whether two tasks may share a worker.
    ///
    /// Returns `None` if the policy does not define the function.
    pub fn may_share(&self, one: &TaskFacts, other: &TaskFacts) -> Result<Option<bool>, String> {
        let parameters = [one.to_map().into(), other.to_map().into()];
        let Some(result) = self.call("may_share", parameters)? else { return Ok(None) };
        result.as_bool().map(Some).map_err(|_| "the answer must be true or false".to_owned())
    }

    /// Calls `sacrifice(task)`: the measure that may be taken against a task when resources are scarce.
    ///
    /// Returns `None` if the policy does not define the function.
    pub fn sacrifice(&self, task: &TaskFacts) -> Result<Option<AllowedRelief>, String> {
        let Some(result) = self.call("sacrifice", [task.to_map().into()])? else {
            return Ok(None);
        };
        match result.into_string().as_deref() {
            Ok("never") => Ok(Some(AllowedRelief::Never)),
            Ok("throttle") => Ok(Some(AllowedRelief::Throttle)),
            Ok("evict") => Ok(Some(AllowedRelief::Evict)),
            _ => Err("the answer must be \"never\", \"throttle\" or \"evict\"".to_owned()),
        }
    }

    /// Calls `max_slowdown(task)`: the maximum slowdown of a task by its neighbours.
    ///
    /// Returns `None` if the policy does not define the function.
    pub fn max_slowdown(&self, task: &TaskFacts) -> Result<Option<f64>, String> {
        let Some(result) = self.call("max_slowdown", [task.to_map().into()])? else {
            return Ok(None);
        };
        match as_number(&result) {
            Some(slowdown) if slowdown >= 1.0 => Ok(Some(slowdown)),
            _ => Err("the answer must be a number from 1.0".to_owned()),
        }
    }

    /// Calls `tail_weight()`: the weight of tail latency in placement.
    ///
    /// Returns `None` if the policy does not define the function.
    pub fn tail_weight(&self) -> Result<Option<f64>, String> {
        let Some(result) = self.call("tail_weight", [])? else { return Ok(None) };
        match as_number(&result) {
            Some(weight) if (0.0..=1.0).contains(&weight) => Ok(Some(weight)),
            _ => Err("the answer must be a number from 0.0 to 1.0".to_owned()),
        }
    }

    fn call<const N: usize>(
        &self,
        function: &'static str,
        parameters: [Dynamic; N],
    ) -> Result<Option<Dynamic>, String> {
        if !self.ast.iter_functions().any(|known| known.name == function) {
            return Ok(None);
        }
        let mut scope = Scope::new();
        let options = rhai::CallFnOptions::new().eval_ast(false);
        let result = self.engine.call_fn_with_options::<Dynamic>(
            options,
            &mut scope,
            &self.ast,
            function,
            parameters.to_vec(),
        );
        result.map(Some).map_err(|error| error.to_string())
    }

    fn check_functions(&self, text: &str) -> Result<(), PolicyError> {
        let unknown = self.ast.iter_functions().find(|function| {
            let known = POLICY_FUNCTIONS.contains(&(function.name, function.params.len()));
            !known && !function.name.starts_with('_')
        });
        let Some(function) = unknown else { return Ok(()) };
        let head = format!("fn {}", function.name);
        let line = text.lines().position(|line| line.contains(&head)).map_or(0, |at| at + 1);
        let (name, parameters) = (function.name.to_owned(), function.params.len());
        Err(PolicyError::UnknownFunction { line, name, parameters })
    }
}

fn build_engine() -> Engine {
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

fn as_number(result: &Dynamic) -> Option<f64> {
    result.as_float().ok().or_else(|| result.as_int().ok().map(|whole| whole as f64))
}

fn line_number(position: Position) -> usize {
    position.line().unwrap_or(0)
}
