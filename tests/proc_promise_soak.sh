#!/usr/bin/env bash
# Soak test of the job service with callers, targets and an operator. Control
# VMs, entry VMs and targets run as real processes and are suspended, killed,
# stopped, reloaded or restarted with an empty disk, in series and overlapping,
# under load. Then the faults end, and what callers and the operator were told
# is compared with what the targets ran.
# Usage: proc_promise_soak.sh [BUILD]; SEED selects the sequence of faults, FAULTS
# their number, ENTRIES_COUNT, RELAYS and TARGETS the processes; KEEP is a folder
# for the files of a failed run.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh

SEED=${SEED:-1}
FAULTS=${FAULTS:-16}
ENTRIES_COUNT=${ENTRIES_COUNT:-3}
# Entry VMs that also serve operators and targets.
RELAYS=${RELAYS:-3}
TARGETS=${TARGETS:-4}
TARGETS_PER_PROCESS=${TARGETS_PER_PROCESS:-3}
RATE=${RATE:-15}
# Clients at each entry VM and each relay that stop within a body and come again
# when they are closed.
CROWD=${CROWD:-30}
# Bounds on the memory of a node beside them: half of an entry VM of 160 MB, and
# of a control VM of 256 MB.
declare -A MAX_KB=([edge]=81920 [relay]=81920 [core]=131072)
# Shares of the faults that hit control VMs and entry VMs.
CORE_PERCENT=${CORE_PERCENT:-35}
EDGE_PERCENT=${EDGE_PERCENT:-30}
# Share of the operator's acknowledgements that are lost, and how many of one
# order at most.
LOST_PERCENT=${LOST_PERCENT:-40}
LOST_LIMIT=${LOST_LIMIT:-1}
# Bounds of the deployments, in ms.
CONTACT_WINDOW=3000
ACK_TIMEOUT=4000
GRACE=6000
# A disk that takes longer to sync is a disruption from outside, in ms.
SLOW_SYNC=500

CONTROL_NODES=(core-1 core-2 core-3)
# Addresses of the control service: those of the control nodes and relays.
ADDRESSES=()
WIPED_DISKS=0
# A signal before a process has installed its handlers ends it.
START_TIME=500
declare -A FAULT_KIND=() FAULT_BEGIN=() FAULT_END=() FAULT_ORDER=()
declare -A NAME_OF=() STARTED=()
CROWDS=()
# What the settings of a node list as seeds before the relays: an order of the
# control nodes.
declare -A SEEDS_OF=()

