#!/usr/bin/env bash
# Guards against a cluster that is lost with the disk of its founder, which had
# just acknowledged the first configuration.
# Usage: proc_founder_disk.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

memory=${TMPDIR:-/tmp}
[ ! -w /dev/shm ] || memory=/dev/shm
TMPDIR=$memory setup_run "${1:-build}"
choose_base_port 5

store_config() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        [ "$(send_request -X PUT \
            -d "$(platform_config 1 a.example /jobs/)" \
            "$(control_url "$node" "$PLATFORM_CONFIG_PATH")")" != 200 ] ||
            return 0
    done
    return 1
}

config_is_read() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        [ "$(send_request \
            "$(control_url "$node" "$PLATFORM_CONFIG_PATH")")" != 200 ] ||
            return 0
    done
    return 1
}

for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
wait_for "acknowledgement of the first configuration" store_config
kill_node core-1
rm -rf "${WORK:?}/core-1"
sleep 0.5
start_control_node core-1 false
wait_for "the configuration" config_is_read
[ "$(platform_config_version "$WORK/body")" = 1 ] ||
    fail "another configuration is in force"
PEERS_UP=2 wait_for "leader of three voters" find_leader
echo "PASS: the first configuration survives the founder's disk"
