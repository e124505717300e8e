# Functions of the process tests, the demo and the bench scripts. They start
# processes on loopback, wait for conditions, and stop each by process id.
# shellcheck shell=bash

set -euo pipefail

# Timeout of wait_for. A wait ends as soon as its condition holds; the timeout
# only keeps a broken build from hanging.
WAIT_S=${WAIT_S:-60}

# setup_run BUILD: creates the temporary folder WORK for settings, data and
# logs, and the maps from names to process ids and addresses. Everything is
# stopped and removed when the script exits.
setup_run() {
    BUILD=$(cd "$1" && pwd)
    WORK=$(mktemp -d "${TMPDIR:-/tmp}/coltsfoot.XXXXXX")
    declare -gA PID=()
    declare -gA CONTROL=()
    declare -gA TRAFFIC=()
    declare -gA DATA_CENTRE=()
    declare -gA RELAY_ADDRESS=()
    ENTRIES=()
    RELAY_PAIRS=()
    export COLTSFOOT_OPERATOR=ann
    trap cleanup_run EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

# Stops all processes, with SIGKILL after 5 s, prints the last log lines after
# a failure, and removes WORK.
cleanup_run() {
    local status=$?
    trap - EXIT
    set +e
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -TERM "${PID[$name]}" 2>/dev/null
    done
    local i
    for ((i = 0; i < 50; i++)); do
        local alive=0
        for name in "${!PID[@]}"; do
            kill -0 "${PID[$name]}" 2>/dev/null && alive=1
        done
        [ $alive -eq 0 ] && break
        sleep 0.1
    done
    for name in "${!PID[@]}"; do
        kill -KILL "${PID[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    if [ $status -ne 0 ] && [ -n "${WORK:-}" ]; then
        echo "failed with status $status; last log lines:" >&2
        tail -n 15 "$WORK"/*.log >&2
    fi
    rm -rf "$WORK"
    exit $status
}

fail() {
    echo "FAIL: $*" >&2
    exit 1
}

# wait_for TEXT COMMAND...: repeats the command until it succeeds. TEXT names
# the condition in the failure message.
wait_for() {
    local text=$1
    shift
    local end=$((SECONDS + WAIT_S))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] ||
            fail "timed out after $WAIT_S s waiting for $text"
        sleep 0.1
    done
}

# port_is_free PORT: succeeds if nothing listens on the port at any of the
# loopback addresses that the tests use.
port_is_free() {
    local host
    for host in 1 2 3 4 5; do
        ! (exec 3<>"/dev/tcp/127.0.0.$host/$1") 2>/dev/null || return 1
    done
}

# Locks the ports from BASE_PORT on until this run and all processes that it
# started have exited. Fails if another run holds the lock.
reserve_ports() {
    exec {PORT_LOCK_FD}>"${TMPDIR:-/tmp}/coltsfoot-ports-$BASE_PORT"
    flock -n "$PORT_LOCK_FD" || {
        exec {PORT_LOCK_FD}>&-
        return 1
    }
}

# choose_base_port COUNT: sets BASE_PORT to the first of COUNT consecutive free
# ports. The range lies below the kernel's ephemeral ports.
choose_base_port() {
    local count=$1 try i
    for ((try = 0; try < 50; try++)); do
        BASE_PORT=$((12000 + (RANDOM % 180) * 100))
        reserve_ports || continue
        for ((i = 0; i < count; i++)); do
            port_is_free $((BASE_PORT + i)) || continue 2
        done
        return 0
    done
    fail "no free range of ports found"
}

# set_link_address FROM_DATA_CENTRE TO_DATA_CENTRE ADDRESS: sets LINK_ADDRESS
# to the address under which FROM_DATA_CENTRE reaches the peer with ADDRESS. If
# RELAY_NEXT_PORT is set, it is the next free port of the relay, and links
# between data centres go through the relay.
set_link_address() {
    LINK_ADDRESS=$3
    if [ -z "${RELAY_NEXT_PORT:-}" ] || [ "$1" = "$2" ]; then
        return 0
    fi
    LINK_ADDRESS=${RELAY_ADDRESS["$1 $3"]:-}
    if [ -z "$LINK_ADDRESS" ]; then
        LINK_ADDRESS=127.0.0.1:$RELAY_NEXT_PORT
        RELAY_NEXT_PORT=$((RELAY_NEXT_PORT + 1))
        RELAY_ADDRESS["$1 $3"]=$LINK_ADDRESS
        RELAY_PAIRS+=(--pair "$1-$2:$LINK_ADDRESS=$3")
    fi
}

# start_relay CONTROL_PORT: starts the relay for the links between data
# centres.
start_relay() {
    RELAY_CONTROL=127.0.0.1:$1
    "$BUILD/standin-relay" --control "$RELAY_CONTROL" "${RELAY_PAIRS[@]}" \
        >>"$WORK/relay.log" 2>&1 &
    PID[relay]=$!
    wait_for "relay" relay_state
}

relay_state() {
    curl -sf --noproxy '*' -m 2 "http://$RELAY_CONTROL/state"
}

# change_links DATA_CENTRE PATH [QUERY]: sends a request to the relay for each
# group of links from or to a data centre.
change_links() {
    local group
    for group in $(relay_state | cut -d' ' -f1); do
        case $group in
        "$1"-* | *-"$1")
            curl -sf --noproxy '*' -m 5 -X POST -o /dev/null \
                "http://$RELAY_CONTROL/$2?group=$group${3:+&$3}"
            ;;
        esac
    done
}

# cut_data_centre DATA_CENTRE silent|refuse|late: cuts a data centre off from
# the others.
cut_data_centre() {
    change_links "$1" cut "kind=$2"
}

heal_data_centre() {
    change_links "$1" heal
}

# write_cluster_settings NAME:DATA_CENTRE...: writes the settings of the entry
# VMs. Each has a data folder, except those whose name ends in "!".
write_cluster_settings() {
    local i=0 node name centre other
    for node in "$@"; do
        name=${node%%:*}
        name=${name%!}
        ENTRIES+=("$name")
        DATA_CENTRE[$name]=${node#*:}
        CONTROL[$name]=127.0.0.1:$((BASE_PORT + 3 * i + 1))
        TRAFFIC[$name]=127.0.0.1:$((BASE_PORT + 3 * i + 2))
        i=$((i + 1))
    done
    i=0
    for node in "$@"; do
        name=${node%%:*}
        centre=${node#*:}
        {
            echo "name: ${name%!}"
            echo "cluster: test"
            echo "data_centre: $centre"
            [[ $name == *! ]] || echo "data_folder: $WORK/${name%!}"
            echo "peer: 127.0.0.1:$((BASE_PORT + 3 * i))"
            echo "control: ${CONTROL[${name%!}]}"
            echo "traffic: ${TRAFFIC[${name%!}]}"
            printf '%s\n' "${EXTRA_SETTINGS[@]:-}"
            echo "peers:"
            local j=0
            for other in "$@"; do
                local other_name=${other%%:*}
                other_name=${other_name%!}
                if [ $j -ne $i ]; then
                    echo "  - name: $other_name"
                    echo "    data_centre: ${other#*:}"
                    set_link_address "$centre" "${other#*:}" \
                        "127.0.0.1:$((BASE_PORT + 3 * j))"
                    echo "    peer: $LINK_ADDRESS"
                    set_link_address "$centre" "${other#*:}" \
                        "${TRAFFIC[$other_name]}"
                    echo "    traffic: $LINK_ADDRESS"
                fi
                j=$((j + 1))
            done
        } >"$WORK/${name%!}.yaml"
        "$BUILD/coltsfoot" check "$WORK/${name%!}.yaml" >/dev/null
        i=$((i + 1))
    done
}

init_cluster() {
    "$BUILD/coltsfootd" --init --settings "$WORK/$1.yaml" \
        2>>"$WORK/$1.log" >&2
}

start_entry() {
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.log" 2>&1 &
    PID[$1]=$!
}

start_entries() {
    local name
    for name in "${ENTRIES[@]}"; do
        start_entry "$name"
    done
    for name in "${ENTRIES[@]}"; do
        wait_for "readiness of $name" is_ready "$name"
    done
}

is_ready() {
    curl -sf --noproxy '*' -m 2 "http://${TRAFFIC[$1]}/readyz"
}

# send_signal NAME SIGNAL: sends a signal to a process.
send_signal() {
    kill "-$2" "${PID[$1]}"
}

# kill_process NAME: kills a process with SIGKILL and waits until it has
# exited.
kill_process() {
    kill -KILL "${PID[$1]}"
    wait "${PID[$1]}" 2>/dev/null || true
    unset "PID[$1]"
}

# stop_process NAME: stops a process with SIGTERM and sets STOP_STATUS to its
# exit status.
stop_process() {
    kill -TERM "${PID[$1]}"
    STOP_STATUS=0
    wait "${PID[$1]}" || STOP_STATUS=$?
    unset "PID[$1]"
}

# control_options OPTION [DATA_CENTRE]: prints an option with the control
# address for each entry VM, or for those of one data centre.
control_options() {
    local name
    for name in "${ENTRIES[@]}"; do
        [ "${2:-${DATA_CENTRE[$name]}}" = "${DATA_CENTRE[$name]}" ] || continue
        printf -- '--%s %s ' "$1" "${CONTROL[$name]}"
    done
}

# start_targets PREFIX POOL DATA_CENTRE FIRST_PORT COUNT [OPTIONS...]: starts
# a process with COUNT targets.
start_targets() {
    local prefix=$1 pool=$2 centre=$3 port=$4 count=$5
    shift 5
    # shellcheck disable=SC2046
    "$BUILD/standin-target" --listen "127.0.0.1:$port" --count "$count" \
        --name "$prefix" --pool "$pool" --data-centre "$centre" \
        --rack "$prefix-rack" \
        $(control_options control "${ANNOUNCE_LOCALLY:+$centre}") "$@" \
        >"$WORK/$prefix.out" 2>>"$WORK/$prefix.log" &
    PID[$prefix]=$!
}

# cli COMMAND...: runs a coltsfoot command, which tries the entry VMs in turn.
cli() {
    # shellcheck disable=SC2046
    "$BUILD/coltsfoot" "$@" $(control_options to)
}

# json_number KEY: prints the first integer of a key in the JSON text on
# standard input.
json_number() {
    grep -o "\"$1\": *-\\?[0-9]*" | head -1 | grep -o -- '-\?[0-9]*$'
}

current_version() {
    cli show --json | json_number version
}

# submit_patch [COLTSFOOT OPTIONS...]: submits a patch against the current
# version. Retries after a conflict with a concurrent change by the system.
submit_patch() {
    local try
    for ((try = 0; try < 20; try++)); do
        if cli patch --json --base "$(current_version)" "$@" \
            2>"$WORK/patch.err"; then
            return 0
        fi
        grep -q conflict "$WORK/patch.err" || break
        sleep 0.2
    done
    cat "$WORK/patch.err" >&2
    return 1
}

vms_of_pool() {
    cli vms --json | tr -d '\n' | tr '{' '\n' | grep "\"pool\": *\"$1\"" |
        grep -o '"name": *"[^"]*"' | cut -d'"' -f4
}

count_vms() {
    vms_of_pool "$1" | wc -l
}

# pool_has_vms POOL COUNT: succeeds if a pool has at least COUNT VMs.
pool_has_vms() {
    [ "$(count_vms "$1")" -ge "$2" ]
}

# Starts three entry VMs in two data centres and the service booking with four
# targets in the north and three in the south. Sets VERIFY to the options with
# which a load verifies its answers at the targets.
start_standard_cluster() {
    choose_base_port 60
    write_cluster_settings north-1:north north-2:north south-1:south
    init_cluster north-1
    start_entries
    submit_patch --request-id setup --set services/booking/pool=booking \
        --set pools/booking/max_unavailable=2 >/dev/null
    start_targets north-book booking north $((BASE_PORT + 20)) 4 \
        --run-from-body
    start_targets south-book booking south $((BASE_PORT + 28)) 3 \
        --run-from-body
    wait_for "registration of 7 VMs" pool_has_vms booking 7
    local name
    for name in "${ENTRIES[@]}"; do
        wait_for "answers through $name" serves_requests "$name"
    done
    VERIFY=(--verify "127.0.0.1:$((BASE_PORT + 20))"
        --verify "127.0.0.1:$((BASE_PORT + 28))")
}

# serves_requests NAME: succeeds if requests through an entry VM are done.
serves_requests() {
    "$BUILD/standin-caller" --to "${TRAFFIC[$1]}" --service booking \
        --requests 4 | grep -q '"done":4'
}

# start_load NAME [OPTIONS...]: starts a load on all entry VMs.
start_load() {
    local name=$1
    shift
    # shellcheck disable=SC2046
    "$BUILD/standin-caller" --service booking $(traffic_options) "$@" \
        >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PID[$name]=$!
}

traffic_options() {
    local name
    for name in "${ENTRIES[@]}"; do
        printf -- '--to %s ' "${TRAFFIC[$name]}"
    done
}

# wait_for_load NAME: waits until a load has ended, prints its counts and fails
# on a wrong answer.
wait_for_load() {
    local status=0
    wait "${PID[$1]}" || status=$?
    unset "PID[$1]"
    echo "$1: $(cat "$WORK/$1.out")"
    [ $status -eq 0 ] || fail "$1 ended with status $status"
}

# expect_count LOAD KEY OPERATOR NUMBER: checks one count of a load.
expect_count() {
    local value
    value=$(json_number "$2" <"$WORK/$1.out")
    [ "$value" "$3" "$4" ] || fail "$1: $2 is $value, expected $3 $4"
}

# entry_status_number NAME KEY: prints a number of an entry VM's status.
entry_status_number() {
    "$BUILD/coltsfoot" status --json --to "${CONTROL[$1]}" |
        json_number "$2"
}