now_ms() {
    NOW=$((${EPOCHREALTIME//[!0-9]/} / 1000))
}

host_of() {
    case $1 in
    core-*) HOST=127.0.0.$((${1#core-} + 1)) ;;
    edge-*) HOST=127.0.0.$((${1#edge-} + 4)) ;;
    relay-*) HOST=127.0.0.$((${1#relay-} + 4)) ;;
    esac
}

write_settings() {
    local name=$1 found=$2 node port=$BASE_PORT
    local order=${SEEDS_OF[$name]:-1 2 3}
    host_of "$name"
    [[ $name != relay-* ]] || port=$((BASE_PORT + 5))
    {
        echo "name: $name"
        echo "cluster: soak"
        echo "data_centre: north"
        echo "region: west"
        echo "wire: platform"
        echo "peer: $HOST:$port"
        echo "run_lease_ms: 6000"
        echo "run_stop_ms: 400"
        echo "shutdown_grace_ms: 5500"
        echo "seeds:"
        for node in $order; do echo "  - ${ADDRESSES[node - 1]}"; done
        for node in "${ADDRESSES[@]:3}"; do echo "  - $node"; done
        if [[ $name == core-* ]]; then
            echo "role: control"
            echo "control: $HOST:$((BASE_PORT + 1))"
            echo "metrics: $HOST:$((BASE_PORT + 4))"
            echo "data_folder: $WORK/$name"
            echo "found: $found"
            echo "disk_losses: 1"
            echo "election_ms: 600"
            echo "heartbeat_ms: 150"
        elif [[ $name == relay-* ]]; then
            echo "role: entry"
            echo "seed_peer_port: $BASE_PORT"
            echo "control: $HOST:$((BASE_PORT + 1))"
        else
            echo "role: entry"
            echo "traffic: $HOST:$((BASE_PORT + 2))"
            echo "ready: $HOST:$((BASE_PORT + 3))"
        fi
    } >"$WORK/$name.yaml"
}

start_daemon() {
    write_settings "$1" "$2"
    now_ms
    STARTED[$1]=$NOW
    mkdir -p "$WORK/$1"
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" \
        2>>"$WORK/$1.log" &
    PID[$1]=$!
    disown
}

# start_target_process NAME: starts a process with targets. Their ids begin
# with the entry of NAME_OF, which may change between incarnations.
start_target_process() {
    local number=${1#target-} address options=()
    for address in "${ADDRESSES[@]}"; do options+=(--control "$address"); done
    "$BUILD/standin-jobs-target" --name "${NAME_OF[$1]}" --seed "$SEED" \
        --listen "127.0.0.1:$((BASE_PORT + 10 + number * TARGETS_PER_PROCESS))" \
        --count "$TARGETS_PER_PROCESS" --events "$WORK/events-$number" \
        "${options[@]}" 2>>"$WORK/$1.log" &
    PID[$1]=$!
    disown
}

start_any() {
    case $1 in
    target-*) start_target_process "$1" ;;
    *) start_daemon "$1" false ;;
    esac
}

is_alive() {
    kill -0 "${PID[$1]}" 2>/dev/null
}

kill_any() {
    kill -CONT "${PID[$1]}" 2>/dev/null || true
    kill -KILL "${PID[$1]}" 2>/dev/null || true
    while is_alive "$1"; do sleep 0.01; done
    mark_gone "$1"
}

mark_gone() {
    if [[ $1 == target-* ]]; then
        now_ms
        echo "GONE $NOW *" >>"$WORK/events-${1#target-}"
    fi
}

# find_leader: sets LEADER and writes its metrics to $WORK/metrics.
find_leader() {
    for LEADER in "${CONTROL_NODES[@]}"; do
        host_of "$LEADER"
        curl -s --noproxy '*' -m 1 \
            "http://$HOST:$((BASE_PORT + 4))/metrics" >"$WORK/metrics" ||
            continue
        ! grep -q '^coltsfoot_leader 1' "$WORK/metrics" || return 0
    done
    return 1
}

# leader_metric NAME: prints the value of a metric at the leader, or nothing
# if no leader answers.
leader_metric() {
    ! find_leader || awk -v name="$1" '$1 == name { print $2 }' "$WORK/metrics"
}

# Succeeds if all three voters are up and the old identity of every wiped disk
# is removed. Until then the cluster tolerates one lost disk fewer.
has_full_redundancy() {
    local replaced
    replaced=$(grep -oh 'remove the old identity.*' "$WORK"/core-*.log |
        sort -u | wc -l) || true
    [ "$replaced" -eq "$WIPED_DISKS" ] &&
        [ "$(leader_metric coltsfoot_voters)" = 3 ] &&
        [ "$(leader_metric coltsfoot_peers_up)" = \
            $((2 + ENTRIES_COUNT + RELAYS)) ]
}

# Records the times at which the disk is slow as faults.
watch_disk() {
    trap - EXIT
    local begin
    while :; do
        now_ms
        begin=$NOW
        dd if=/dev/zero of="$WORK/probe" bs=1 count=1 conv=fsync 2>/dev/null
        now_ms
        [ $((NOW - begin)) -lt $SLOW_SYNC ] ||
            echo "$begin $NOW slow disk" >>"$WORK/faults"
        sleep 0.2
    done
}

broken() {
    echo "BROKEN $*" | tee -a "$WORK/broken"
}

# The operator, in a process of its own with its own random numbers.

# write_config VERSION MORE: writes a configuration with a second queue if MORE
# is 1.
write_config() {
    local config
    config=$(platform_config "$1" a.example /jobs/)
    if [ "$2" = 1 ]; then
        config=${config/'"routes":['/'"routes":[{"name":"r","host":"a.example","path-prefix":"/more/","kind":"non_idempotent","timeout-ms":3000,"completion-target-ms":600,"priority":0,"service":"p","max-attempts":2,"slack-factor":1.6},'}
    fi
    echo "$config" >"$WORK/config"
}

# choose_address: sets ADDRESS to another address of the control service.
choose_address() {
    local last=${ADDRESS:-}
    while [ "${ADDRESS:-}" = "$last" ]; do
        ADDRESS=${ADDRESSES[RANDOM % ${#ADDRESSES[@]}]}
    done
}

# send_config: sends $WORK/config until it is acknowledged. An answer that is
# lost costs the operator the whole second for which it waits.
send_config() {
    local status begin sent delay=50 lost=0
    now_ms
    begin=$NOW
    while :; do
        choose_address
        now_ms
        sent=$NOW
        status=$(curl -s --noproxy '*' -L --max-redirs 2 -m 1 -o /dev/null \
            -w '%{http_code}' -X PUT -H 'Content-Type: application/json' \
            --data-binary "@$WORK/config" \
            "http://$ADDRESS$PLATFORM_CONFIG_PATH") || true
        now_ms
        if [ "$status" = 200 ] && [ $lost -lt "$LOST_LIMIT" ] &&
            [ $((RANDOM % 100)) -lt "$LOST_PERCENT" ]; then
            lost=$((lost + 1))
            status=lost
        fi
        echo "$sent $NOW $VERSION $ADDRESS $status" >>"$WORK/operator.out"
        case $status in
        200) break ;;
        400 | 409 | 412 | 413 | 422)
            broken "config: version $VERSION refused with $status at $NOW"
            break
            ;;
        lost)
            [ $((NOW - sent)) -ge 999 ] ||
                sleep "$(printf '0.%03d' $((sent + 999 - NOW)))"
            ;;
        esac
        [ $((NOW - begin)) -lt $((WAIT_S * 1000)) ] || break
        sleep "$(printf '0.%03d' $delay)"
        [ $delay -ge 400 ] || delay=$((delay * 2))
    done
    echo "$begin $NOW $VERSION" >>"$WORK/orders"
    [ "$status" != 200 ] || ACKED_VERSION=$VERSION
}

# Prints the times in which the control service owes no acknowledgement, as
# FROM TO: those around each fault of a control VM, and those without a
# majority or with a slow disk.
print_unstable_times() {
    awk -v window=$CONTACT_WINDOW '
        $4 !~ /^core-|^disk$/ || $3 == "hup" { next }
        function put(from, to) { printf "%s %.0f\n", from, to + window }
        $3 == "herd" || $3 == "slow" { put($1, $2); next }
        { put($1, $1); put($2, $2) }' "$WORK/faults" | sort -n
}

# Checks that each configuration was acknowledged before the control service
# had been stable for ACK_TIMEOUT, though one control VM may be frozen.
check_orders() {
    print_unstable_times >"$WORK/unstable"
    awk -v limit=$ACK_TIMEOUT '
        NR == FNR { from[NR] = $1; to[NR] = $2; count = NR; next }
        {
            calm = $1
            for (i = 1; i <= count + 1; i++) {
                end = i > count || from[i] > $2 ? $2 : from[i]
                if (end - calm > limit) {
                    printf "BROKEN config: version %s sent at %s had no " \
                        "acknowledgement after %d ms of calm\n",
                        $3, $1, end - calm
                    break
                }
                calm = i <= count && to[i] > calm ? to[i] : calm
            }
        }' "$WORK/unstable" "$WORK/orders" | tee -a "$WORK/broken"
}

read_config() {
    local seen
    choose_address
    if curl -sf --noproxy '*' -L --max-redirs 2 -m 1 -o "$WORK/seen" \
        "http://$ADDRESS$PLATFORM_CONFIG_PATH"; then
        seen=$(platform_config_version "$WORK/seen")
        [ "$seen" -ge "$ACKED_VERSION" ] ||
            broken "config: $ADDRESS shows version $seen," \
                "$ACKED_VERSION was acknowledged"
    fi
}

run_operator() {
    trap - EXIT
    RANDOM=$((SEED + 10000))
    VERSION=1
    ACKED_VERSION=0
    until [ -e "$WORK/end" ]; do
        VERSION=$((VERSION + 1 + RANDOM % 5))
        write_config "$VERSION" $((RANDOM % 2))
        send_config
        read_config
        sleep "0.$((2 + RANDOM % 6))"
    done
    VERSION=$((VERSION + 1))
    write_config "$VERSION" 1
    send_config
    read_config
    echo "$VERSION" >"$WORK/last-version"
}

# Faults. The kind, the node, the length and the pause of each are drawn before
# it begins, so that a seed always gives the same sequence.

draw_fault() {
    local class=$((RANDOM % 100)) kind=$((RANDOM % 100))
    local node=$((RANDOM % 1000))
    LENGTH=$((200 + RANDOM % 2800))
    PAUSE=$((RANDOM % 4 == 0 ? RANDOM % 3000 : RANDOM % 500))
    ORDER=$((RANDOM % 6))
    if [ $class -lt "$CORE_PERCENT" ]; then
        NODE=core-$((1 + node % 3))
    elif [ $class -lt $((CORE_PERCENT + EDGE_PERCENT)) ]; then
        node=$((node % (ENTRIES_COUNT + RELAYS)))
        NODE=edge-$((1 + node))
        [ $node -lt "$ENTRIES_COUNT" ] ||
            NODE=relay-$((1 + node - ENTRIES_COUNT))
    else
        NODE=target-$((node % TARGETS))
    fi
    if [ $kind -lt 35 ]; then
        KIND=freeze
    elif [ $kind -lt 60 ]; then
        KIND='kill'
    elif [ $kind -lt 80 ]; then
        KIND=term
    elif [ $kind -lt 90 ]; then
        KIND=hup
    else
        KIND=wipe
        [ $kind -lt 96 ] || KIND=herd
    fi
    case $KIND-$NODE in
    hup-target-* | wipe-target-* | wipe-edge-* | wipe-relay-*) KIND='kill' ;;
    freeze-core-*)
        # Half of the freezes of control VMs last for 5 to 10 s.
        [ $ORDER -ge 3 ] || LENGTH=$((5000 + LENGTH * 5 / 3))
        ;;
    herd-*) NODE=core-all ;;
    esac
}

# any_fault_of CLASS: succeeds if a node of a class is disturbed.
any_fault_of() {
    local node
    for node in "${!FAULT_KIND[@]}"; do
        [[ $node != "$1"-* ]] || return 0
    done
    return 1
}

# A control node or a relay is disturbed only while the others run. A disk is
# wiped, or a control node frozen for long, only if no other disk is missing.
may_begin() {
    [ -z "${FAULT_KIND[$NODE]:-}" ] || return 1
    now_ms
    [ "$KIND" != hup ] || [ $((NOW - STARTED[$NODE])) -ge $START_TIME ] ||
        return 1
    [[ $NODE == core-* || $NODE == relay-* ]] || return 0
    ! any_fault_of "${NODE%-*}" || return 1
    [[ $KIND != wipe && $LENGTH -lt 5000 ]] || has_full_redundancy
}

begin_fault() {
    local node
    local orders=("1 2 3" "3 1 2" "2 3 1" "1" "3" "2 1")
    now_ms
    echo "$NOW $KIND $NODE $LENGTH" >>"$WORK/faults.out"
    FAULT_KIND[$NODE]=$KIND
    FAULT_BEGIN[$NODE]=$NOW
    FAULT_ORDER[$NODE]=$ORDER
    FAULT_END[$NODE]=$((NOW + LENGTH))
    if [ "$NODE" != core-all ] && ! is_alive "$NODE"; then
        broken "process: $NODE ended by itself before $NOW"
        start_any "$NODE"
    fi
    case $KIND in
    freeze) kill -STOP "${PID[$NODE]}" ;;
    kill) kill_any "$NODE" ;;
    term)
        kill -TERM "${PID[$NODE]}"
        FAULT_END[$NODE]=$((NOW + GRACE))
        ;;
    hup)
        SEEDS_OF[$NODE]=${orders[$ORDER]}
        write_settings "$NODE" false
        kill -HUP "${PID[$NODE]}"
        FAULT_END[$NODE]=$NOW
        ;;
    wipe)
        kill_any "$NODE"
        rm -rf "${WORK:?}/$NODE"
        WIPED_DISKS=$((WIPED_DISKS + 1))
        ;;
    herd) for node in "${CONTROL_NODES[@]}"; do kill_any "$node"; done ;;
    esac
}

