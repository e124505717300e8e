# Functions of the process tests of the job service: three control VMs, core-1
# to core-3, on loopback addresses of their own. Source support_proc.sh first.
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

start_node() {
    mkdir -p "$WORK/$1"
    "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" >>"$WORK/$1.out" \
        2>>"$WORK/$1.log" &
    PID[$1]=$!
    disown
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
