#!/usr/bin/env bash
# Guards against entry VMs that never find a control VM because their seeds are
# entry VMs that knew none when they connected.
# Usage: proc_entry_seeds.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

ROUNDS=${ROUNDS:-3}
SEED=${SEED:-1}
# Bound of the deployments for service after a start, in s.
RECOVERY_S=12
ENTRY_NODES=(entry-1 entry-2 entry-3 entry-4)
SEED_NODES=(entry-1 entry-2)

# host_of_node NODE
host_of_node() {
    case $1 in
    core-*) host_of "$1" ;;
    *) echo "127.0.1.${1#entry-}" ;;
    esac
}

# seed_list NODE...: prints the list of seeds for settings.
seed_list() {
    local node list=
    for node in "$@"; do
        list="$list${list:+, }\"$(host_of_node "$node"):$((BASE_PORT + 1))\""
    done
    echo "[$list]"
}

write_entry_settings() {
    local host
    host=$(host_of_node "$1")
    cat >"$WORK/$1.yaml" <<END
name: $1
cluster: soak
data_centre: north
region: west
role: entry
wire: platform
peer: $host:$BASE_PORT
control: $host:$((BASE_PORT + 1))
traffic: $host:$((BASE_PORT + 2))
ready: $host:$((BASE_PORT + 3))
metrics: $host:$((BASE_PORT + 4))
seeds: $(seed_list "${SEED_NODES[@]}")
END
}

is_entry_ready() {
    curl -sf --noproxy '*' -m 1 -o /dev/null \
        "http://$(host_of_node "$1"):$((BASE_PORT + 3))$PLATFORM_READY_PATH"
}

# start_in_order STEP...: kills all nodes, starts them again, where a step is a
# node or a pause such as 0.5, and waits until all entry VMs are ready.
start_in_order() {
    local step node started=()
    for node in "${!PID[@]}"; do kill_node "$node"; done
    PID=()
    for step in "$@"; do
        case $step in
        core-* | entry-*)
            start_node "$step"
            started+=("$step")
            ;;
        *) sleep "$step" ;;
        esac
    done
    WAIT_S=$RECOVERY_S
    for node in "${started[@]}"; do
        case $node in
        entry-*)
            wait_for "readiness of $node after the order $*" \
                is_entry_ready "$node"
            ;;
        esac
    done
    echo "order $*: all entry VMs are ready"
}

memory=${TMPDIR:-/tmp}
[ ! -w /dev/shm ] || memory=/dev/shm
TMPDIR=$memory setup_run "${1:-build}"
choose_base_port 5
for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
PEERS_UP=2 wait_for "leader of three voters" find_leader

# From here on the seeds are entry VMs.
sed -i -e 's/^found:.*/found: false/' \
    -e "s/^seeds:.*/seeds: $(seed_list "${SEED_NODES[@]}")/" \
    "$WORK"/core-*.yaml
for node in "${ENTRY_NODES[@]}"; do write_entry_settings "$node"; done

start_in_order "${ENTRY_NODES[@]}" 0.5 "${CONTROL_NODES[@]}"
start_in_order entry-3 entry-4 0.5 "${CONTROL_NODES[@]}" 0.5 entry-1 entry-2
start_in_order "${CONTROL_NODES[@]}" 0.5 "${ENTRY_NODES[@]}"
# One seed and one control VM stay without power.
start_in_order entry-1 entry-3 entry-4 0.5 core-1 core-2
RANDOM=$SEED
for ((round = 0; round < ROUNDS; round++)); do
    mapfile -t order < <(for node in "${ENTRY_NODES[@]}" \
        "${CONTROL_NODES[@]}" 0.3 0.6; do echo "$RANDOM $node"; done |
        sort -n | cut -d' ' -f2)
    start_in_order "${order[@]}"
done

# Seeds that change without a signal, of an entry VM that nobody knows.
write_entry_settings entry-5
sed -i "s/^seeds:.*/seeds: [\"127.0.1.9:$((BASE_PORT + 1))\"]/" \
    "$WORK/entry-5.yaml"
start_node entry-5
sleep 1
! is_entry_ready entry-5 || fail "entry-5 is ready without a seed"
write_entry_settings entry-5
wait_for "readiness of entry-5 after its seeds have changed" \
    is_entry_ready entry-5

# An entry VM that knows no leader says so.
for node in "${CONTROL_NODES[@]}"; do kill_node "$node"; done
names_unknown_leader() {
    grep -q '"event":"leader_unknown"' "$WORK/entry-3.out" &&
        curl -s --noproxy '*' -m 1 \
            "http://$(host_of_node entry-3):$((BASE_PORT + 4))/metrics" |
        grep -q '^coltsfoot_leader_unknown_seconds [1-9]'
}
wait_for "a line and a metric about the unknown leader" names_unknown_leader
! is_entry_ready entry-3 || fail "entry-3 is ready without a leader"
echo "PASS: entry VMs find the control VMs in any order of starts"