end_fault() {
    local node=$1 kind=${FAULT_KIND[$1]} each
    case $kind in
    freeze) kill -CONT "${PID[$node]}" ;;
    hup) ;;
    herd) for each in "${CONTROL_NODES[@]}"; do start_any "$each"; done ;;
    *)
        kill_any "$node"
        # About every other restart of targets uses new ids.
        if [[ $node == target-* ]] && [ $((FAULT_ORDER[$node] % 2)) = 0 ]; then
            NAME_OF[$node]=$node-$((++GENERATION))
        fi
        start_any "$node"
        ;;
    esac
    now_ms
    LAST_FAULT=$NOW
    echo "${FAULT_BEGIN[$node]} $NOW $kind $node" >>"$WORK/faults"
    unset "FAULT_KIND[$node]"
}

end_due_faults() {
    local node
    for node in "${!FAULT_KIND[@]}"; do
        now_ms
        if [ "$NOW" -ge "${FAULT_END[$node]}" ] ||
            { [ "${FAULT_KIND[$node]}" = term ] && ! is_alive "$node"; }; then
            end_fault "$node"
        fi
    done
}

# run_for MS: lets time pass in which faults end.
run_for() {
    now_ms
    local end=$((NOW + $1))
    while [ "$NOW" -lt $end ]; do
        end_due_faults
        sleep 0.02
        now_ms
    done
}

