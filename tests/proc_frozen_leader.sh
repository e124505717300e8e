#!/usr/bin/env bash
# Guards against an order that a running entry VM leaves without acknowledgement
# while the leader is frozen.
# Usage: proc_frozen_leader.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

ROUNDS=${ROUNDS:-4}
# Bound of the deployments for an acknowledgement, in ms.
ACK_TIMEOUT=4000
VERSION=1

# Starts an entry VM without callers on the VM of the other one.
start_relay_node() {
    cat >"$WORK/relay-1.yaml" <<END
name: relay-1
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
    start_node relay-1
}

relay_url() {
    echo "http://127.0.0.5:$((BASE_PORT + 1))$1"
}

# send_order: sends the configuration of VERSION through the entry VM until it
# is acknowledged, as the operator does, and sets TOOK to the time in ms.
send_order() {
    local begin=${EPOCHREALTIME//[!0-9]/}
    until [ "$(send_request -m 1 -X PUT \
        -d "$(platform_config "$VERSION" a.example /jobs/)" \
        "$(relay_url "$PLATFORM_CONFIG_PATH")")" = 200 ]; do
        TOOK=$(((${EPOCHREALTIME//[!0-9]/} - begin) / 1000))
        [ "$TOOK" -le "$ACK_TIMEOUT" ] ||
            fail "version $VERSION: no acknowledgement after $TOOK ms"
        sleep 0.1
    done
    TOOK=$(((${EPOCHREALTIME//[!0-9]/} - begin) / 1000))
}

relay_answers() {
    [ "$(send_request "$(relay_url "$PLATFORM_CONFIG_PATH")")" = 200 ]
}

start_nodes_in_memory "${1:-build}"
start_relay_node
PEERS_UP=4
wait_for "an answer of the entry VM" relay_answers

worst=0
for ((round = 0; round < ROUNDS; round++)); do
    wait_for "leader of three voters" find_leader
    kill -STOP "${PID[$LEADER]}"
    for ((i = 0; i < 3; i++)); do
        VERSION=$((VERSION + 1))
        send_order
        [ "$TOOK" -le "$worst" ] || worst=$TOOK
    done
    kill -CONT "${PID[$LEADER]}"
done
[ "$worst" -le "$ACK_TIMEOUT" ] || fail "an acknowledgement took $worst ms"

for size in 1 400; do
    VERSION=$((VERSION + 1))
    platform_config_of "$VERSION" "$size" >"$WORK/config"
    status=$(send_request -X PUT --data-binary "@$WORK/config" \
        "$(relay_url "$PLATFORM_CONFIG_PATH")")
    [ "$status" = 200 ] || fail "configuration with $size routes: $status"
done
relay_answers || fail "the configuration cannot be read"
[ "$(platform_config_version "$WORK/body")" = "$VERSION" ] ||
    fail "an older version than $VERSION was read"
status=$(send_request -X PUT -d '{"version":0}' \
    "$(relay_url "$PLATFORM_CONFIG_PATH")")
[ "$status" = 400 ] || fail "invalid configuration: $status"
status=$(send_request -X PUT -d "$(platform_announcement i-1 127.0.0.9:1)" \
    "$(relay_url "$PLATFORM_TARGETS_PATH/i-1")")
[ "$status" = 200 ] || fail "announcement of a target: $status"
wait_for "leader of three voters" find_leader
grep -q "$(host_of "$LEADER"):$((BASE_PORT + 1))" "$WORK/body" ||
    fail "later announcements do not go to the leader: $(cat "$WORK/body")"
echo "PASS: $((ROUNDS * 3)) orders beside a frozen leader, at most $worst ms"
