#!/usr/bin/env bash
# Guards against a cluster that nobody founds because the first seed is an
# entry VM.
# Usage: proc_founder.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# write_first_settings HOST...: writes the settings of the first start with the
# seeds HOST: an entry VM and three control VMs.
write_first_settings() {
    local host node seeds=
    for host in "$@"; do
        seeds="$seeds${seeds:+, }\"$host:$((BASE_PORT + 1))\""
    done
    for node in "${CONTROL_NODES[@]}"; do
        write_settings "$node" true
        sed -i "s/^seeds:.*/seeds: [$seeds]/" "$WORK/$node.yaml"
        rm -rf "${WORK:?}/$node"
    done
    cat >"$WORK/edge-1.yaml" <<END
name: edge-1
cluster: soak
data_centre: north
region: west
role: entry
wire: platform
peer: 127.0.0.1:$BASE_PORT
control: 127.0.0.1:$((BASE_PORT + 1))
seeds: [$seeds]
END
}

start_first_nodes() {
    local node
    for node in edge-1 "${CONTROL_NODES[@]}"; do start_node "$node"; done
}

count_founders() {
    cat "$WORK"/core-*.out | grep -c '"event":"log_opened","founder":1' || true
}

memory=${TMPDIR:-/tmp}
[ ! -w /dev/shm ] || memory=/dev/shm
TMPDIR=$memory setup_run "${1:-build}"
choose_base_port 5

write_first_settings 127.0.0.1 127.0.0.3 127.0.0.4
start_first_nodes
wait_for "leader of three voters" find_leader
founders=$(count_founders)
[ "$founders" = 1 ] || fail "$founders founders"
for node in edge-1 "${CONTROL_NODES[@]}"; do kill_node "$node"; done

# Seeds that change to an entry VM after the first start.
sed -i -e 's/^found:.*/found: false/' \
    -e "s/^seeds:.*/seeds: [\"127.0.0.1:$((BASE_PORT + 1))\"]/" \
    "$WORK"/core-*.yaml
rm -rf "${WORK:?}/core-3"
start_first_nodes
wait_for "leader of three voters, one with an empty disk" find_leader
founders=$(count_founders)
[ "$founders" = 1 ] || fail "$founders founders after the second start"
for node in edge-1 "${CONTROL_NODES[@]}"; do kill_node "$node"; done

write_first_settings 127.0.0.1
start_first_nodes
names_missing_founder() {
    grep -q '"event":"founder_missing"' "$WORK/core-1.out"
}
wait_for "a line about the founder" names_missing_founder
echo "PASS: one founder beside an entry VM among the seeds"
