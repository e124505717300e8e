# Functions of the scripts of review/11 to review/15. A script sources this
# file, calls setup_case, and ends with finish_case BROKEN. It needs bash and
# curl, the build of the deploy file and review/build-3.sh.
# shellcheck shell=bash

set -uo pipefail

CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
BIN=$ROOT/build-review-3
CORES=(core-1 core-2 core-3)
EDGES=(edge-1 edge-2)
declare -A PID=()

note() {
    printf '%s %s\n' "$(date +%s.%3N)" "$*" | tee -a "$CASE/record.txt"
}

cannot_run() {
    note "cannot run: $*"
    exit 2
}

end_processes() {
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -KILL "${PID[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    [ -z "${KEEP:-}" ] || cp -r "$WORK" "$KEEP"
    rm -rf "$WORK"
}

host_of() {
    case $1 in
    core-*) echo "127.0.0.$((${1#core-} + 1))" ;;
    edge-*) echo "127.0.0.$((${1#edge-} + 4))" ;;
    esac
}

port_is_free() {
    local host
    for host in 1 2 3 4 5 6 7; do
        ! (exec 3<>"/dev/tcp/127.0.0.$host/$1") 2>/dev/null || return 1
    done
}

choose_ports() {
    local try i
    for ((try = 0; try < 50; try++)); do
        BASE=$((12000 + (RANDOM % 180) * 100))
        for ((i = 0; i < 60; i++)); do
            port_is_free $((BASE + i)) || continue 2
        done
        return 0
    done
    cannot_run "no free ports"
}

# write_common NAME ROLE: what the settings of all roles have in common, as
# deploy/settings.yaml.tmpl renders it.
write_common() {
    cat <<END
name: "$1"
cluster: "fleet"
data_centre: "north"
region: "west"
role: "$2"
wire: "platform"
seeds:
  - "127.0.0.2:$((BASE + 1))"
  - "127.0.0.3:$((BASE + 1))"
  - "127.0.0.4:$((BASE + 1))"
disk_losses: 1
${VM_SERVICE:+vm_service: \"$VM_SERVICE\"}
announce_ms: 1500
run_lease_ms: 6000
run_stop_ms: 400
job_early_ms: 0
holder_lease_ms: 3000
election_ms: 600
heartbeat_ms: 150
snapshot_entries: 4096
shutdown_grace_ms: 5500
END
}

start_process() {
    (cd "$ROOT" && exec target/coltsfootd --settings "$WORK/$1.yaml") \
        >>"$WORK/$1.out" 2>&1 &
    PID[$1]=$!
    disown
}

start_core() {
    local host
    host=$(host_of "$1")
    mkdir -p "$WORK/$1"
    {
        write_common "$1" control
        cat <<END
peer: "$host:$BASE"
control: "$host:$((BASE + 1))"
metrics: "$host:$((BASE + 4))"
data_folder: "$WORK/$1"
found: ${2:-false}
END
    } >"$WORK/$1.yaml"
    start_process "$1"
}

start_edge() {
    local host
    host=$(host_of "$1")
    {
        write_common "$1" entry
        cat <<END
peer: "$host:$BASE"
traffic: "$host:$((BASE + 2))"
ready: "$host:$((BASE + 3))"
found: false
END
    } >"$WORK/$1.yaml"
    start_process "$1"
}

# call ARGS...: prints the status of an HTTP call, or 000; the body is in
# $WORK/body.
call() {
    : >"$WORK/body"
    curl -s --noproxy '*' -L --max-redirs 2 -m 3 -o "$WORK/body" \
        -w '%{http_code}' "$@" || true
}

# job METHOD ID [BODY]: a client's call at edge-1, and at edge-2 if that fails;
# the status is in STATUS.
job() {
    local edge
    for edge in "${EDGES[@]}"; do
        STATUS=$(call -X "$1" -H 'Host: a.example' -H 'X-Deadline-Ms: 3000' \
            ${3:+-H 'Content-Type: application/json' -d "$3"} \
            "http://$(host_of "$edge"):$((BASE + 2))/jobs/$2")
        case $STATUS in 000 | 5??) continue ;; *) break ;; esac
    done
    note "client $1 $2 ${3:-} -> $STATUS $(cat "$WORK/body")"
}

