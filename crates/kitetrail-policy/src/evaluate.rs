//! Evaluates a policy for the existing classes.

use std::collections::BTreeSet;

use kitetrail_core::placement::{ClassRule, PolicyTable};

use crate::{PolicyFault, Program, TaskFacts};

/// The result of evaluating a policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// The results of the policy functions, by class.
    pub table: PolicyTable,
    /// The calls that failed.
    pub faults: Vec<PolicyFault>,
}

/// Evaluates a policy for every class and pair of classes.
///
/// Where a policy function fails, the result in `previous` is kept.
pub fn evaluate(
    program: &Program,
    revision: u64,
    tasks: &BTreeSet<TaskFacts>,
    previous: &PolicyTable,
) -> Evaluation {
    let mut faults = Vec::new();
    let mut table = PolicyTable { revision, ..PolicyTable::default() };
    match program.tail_weight() {
        Ok(weight) => table.tail_weight = weight.unwrap_or(table.tail_weight),
        Err(cause) => {
            table.tail_weight = previous.tail_weight;
            let (function, class) = ("tail_weight", "any".to_owned());
            faults.push(PolicyFault { function, class, cause });
        }
    }
    for task in tasks {
        let rule = evaluate_rule(program, task, previous, &mut faults);
        table.rules.insert(task.class.clone(), rule);
        for other in tasks {
            let pair = (task.class.clone(), other.class.clone());
            let apart = match program.may_share(task, other) {
                Ok(answer) => !answer.unwrap_or(true),
                Err(cause) => {
                    faults.push(PolicyFault::new("may_share", &task.class, cause));
                    previous.apart.contains(&pair)
                }
            };
            if apart {
                table.apart.insert((pair.1.clone(), pair.0.clone()));
                table.apart.insert(pair);
            }
        }
    }
    Evaluation { table, faults }
}

fn evaluate_rule(
    program: &Program,
    task: &TaskFacts,
    previous: &PolicyTable,
    faults: &mut Vec<PolicyFault>,
) -> ClassRule {
    let default = ClassRule::default_for(task.kind);
    let last_good = previous.rule(&task.class, task.kind);
    let mut add_fault =
        |function, cause| faults.push(PolicyFault::new(function, &task.class, cause));
    let rank = match program.rank(task) {
        Ok(answer) => answer.unwrap_or(default.rank),
        Err(cause) => {
            add_fault("rank", cause);
            last_good.rank
        }
    };
    let sacrifice = match program.sacrifice(task) {
        Ok(answer) => answer.unwrap_or(default.sacrifice),
        Err(cause) => {
            add_fault("sacrifice", cause);
            last_good.sacrifice
        }
    };
    let max_slowdown = match program.max_slowdown(task) {
        Ok(answer) => answer.unwrap_or(default.max_slowdown),
        Err(cause) => {
            add_fault("max_slowdown", cause);
            last_good.max_slowdown
        }
    };
    ClassRule { rank, sacrifice, max_slowdown }
}
