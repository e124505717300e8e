# Functions of the cases 6 to 10: a small deployment of three control machines
# and two entry machines on loopback addresses, with settings as
# deploy/settings.yaml.tmpl renders them, and minions. Source it in run.sh.
# shellcheck shell=bash

set -u
CASE_FOLDER=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
FLEET=build-review-2/fleet
DAEMON=target/coltsfootd
TROUBLE=${TROUBLE:-1}
RECORD=$CASE_FOLDER/record.txt
CORES=(core-1 core-2 core-3)
EDGES=(edge-1 edge-2)
declare -A PID=()

[ -x "$FLEET" ] && [ -x "$DAEMON" ] || {
    echo "build $DAEMON and $FLEET first" >&2
    exit 2
}
WORK=$(mktemp -d) || exit 2
: >"$RECORD"

now_ms() {
    echo $((${EPOCHREALTIME//[!0-9]/} / 1000))
}

# say TEXT: writes a line with the time since the start to the record.
say() {
    printf '%7d ms  %s\n' $(($(now_ms) - BEGIN_MS)) "$*" | tee -a "$RECORD"
}
BEGIN_MS=$(now_ms)

# end_all: ends every process that the case started.
end_all() {
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -KILL "${PID[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM

# cannot_run TEXT: ends the case without a result.
cannot_run() {
    say "CANNOT RUN: $*"
    exit 2
}

broken() {
    say "BROKEN: $*"
    exit 1
}

held() {
    say "HELD: $*"
    exit 0
}

host_of() {
    case $1 in
    core-*) echo "127.0.0.$((${1#core-} + 1))" ;;
    edge-*) echo "127.0.0.$((${1#edge-} + 4))" ;;
    *) echo "127.0.0.$((${1##*-} + 9))" ;;
    esac
}

port_is_free() {
    local i
    for ((i = 1; i <= 20; i++)); do
        ! (exec 3<>"/dev/tcp/127.0.0.$i/$1") 2>/dev/null || return 1
    done
}

# Ports from PORT on: peers, metrics, control, traffic, readiness, minions.
choose_ports() {
    local try i
    for ((try = 0; try < 50; try++)); do
        PORT=$((12000 + RANDOM % 18000 / 10 * 10))
        for ((i = 0; i < 6; i++)); do
            port_is_free $((PORT + i)) || continue 2
        done
        return 0
    done
    cannot_run "no free ports"
}
choose_ports

control_address() {
    echo "$(host_of "$1"):$((PORT + 2))"
}

control_list() {
    echo "$(control_address core-1),$(control_address core-2),$(control_address core-3)"
}

# write_settings NODE ROLE BOOTSTRAP
write_settings() {
    local name=$1 role=$2 bootstrap=$3 ip node
    ip=$(host_of "$name")
    {
        echo "name: \"$name\""
        echo "cluster: \"fleet\""
        echo "data_centre: \"north\""
        echo "region: \"west\""
        echo "role: \"$role\""
        echo "wire: \"platform\""
        echo "peer: \"$ip:$PORT\""
        if [ "$role" = control ]; then
            echo "control: \"$ip:$((PORT + 2))\""
            echo "metrics: \"$ip:$((PORT + 1))\""
            echo "data_folder: \"$WORK/$name\""
        else
            echo "traffic: \"$ip:$((PORT + 3))\""
            echo "ready: \"$ip:$((PORT + 4))\""
        fi
        echo "seeds:"
        for node in "${CORES[@]}"; do
            echo "  - \"$(control_address "$node")\""
        done
        echo "found: $bootstrap"
        echo "disk_losses: 1"
        echo "announce_ms: 1500"
        echo "run_lease_ms: 6000"
        echo "run_stop_ms: 400"
        echo "job_early_ms: 0"
        echo "holder_lease_ms: 3000"
        echo "election_ms: 600"
        echo "heartbeat_ms: 150"
        echo "snapshot_entries: 4096"
        echo "shutdown_grace_ms: 5500"
    } >"$WORK/$name.yaml"
}

# start_node NODE ROLE BOOTSTRAP: starts a process with the command of the
# deploy file.
start_node() {
    write_settings "$1" "$2" "$3"
    [ "$2" != control ] || mkdir -p "$WORK/$1"
    "$DAEMON" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" 2>>"$WORK/$1.err" &
    PID[$1]=$!
    disown
}

# crash NAME: SIGKILL, and waits for the end.
crash() {
    kill -KILL "${PID[$1]}" 2>/dev/null
    while kill -0 "${PID[$1]}" 2>/dev/null; do sleep 0.01; done
    unset "PID[$1]"
}

# start_minion NUMBER [OPTIONS...]: starts minion-NUMBER on machine
# m-NUMBER.
start_minion() {
    local name=minion-$1 machine=m-$1
    shift
    "$FLEET" minion --id "i-${name#minion-}" --machine "$machine" \
        --service desk --listen "$(host_of "$name"):$((PORT + 5))" \
        --control "$(control_list)" --events "$WORK/events" "$@" \
        2>>"$WORK/$name.err" &
    PID[$name]=$!
    disown
}

# call METHOD ADDRESS/PATH [BODY [HOST]]: sets STATUS and BODY.
call() {
    local answer
    answer=$("$FLEET" call "$1" "$2" "${CALL_MS:-1000}" "${4:-}" "${3:-}")
    STATUS=${answer%% *}
    BODY=${answer#* }
}

config() {
    echo '{"version":'"$1"',"routes":[{"name":"r-desk","host":"desk.example",'\
'"path-prefix":"/jobs/","kind":"non_idempotent","timeout-ms":3000,'\
'"completion-target-ms":2500,"priority":0,"service":"desk",'\
'"max-attempts":3,"slack-factor":2.2}],"services":[{"name":"desk",'\
'"health-check":"/healthz","max-conns":64,"protocol":"h1","tls":false,'\
'"enforce-capacity":true,"standby":false}],"limits":{'\
'"max-header-bytes":16384,"max-body-bytes":262144,'\
'"header-timeout-ms":3000,"idle-timeout-ms":15000}}'
}

# put_config VERSION: sends the configuration to one node after the other
# until one acknowledges it.
put_config() {
    local node try
    for ((try = 0; try < 150; try++)); do
        for node in "${CORES[@]}"; do
            call PUT "$(control_address "$node")/api/config" "$(config "$1")"
            if [ "$STATUS" = 200 ]; then
                ACKED_BY=$node
                say "configuration $1 acknowledged at $node"
                return 0
            fi
        done
        sleep 0.02
    done
    cannot_run "configuration $1 was not acknowledged"
}

# job METHOD ID [BODY]: calls an entry machine as a client does, again at the
# other one after no answer, a 502, 503 or 504.
job() {
    local try
    for ((try = 0; try < 20; try++)); do
        CALL_MS=3000 call "$1" \
            "$(host_of "${EDGES[try % 2]}"):$((PORT + 3))/jobs/$2" "${3:-}" \
            desk.example
        case $STATUS in
        000 | 502 | 503 | 504) sleep 0.1 ;;
        *) return 0 ;;
        esac
    done
}

