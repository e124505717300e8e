# Functions of the process tests and the demo: start real processes on
# loopback, wait for states, and stop by process id what was started.
# shellcheck shell=bash

set -euo pipefail

# A wait ends as soon as its state is there; the limit only keeps a broken
# build from hanging.
WAIT_S=${WAIT_S:-60}

proc_begin() {
    BUILD=$(cd "$1" && pwd)
    WORK=$(mktemp -d "${TMPDIR:-/tmp}/coltsfoot.XXXXXX")
    declare -gA PID=()
    declare -gA CONTROL=()
    declare -gA TRAFFIC=()
    declare -gA CENTRE=()
    declare -gA RELAYED=()
    ENTRIES=()
    RELAY_PAIRS=()
    export COLTSFOOT_OPERATOR=ann
    trap proc_end EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

proc_end() {
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

# wait_for TEXT COMMAND...: repeats the command until it succeeds.
wait_for() {
    local text=$1
    shift
    local end=$((SECONDS + WAIT_S))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || fail "no $text within $WAIT_S s"
        sleep 0.1
    done
}

# On all addresses that the tests give to their nodes.
port_is_free() {
    local host
    for host in 1 2 3 4 5; do
        ! (exec 3<>"/dev/tcp/127.0.0.$host/$1") 2>/dev/null || return 1
    done
}

# Keeps other runs from the same ports until this one and all that it started
# have ended. Returns false when another run holds them.
reserve_base() {
    exec {RESERVED}>"${TMPDIR:-/tmp}/coltsfoot-ports-$BASE"
    flock -n "$RESERVED" || {
        exec {RESERVED}>&-
        return 1
    }
}

# Sets BASE to a port from which COUNT consecutive ports are free. The range
# lies below the ports that the kernel gives to outgoing connections.
choose_base() {
    local count=$1 try i
    for ((try = 0; try < 50; try++)); do
        BASE=$((12000 + (RANDOM % 180) * 100))
        reserve_base || continue
        for ((i = 0; i < count; i++)); do
            port_is_free $((BASE + i)) || continue 2
        done
        return 0
    done
    fail "no free ports"
}

# link_address FROM_CENTRE TO_CENTRE ADDRESS: sets LINK to the address under
# which a peer is reached: a port of the relay between data centres when
# RELAY_NEXT names the next free port for it.
link_address() {
    LINK=$3
    if [ -z "${RELAY_NEXT:-}" ] || [ "$1" = "$2" ]; then
        return 0
    fi
    LINK=${RELAYED["$1 $3"]:-}
    if [ -z "$LINK" ]; then
        LINK=127.0.0.1:$RELAY_NEXT
        RELAY_NEXT=$((RELAY_NEXT + 1))
        RELAYED["$1 $3"]=$LINK
        RELAY_PAIRS+=(--pair "$1-$2:$LINK=$3")
    fi
}

# start_relay CONTROL_PORT: starts the relay of the links of the cluster.
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

# relay_change DATA_CENTRE PATH [QUERY]: changes all links of a data centre,
# in both directions.
relay_change() {
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

# cut_centre DATA_CENTRE silent|refuse|late
cut_centre() {
    relay_change "$1" cut "kind=$2"
}

heal_centre() {
    relay_change "$1" heal
}

# cluster NAME:DATA_CENTRE...: writes the settings of entry VMs, each with a
# data folder; a name that ends in "!" has none.
cluster() {
    local i=0 node name centre other
    for node in "$@"; do
        name=${node%%:*}
        name=${name%!}
        ENTRIES+=("$name")
        CENTRE[$name]=${node#*:}
        CONTROL[$name]=127.0.0.1:$((BASE + 3 * i + 1))
        TRAFFIC[$name]=127.0.0.1:$((BASE + 3 * i + 2))
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
            echo "peer: 127.0.0.1:$((BASE + 3 * i))"
            echo "control: ${CONTROL[${name%!}]}"
            echo "traffic: ${TRAFFIC[${name%!}]}"
            printf '%s\n' "${EXTRA_SETTINGS[@]:-}"
            echo "peers:"
            local j=0
            for other in "$@"; do
                local short=${other%%:*}
                short=${short%!}
                if [ $j -ne $i ]; then
                    echo "  - name: $short"
                    echo "    data_centre: ${other#*:}"
                    link_address "$centre" "${other#*:}" \
                        "127.0.0.1:$((BASE + 3 * j))"
                    echo "    peer: $LINK"
                    link_address "$centre" "${other#*:}" "${TRAFFIC[$short]}"
                    echo "    traffic: $LINK"
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

# signal NAME SIGNAL
signal() {
    kill "-$2" "${PID[$1]}"
}

# Kills a process at once and waits until it is gone.
kill_now() {
    kill -KILL "${PID[$1]}"
    wait "${PID[$1]}" 2>/dev/null || true
    unset "PID[$1]"
}

# Stops a process with SIGTERM; its exit status goes into STOP_STATUS.
stop_process() {
    kill -TERM "${PID[$1]}"
    STOP_STATUS=0
    wait "${PID[$1]}" || STOP_STATUS=$?
    unset "PID[$1]"
}

# control_options OPTION [DATA_CENTRE]: the control ports of all entry VMs or
# of those of one data centre.
control_options() {
    local name
    for name in "${ENTRIES[@]}"; do
        [ "${2:-${CENTRE[$name]}}" = "${CENTRE[$name]}" ] || continue
        printf -- '--%s %s ' "$1" "${CONTROL[$name]}"
    done
}

# start_targets PREFIX POOL DATA_CENTRE FIRST_PORT COUNT [OPTIONS...]
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

# cli COMMAND...: asks the entry VMs in turn.
cli() {
    # shellcheck disable=SC2046
    "$BUILD/coltsfoot" "$@" $(control_options to)
}

# number KEY: the first whole number of that key in JSON on standard input.
number() {
    grep -o "\"$1\": *-\\?[0-9]*" | head -1 | grep -o -- '-\?[0-9]*$'
}

version() {
    cli show --json | number version
}

# patch [COLTSFOOT OPTIONS...]: submits a patch against the current version.
# A conflict with a change that the system made meanwhile is tried again.
patch() {
    local try
    for ((try = 0; try < 20; try++)); do
        if cli patch --json --base "$(version)" "$@" 2>"$WORK/patch.err"; then
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

pool_has() {
    [ "$(count_vms "$1")" -ge "$2" ]
}

# Starts three entry VMs in two data centres and the service booking with four
# targets in the north and three in the south.
standard_cluster() {
    choose_base 60
    cluster north-1:north north-2:north south-1:south
    init_cluster north-1
    start_entries
    patch --request-id setup --set services/booking/pool=booking \
        --set pools/booking/max_unavailable=2 >/dev/null
    start_targets north-book booking north $((BASE + 20)) 4 --run-from-body
    start_targets south-book booking south $((BASE + 28)) 3 --run-from-body
    wait_for "registration of 7 VMs" pool_has booking 7
    local name
    for name in "${ENTRIES[@]}"; do
        wait_for "answers of $name" serves "$name"
    done
    VERIFY=(--verify "127.0.0.1:$((BASE + 20))"
        --verify "127.0.0.1:$((BASE + 28))")
}

serves() {
    "$BUILD/standin-caller" --to "${TRAFFIC[$1]}" --service booking \
        --requests 4 | grep -q '"done":4'
}

# start_load NAME [OPTIONS...]: checked load on all entry VMs.
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

# Waits for a load, prints its counts and fails on a wrong answer.
end_load() {
    local status=0
    wait "${PID[$1]}" || status=$?
    unset "PID[$1]"
    echo "$1: $(cat "$WORK/$1.out")"
    [ $status -eq 0 ] || fail "$1 ended with status $status"
}

# expect LOAD KEY OPERATOR NUMBER: checks one count of a load.
expect() {
    local value
    value=$(number "$2" <"$WORK/$1.out")
    [ "$value" "$3" "$4" ] || fail "$1: $2 is $value, expected $3 $4"
}

entry_number() {
    "$BUILD/coltsfoot" status --json --to "${CONTROL[$1]}" | number "$2"
}