end_all_faults() {
    while [ ${#FAULT_KIND[@]} -gt 0 ]; do run_for 20; done
}

inject_faults() {
    local i
    for ((i = 0; i < FAULTS; i++)); do
        draw_fault
        until may_begin; do run_for 20; done
        begin_fault
        run_for "$PAUSE"
    done
    end_all_faults
}

# Freezes the leader for so long that orders are owed while it is frozen.
freeze_leader_in_calm() {
    wait_for "three voters" has_full_redundancy
    wait_for "leader" find_leader
    NODE=$LEADER KIND=freeze LENGTH=$((CONTACT_WINDOW + ACK_TIMEOUT + 2500))
    begin_fault
    end_all_faults
    run_for $CONTACT_WINDOW
}

# Stops the entry VMs one after the other, with no other fault near.
stop_entries_in_calm() {
    local i
    for ((i = 1; i <= ENTRIES_COUNT && i <= 2; i++)); do
        NODE=edge-$i KIND=term LENGTH=0
        begin_fault
        end_all_faults
        run_for 1000
    done
}

# Waits until a process that this script has started ends.
wait_for_exit() {
    EXIT_STATUS=0
    wait "${PID[$1]}" || EXIT_STATUS=$?
    unset "PID[$1]"
}

caller_options() {
    local i
    for ((i = 1; i <= ENTRIES_COUNT; i++)); do
        host_of "edge-$i"
        printf -- '--to %s:%s ' "$HOST" $((BASE_PORT + 2))
    done
    for ((i = 0; i < TARGETS; i++)); do
        printf -- '--events %s ' "$WORK/events-$i"
    done
}

# start_crowd NAME HOST ARGS...: starts clients that never finish a body.
start_crowd() {
    local name=$1 to=$2
    shift 2
    "$BUILD/standin-crowd" --count "$CROWD" --rounds 1000000 --to "$to" "$@" \
        >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PID[$name]=$!
    CROWDS+=("$name")
}

# Draws nothing from the sequence of the faults.
start_crowds() {
    local i draw
    for ((i = 1; i <= ENTRIES_COUNT; i++)); do
        host_of "edge-$i"
        draw=$((SEED * 7919 + i * 104729))
        start_crowd "crowd-edge-$i" "$HOST:$((BASE_PORT + 2))" \
            --shape chunked --bytes 260000 --chunk $((draw % 5000 + 1)) \
            --piece $((draw % 50000 + 1)) --pause-ms $((draw % 97))
    done
    for ((i = 1; i <= RELAYS; i++)); do
        host_of "relay-$i"
        draw=$((SEED * 7919 + i * 104723))
        start_crowd "crowd-relay-$i" "$HOST:$((BASE_PORT + 1))" \
            --shape announced --bytes 4000000 --method PUT \
            --path "$PLATFORM_CONFIG_PATH" --piece $((draw % 500000 + 1)) \
            --pause-ms $((draw % 97))
    done
}

# Checks the peaks of the memory of all nodes, each since its last start.
check_memory() {
    local node kb
    for node in "${!PID[@]}"; do
        [ -n "${MAX_KB[${node%-*}]:-}" ] || continue
        kb=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/${PID[$node]}/status")
        [ "${kb:-0}" -le "${MAX_KB[${node%-*}]}" ] ||
            broken "memory: $node took $kb KB"
    done
}

# Keeps the files of a failed run and stops everything.
finish_run() {
    local status=$?
    set +e
    if [ $status -ne 0 ] && [ -n "${KEEP:-}" ]; then
        mkdir -p "$KEEP"
        cp -r "$WORK"/*.out "$WORK"/*.log "$WORK"/events-* "$WORK"/faults \
            "$WORK"/orders "$WORK"/broken "$KEEP"/
    fi
    (exit $status)
    cleanup_run
}

is_entry_ready() {
    host_of "$1"
    curl -sf --noproxy '*' -m 1 "http://$HOST:$((BASE_PORT + 3))$PLATFORM_READY_PATH"
}

setup_run "${1:-build}"
trap finish_run EXIT
RANDOM=$SEED
choose_base_port 100
RANDOM=$SEED
GENERATION=0
now_ms
LAST_FAULT=$NOW
touch "$WORK/faults" "$WORK/broken"
echo "$NOW $NOW start core-all" >>"$WORK/faults"
for ((i = 1; i <= 3 + RELAYS; i++)); do
    ADDRESSES+=("127.0.0.$((i + 1)):$((BASE_PORT + 1))")
done
for node in "${CONTROL_NODES[@]}"; do start_daemon "$node" true; done
for ((i = 1; i <= RELAYS; i++)); do start_daemon "relay-$i" false; done
for ((i = 1; i <= ENTRIES_COUNT; i++)); do start_daemon "edge-$i" false; done
wait_for "three voters" has_full_redundancy
watch_disk &
PID[probe]=$!
run_operator &
PID[operator]=$!
for ((i = 0; i < TARGETS; i++)); do
    NAME_OF[target-$i]=target-$i
    touch "$WORK/events-$i"
    start_target_process "target-$i"
done
for ((i = 1; i <= ENTRIES_COUNT; i++)); do
    wait_for "readiness of edge-$i" is_entry_ready "edge-$i"
done
# shellcheck disable=SC2046
"$BUILD/standin-jobs-caller" $(caller_options) --prefix /jobs/ \
    --prefix /more/ --rate "$RATE" --seed "$SEED" --faults "$WORK/faults" \
    >"$WORK/caller.out" 2>"$WORK/caller.log" &
PID[caller]=$!
start_crowds
run_for 1000

inject_faults
now_ms
run_for $((LAST_FAULT + CONTACT_WINDOW - NOW))
freeze_leader_in_calm
stop_entries_in_calm
touch "$WORK/end"
wait_for_exit operator
# The probe reports a slow sync only at its end.
sleep 1.5
check_orders
check_memory
for crowd in "${CROWDS[@]}"; do
    kill -TERM "${PID[$crowd]}"
    wait_for_exit "$crowd"
done
kill -TERM "${PID[caller]}"
wait_for_exit caller
for node in "${!PID[@]}"; do
    is_alive "$node" || broken "process: $node ended by itself"
done
tail -n 1 "$WORK/caller.out"
if [ $EXIT_STATUS -ne 0 ] || [ -s "$WORK/broken" ]; then
    grep -h '^BROKEN' "$WORK/caller.out" "$WORK/broken" | head -n 20 >&2 || true
    fail "seed $SEED: broken promises:" \
        "$(grep -h '^BROKEN' "$WORK/caller.out" "$WORK/broken" |
            cut -d' ' -f2 | sort | uniq -c | tr '\n' ' ')"
fi
echo "seed $SEED: $FAULTS faults," \
    "$(grep -c ' slow disk$' "$WORK/faults" || true) slow syncs," \
    "configuration $(cat "$WORK/last-version")"