# wait_until SECONDS COMMAND...: succeeds once the command does.
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

edges_are_ready() {
    local node
    for node in "${EDGES[@]}"; do
        call GET "$(host_of "$node"):$((PORT + 4))/api/readyz"
        [ "$STATUS" = 200 ] || return 1
    done
}

has_three_voters() {
    local node
    for node in "${CORES[@]}"; do
        call GET "$(host_of "$node"):$((PORT + 1))/metrics"
        if grep -q '^coltsfoot_leader 1' <<<"$BODY" &&
            grep -q '^coltsfoot_voters 3' <<<"$BODY"; then
            return 0
        fi
    done
    return 1
}

# start_deployment: starts all machines, and waits until three control nodes
# vote and the entry machines are ready.
start_deployment() {
    local node
    for node in "${CORES[@]}"; do start_node "$node" control true; done
    for node in "${EDGES[@]}"; do start_node "$node" entry true; done
    put_config 3
    wait_until 20 has_three_voters || cannot_run "no three voters"
    wait_until 20 edges_are_ready || cannot_run "no entry machine is ready"
    say "three voters, both entry machines ready"
}

# event_count PATTERN: counts the lines of the minions' events that match.
event_count() {
    [ -e "$WORK/events" ] || { echo 0; return; }
    grep -cE -- "$1" "$WORK/events"
}

# record_events: appends the minions' events to the record.
record_events() {
    {
        echo "events of the minions:"
        awk -v begin="$BEGIN_MS" \
            '{ t = $1 - begin; $1 = ""; printf "%7d ms %s\n", t, $0 }' \
            "$WORK/events"
    } >>"$RECORD"
}
