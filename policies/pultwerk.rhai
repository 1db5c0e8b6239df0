// Pultwerk: an employee waits at the kiosk while a hold is confirmed, so tail latency
// weighs more. The nightly allocation has until morning.

fn rank(task) {
    if task.class.contains("hold") { return 200; }
    if task.kind == "service" { return 120; }
    if task.kind == "watcher" { return 60; }
    20
}

fn sacrifice(task) {
    if task.kind == "service" { return "never"; }
    if task.kind == "watcher" { return "throttle"; }
    "evict"
}

fn max_slowdown(task) {
    if task.class.contains("hold") { return 1.1; }
    if task.kind == "service" { 1.25 } else { 50.0 }
}

// An allocation never shares a worker with holds.
fn may_share(one, other) {
    !(_is_hold(one) && _is_allocation(other) || _is_allocation(one) && _is_hold(other))
}

fn tail_weight() { 0.85 }

fn _is_hold(task) { task.class.contains("hold") }
fn _is_allocation(task) { task.class.contains("allocation") }
