# Starts and stops a small system of separate processes on this machine.
# Sourced by the other scripts; expects BIN (a folder of built programs) and RUN (an empty folder).

TABLE=127.0.0.1:17100
BOX_LIST=127.0.0.1:17101
declare -A PIDS=()

say() { printf '%s\n' "== $*"; }
fail() { printf 'error: %s\n' "$*" >&2; exit 1; }

# start NAME PROGRAM ARGS...: runs a program in the background, its output in RUN/NAME.log.
start() {
    local name=$1; shift
    "$BIN/$1" "${@:2}" >>"$RUN/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# stop NAME SIGNAL: ends one program that was started here and waits for its end.
stop() {
    local pid=${PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill "-$2" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    local code=$?
    unset "PIDS[$1]"
    return $code
}

stop_all() {
    local name
    for name in "${!PIDS[@]}"; do stop "$name" KILL; done
}

# Where the parts of entry box or worker number N listen.
callers_of() { echo "127.0.0.1:$((17200 + $1 * 10))"; }
operators_of() { echo "127.0.0.1:$((17201 + $1 * 10))"; }
peers_of() { echo "127.0.0.1:$((17202 + $1 * 10))"; }
control_of() { echo "127.0.0.1:$((18000 + $1 * 2))"; }
endpoint_of() { echo "127.0.0.1:$((18001 + $1 * 2))"; }
zone_of() { echo "zone-$(($1 % ${ZONES:-2}))"; }

# write_fleet WORKERS BOXES CPU_MILLIS MEMORY_MB: the box list.
write_fleet() {
    local n
    : >"$RUN/fleet.toml"
    for n in $(seq 1 "$1"); do
        cat >>"$RUN/fleet.toml" <<EOF
[[workers]]
id = "worker-$n"
control = "$(control_of "$n")"
endpoint = "$(endpoint_of "$n")"
zone = "$(zone_of "$n")"
rack = $((n / 8))
capacity = { cpu_millis = $3, memory_mb = $4, accelerators = 0 }
state = "live"
EOF
    done
    for n in $(seq 1 "$2"); do
        cat >>"$RUN/fleet.toml" <<EOF
[[boxes]]
id = "entry-$n"
peer = "$(peers_of "$n")"
zone = "$(zone_of "$n")"
state = "live"
EOF
    done
}

# write_settings N [EXTRA]: the settings of entry box N.
write_settings() {
    cat >"$RUN/entry-$1.toml" <<EOF
box_id = "entry-$1"
zone = "$(zone_of "$1")"

[listen]
callers = "$(callers_of "$1")"
operators = "$(operators_of "$1")"
peers = "$(peers_of "$1")"

[platform]
table = "$TABLE"
box_list = "$BOX_LIST"
${2:-}
EOF
}

start_platform() {
    start table kitetrail-standins table --listen "$TABLE"
    start box-list kitetrail-standins box-list --listen "$BOX_LIST" --fleet "$RUN/fleet.toml"
}

# start_worker N [ARGS...]
start_worker() {
    local n=$1; shift
    start "worker-$n" kitetrail-standins worker --id "worker-$n" --control "$(control_of "$n")" \
        --endpoint "$(endpoint_of "$n")" --journal "$RUN/worker-$n.journal" "$@"
}

start_entry() { start "entry-$1" kitetraild --settings "$RUN/entry-$1.toml"; }

# operator N ARGS...: the command-line tool, asking entry box N.
operator() { "$BIN/kitetrail" --daemon "$(operators_of "$1")" "${@:2}"; }

# until_true SECONDS WHAT COMMAND...: waits for a command to succeed.
until_true() {
    local tries=$(($1 * 10)) what=$2
    shift 2
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "$what did not come about"
        sleep 0.1
    done
}

is_ready() { operator "$1" status; }

# endpoints_at N SERVICE COUNT: whether entry box N routes to so many endpoints.
endpoints_at() {
    operator "$1" status | awk -v s="$2" -v c="$3" '$1 == s && $2 >= c { found = 1 } END { exit !found }'
}

# job_done N JOB COUNT: whether so many tasks of a job ran to their end.
job_done() {
    operator "$1" job show "$2" | awk -v j="$2" -v c="$3" '$1 == j && $4 == c { found = 1 } END { exit !found }'
}

all_callers() {
    local n list=
    for n in $(seq 1 "$1"); do list=$list,$(callers_of "$n"); done
    echo "${list#,}"
}

journals() {
    local list
    list=$(printf ',%s' "$RUN"/worker-*.journal)
    echo "${list#,}"
}
