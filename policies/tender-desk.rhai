// The tender desk: full packs must be compiled before portals close, so throughput
// weighs more; but a validation check must never be left hanging.

fn rank(task) {
    if task.kind == "service" { return 100; }
    if task.kind == "watcher" { return 60; }
    if _is_pack(task) { 40 } else { 10 }
}

fn sacrifice(task) {
    if task.kind == "service" { return "never"; }
    if task.kind == "watcher" { return "throttle"; }
    // A pack is slowed down before anything else, and stopped only if that doesn't help.
    "evict"
}

fn max_slowdown(task) {
    if task.kind == "service" { 1.5 } else { 20.0 }
}

fn tail_weight() { 0.35 }

fn _is_pack(task) { task.class.contains("pack") }
