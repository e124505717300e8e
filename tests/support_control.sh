# Functions of the process tests of the job service: three control VMs, core-1
# to core-3, and an entry VM, edge-1, on loopback addresses of their own. Source
# support_proc.sh and platform/request.sh first.
# shellcheck shell=bash

CONTROL_NODES=(core-1 core-2 core-3)

host_of() {
    echo "127.0.0.$((${1#core-} + 1))"
}

# control_url NODE PATH: prints the URL of a path at the control address.
control_url() {
    echo "http://$(host_of "$1"):$((BASE_PORT + 1))$2"
}

# write_settings NODE FOUND: writes the settings of a control VM, which founds
# the cluster if FOUND is true.
write_settings() {
    local name=$1 found=$2
    cat >"$WORK/$name.yaml" <<END
name: $name
cluster: soak
data_centre: north
region: west
role: control
wire: platform
peer: $(host_of "$name"):$BASE_PORT
control: $(host_of "$name"):$((BASE_PORT + 1))
metrics: $(host_of "$name"):$((BASE_PORT + 4))
data_folder: $WORK/$name
found: $found
disk_losses: 1
election_ms: 600
heartbeat_ms: 150
seeds: ["127.0.0.2:$((BASE_PORT + 1))", "127.0.0.3:$((BASE_PORT + 1))", "127.0.0.4:$((BASE_PORT + 1))"]
END
}

# start_node NAME: starts a node. Its exit status is available to wait only if
# WAITABLE is set; otherwise the shell reports no killed nodes.
start_node() {
    mkdir -p "$WORK/$1"
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" \
        2>>"$WORK/$1.log" &
    PID[$1]=$!
    [ -n "${WAITABLE:-}" ] || disown
}

start_control_node() {
    write_settings "$1" "$2"
    start_node "$1"
}

# Waits until a node has ended, and with that has left its data folder.
wait_for_end() {
    while kill -0 "${PID[$1]}" 2>/dev/null; do sleep 0.05; done
}

kill_node() {
    kill -KILL "${PID[$1]}"
    wait_for_end "$1"
}

# send_request ARGS...: prints the HTTP status, or 000 without an answer, and
# writes the body to $WORK/body.
send_request() {
    curl -s --noproxy '*' -L --max-redirs 2 -m 2 -o "$WORK/body" \
        -w '%{http_code}' "$@" || true
}

# leader_metric NAME: prints the value of a metric at the leader, or nothing
# if no leader answers.
leader_metric() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$node"):$((BASE_PORT + 4))/metrics" \
            >"$WORK/metrics" || continue
        if grep -q '^coltsfoot_leader 1' "$WORK/metrics"; then
            awk -v name="$1" '$1 == name { print $2 }' "$WORK/metrics"
            return
        fi
    done
}

# Writes the settings of the entry VM and starts it.
start_entry_node() {
    cat >"$WORK/edge-1.yaml" <<END
name: edge-1
cluster: soak
data_centre: north
region: west
role: entry
wire: platform
peer: 127.0.0.5:$BASE_PORT
traffic: 127.0.0.5:$((BASE_PORT + 2))
ready: 127.0.0.5:$((BASE_PORT + 3))
seeds: ["127.0.0.2:$((BASE_PORT + 1))", "127.0.0.3:$((BASE_PORT + 1))", "127.0.0.4:$((BASE_PORT + 1))"]
END
    start_node edge-1
}

# entry_url PATH: prints the URL of a path at the entry VM's traffic address.
entry_url() {
    echo "http://127.0.0.5:$((BASE_PORT + 2))$1"
}

entry_is_ready() {
    curl -sf --noproxy '*' -m 1 -o /dev/null \
        "http://127.0.0.5:$((BASE_PORT + 3))$PLATFORM_READY_PATH"
}

# find_leader: sets LEADER to the node that serves with three voters and all
# PEERS_UP peers up.
find_leader() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$node"):$((BASE_PORT + 4))/metrics" \
            >"$WORK/metrics" || continue
        if grep -q '^coltsfoot_leader 1' "$WORK/metrics" &&
            grep -q '^coltsfoot_voters 3' "$WORK/metrics" &&
            grep -q "^coltsfoot_peers_up ${PEERS_UP:-3}" "$WORK/metrics"; then
            LEADER=$node
            return 0
        fi
    done
    return 1
}

# start_job_request NUMBER: submits a job, or asks for its state, without
# waiting for the answer. Appends the process to CALLERS and later the status
# to $WORK/statuses.
start_job_request() {
    local url
    url=$(entry_url "/jobs/$(printf '%016x' $(($1 / 2)))")
    if [ $(($1 % 2)) -eq 0 ]; then
        curl -s --noproxy '*' -m 5 -o /dev/null -w '%{http_code}\n' \
            -X POST -H 'Host: a.example' -d "$(platform_job 1)" \
            "$url" >>"$WORK/statuses" &
    else
        curl -s --noproxy '*' -m 5 -o /dev/null -w '%{http_code}\n' \
            -H 'Host: a.example' "$url" >>"$WORK/statuses" &
    fi
    CALLERS+=($!)
}

# Starts all nodes, with data in memory if possible since a slow disk would
# delay elections, and stores a configuration with one queue.
start_nodes_in_memory() {
    local node memory=${TMPDIR:-/tmp}
    [ ! -w /dev/shm ] || memory=/dev/shm
    TMPDIR=$memory setup_run "$1"
    choose_base_port 5
    for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
    start_entry_node
    wait_for "leader of three voters" find_leader
    wait_for "leader at the entry VM" entry_is_ready
    [ "$(send_request -X PUT -d "$(platform_config 1 a.example /jobs/)" \
        "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" = 200 ] ||
        fail "the configuration was not stored"
}

# submit_job: succeeds if the entry VM accepts a small job with a new id.
NEXT_JOB=1
submit_job() {
    local url
    url=$(entry_url "/jobs/$(printf 'f%015x' $((NEXT_JOB++)))")
    [ "$(send_request -X POST -H 'Host: a.example' -d "$(platform_job 1)" \
        "$url")" = 200 ]
}

# read_config: succeeds if the leader answers with the configuration.
read_config() {
    [ "$(send_request "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" \
        = 200 ]
}

# Writes the settings of a relay, an entry VM with only a control address, on
# the VM of edge-1.
write_relay_settings() {
    cat >"$WORK/relay.yaml" <<END
name: relay
cluster: soak
data_centre: north
region: west
role: entry
wire: platform
peer: 127.0.0.5:$((BASE_PORT + 4))
seed_peer_port: $BASE_PORT
control: 127.0.0.5:$((BASE_PORT + 1))
seeds: ["127.0.0.2:$((BASE_PORT + 1))", "127.0.0.3:$((BASE_PORT + 1))", "127.0.0.4:$((BASE_PORT + 1))"]
END
}

# relay_answers: succeeds if the relay answers with the configuration.
relay_answers() {
    [ "$(send_request \
        "http://127.0.0.5:$((BASE_PORT + 1))$PLATFORM_CONFIG_PATH")" = 200 ]
}