edge_is_ready() {
    [ "$(call "http://$(host_of "$1"):$((BASE + 3))/api/readyz")" = 200 ]
}

# has_leader: succeeds if a core leads three voters; sets LEADER.
has_leader() {
    local core
    for core in "${CORES[@]}"; do
        call "http://$(host_of "$core"):$((BASE + 4))/metrics" >/dev/null
        if grep -q '^coltsfoot_leader 1' "$WORK/body" &&
            { [ -n "${1:-}" ] ||
                grep -q '^coltsfoot_voters 3' "$WORK/body"; }; then
            LEADER=$core
            return 0
        fi
    done
    return 1
}

# await SECONDS COMMAND...: succeeds once the command does.
await() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

put_config() {
    local core status
    for core in "${CORES[@]}"; do
        status=$(call -X PUT -H 'Content-Type: application/json' -d "$1" \
            "http://$(host_of "$core"):$((BASE + 1))/api/config")
        [ "$status" = 200 ] && break
    done
    note "operator PUT /api/config -> $status"
    [ "$status" = 200 ]
}

config_of_one_queue() {
    echo '{"version":1,"routes":[{"name":"q","host":"a.example",' \
        '"path-prefix":"/jobs/","kind":"non_idempotent","timeout-ms":3000,' \
        '"completion-target-ms":600,"priority":0,"service":"p",' \
        '"max-attempts":2,"slack-factor":1.6}],"services":[{"name":"p",' \
        '"health-check":"/healthz","max-conns":64,"protocol":"h1",' \
        '"tls":false,"enforce-capacity":true,"standby":false}],' \
        '"limits":{"max-header-bytes":16384,"max-body-bytes":262144,' \
        '"header-timeout-ms":3000,"idle-timeout-ms":15000}}'
}

# start_minion N KIND [ARGS...]: starts minion mN on machine vN.
start_minion() {
    local n=$1 kind=$2
    shift 2
    "$BIN/minion-3" --control "127.0.0.2:$((BASE + 1))" \
        --control "127.0.0.3:$((BASE + 1))" \
        --control "127.0.0.4:$((BASE + 1))" \
        --listen "127.0.0.1:$((BASE + 10 + n))" --id "m$n" --machine "v$n" \
        --label "$kind" --label "r-$((n / 4))" --events "$WORK/events" "$@" \
        >>"$WORK/minions.out" 2>&1 &
    PID[m$n]=$!
    disown
}

kill_process() {
    kill -KILL "${PID[$1]}"
    while kill -0 "${PID[$1]}" 2>/dev/null; do sleep 0.01; done
    note "killed $1"
}

# count_events PATTERN: the number of matching lines of the minions' events.
count_events() {
    grep -cE "$1" "$WORK/events" || true
}

# Starts three cores and two edges and stores a configuration.
setup_case() {
    WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
    trap end_processes EXIT
    trap 'exit 2' INT TERM
    : >"$CASE/record.txt"
    : >"$WORK/events"
    [ -x "$ROOT/target/coltsfootd" ] || cannot_run "no target/coltsfootd"
    [ -x "$BIN/minion-3" ] || cannot_run "no build-review-3/minion-3"
    choose_ports
    ${BEFORE_START:-true}
    note "TROUBLE=$TROUBLE, first port $BASE"
    local node
    for node in "${CORES[@]}"; do start_core "$node" true; done
    for node in "${EDGES[@]}"; do start_edge "$node"; done
    await 20 has_leader || cannot_run "no leader"
    for node in "${EDGES[@]}"; do
        await 10 edge_is_ready "$node" || cannot_run "$node is not ready"
    done
    put_config "${CONFIG:-$(config_of_one_queue)}" ||
        cannot_run "the configuration was not stored"
}

# finish_case BROKEN: writes the minions' events and ends with 1 if the rule
# was broken, else with 0.
finish_case() {
    {
        echo "events of the minions:"
        cat "$WORK/events"
    } >>"$CASE/record.txt"
    if [ "$1" -gt 0 ]; then
        note "the rule was broken ($1)"
        exit 1
    fi
    note "the rule held"
    exit 0
}
