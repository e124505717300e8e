#!/usr/bin/env bash
# Guards against callers that get 503 from a leader that has just stopped
# leading: their requests must wait at the entry VM for the next leader.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh

ROUNDS=${ROUNDS:-3}
CONTROL_NODES=(core-1 core-2 core-3)

host_of() {
    echo "127.0.0.$((${1#core-} + 1))"
}

# write_settings NAME ROLE HOST
write_settings() {
    cat >"$WORK/$1.yaml" <<END
name: $1
cluster: loss
data_centre: north
region: west
role: $2
wire: platform
peer: $3:$BASE_PORT
election_ms: 600
heartbeat_ms: 150
seeds: ["127.0.0.2:$((BASE_PORT + 1))", "127.0.0.3:$((BASE_PORT + 1))", "127.0.0.4:$((BASE_PORT + 1))"]
END
}

start_node() {
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" \
        2>>"$WORK/$1.log" &
    PID[$1]=$!
}

# find_leader: sets LEADER to the node that serves with three voters.
find_leader() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$node"):$((BASE_PORT + 4))/metrics" \
            >"$WORK/metrics" || continue
        if grep -q '^coltsfoot_leader 1' "$WORK/metrics" &&
            grep -q '^coltsfoot_voters 3' "$WORK/metrics" &&
            grep -q '^coltsfoot_peers_up 3' "$WORK/metrics"; then
            LEADER=$node
            return 0
        fi
    done
    return 1
}

entry_is_ready() {
    curl -sf --noproxy '*' -m 1 -o /dev/null \
        "http://127.0.0.5:$((BASE_PORT + 3))$PLATFORM_READY_PATH"
}

# send_request NUMBER: submits a job or asks for its state, without waiting
# for the answer.
send_request() {
    local id
    id=$(printf '%016x' $(($1 / 2)))
    if [ $(($1 % 2)) -eq 0 ]; then
        curl -s --noproxy '*' -m 5 -o /dev/null -X POST -H 'Host: a.example' \
            -d "$(platform_job 1)" \
            "http://127.0.0.5:$((BASE_PORT + 2))/jobs/$id" &
    else
        curl -s --noproxy '*' -m 5 -o /dev/null -H 'Host: a.example' \
            "http://127.0.0.5:$((BASE_PORT + 2))/jobs/$id" &
    fi
    CALLERS+=($!)
}

count_lost() {
    grep -c '"event":"leader_lost"' "$WORK/$1.out" || true
}

# In memory, since a slow disk would delay the elections.
[ ! -w /dev/shm ] || MEMORY=/dev/shm
TMPDIR=${MEMORY:-${TMPDIR:-/tmp}} setup_run "${1:-build}"
choose_base_port 5
for node in "${CONTROL_NODES[@]}"; do
    write_settings "$node" control "$(host_of "$node")"
    cat >>"$WORK/$node.yaml" <<END
control: $(host_of "$node"):$((BASE_PORT + 1))
metrics: $(host_of "$node"):$((BASE_PORT + 4))
data_folder: $WORK/$node
found: true
disk_losses: 1
END
    mkdir "$WORK/$node"
    start_node "$node"
done
write_settings edge-1 entry 127.0.0.5
cat >>"$WORK/edge-1.yaml" <<END
traffic: 127.0.0.5:$((BASE_PORT + 2))
ready: 127.0.0.5:$((BASE_PORT + 3))
END
start_node edge-1
number=0
for ((round = 0; round < ROUNDS; round++)); do
    wait_for "leader of three voters" find_leader
    wait_for "leader at the entry VM" entry_is_ready
    if [ "$round" -eq 0 ]; then
        curl -sf --noproxy '*' -m 5 -L -o /dev/null -X PUT \
            -d "$(platform_config 1 a.example /jobs/)" \
            "http://$(host_of "$LEADER"):$((BASE_PORT + 1))$PLATFORM_CONFIG_PATH" ||
            fail "the configuration was not stored"
    fi
    CALLERS=()
    lost=$(count_lost "$LEADER")
    for node in "${CONTROL_NODES[@]}"; do
        [ "$node" = "$LEADER" ] || kill -STOP "${PID[$node]}"
    done
    for ((i = 0; i < 100; i++)); do
        send_request $((number++))
        sleep 0.04
        [ "$(count_lost "$LEADER")" -eq "$lost" ] || break
    done
    # A leader tells its peers at most 400 ms after a change.
    for ((i = 0; i < 8; i++)); do
        send_request $((number++))
        sleep 0.04
    done
    for node in "${CONTROL_NODES[@]}"; do
        [ "$node" = "$LEADER" ] || kill -CONT "${PID[$node]}"
    done
    [ "$(count_lost "$LEADER")" -gt "$lost" ] ||
        fail "round $round: $LEADER still leads without a majority"
    wait "${CALLERS[@]}" || true
done
grep '"event":"caller_answered"' "$WORK/edge-1.out" >"$WORK/answers" || true
refused=$(grep '"status":503' "$WORK/answers" | grep -c '"replier":"core-') ||
    true
[ "$refused" -eq 0 ] || {
    grep '"status":503' "$WORK/answers" | head -3 >&2
    fail "$refused of $number requests were refused by a leader that had stopped"
}
echo "none of $number requests was refused by a leader that had stopped"
