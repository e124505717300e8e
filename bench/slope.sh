#!/usr/bin/env bash
# Measures the CPU time, memory and peer traffic of idle entry VMs by number of
# entry VMs and by number of announced targets. Each entry VM has a disk, since
# coltsfootd does not serve as a follower without one yet. All but three are
# learners.
# Usage: bench/slope.sh [BUILD [entries|targets...]]
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=bench/usage.sh
. bench/usage.sh

read -ra ENTRY_COUNTS <<<"${ENTRY_COUNTS:-3 6 12 24}"
read -ra TARGET_COUNTS <<<"${TARGET_COUNTS:-100 200 400 800}"
REST_S=${REST_S:-15}
# A process of stand-in targets announces its targets one after another, so
# more of them in one process would lengthen the announcement interval.
TARGETS_PER_PROCESS=100
# The ports of the targets lie below those of the entry VMs.
TARGET_BASE_PORT=10000

setup_run "${1:-build}"
shift || true
PARTS=("$@")
[ ${#PARTS[@]} -gt 0 ] || PARTS=(entries targets)

start_cluster() {
    local count=$1 i nodes=()
    for ((i = 0; i < count; i++)); do
        nodes+=("dc$((i / 2))-$((i % 2)):dc$((i / 2))")
    done
    ENTRIES=()
    choose_base_port 100
    write_cluster_settings "${nodes[@]}"
    init_cluster dc0-0
    start_entries
    sleep 3
}

stop_cluster() {
    local name
    for name in "${!PID[@]}"; do
        stop_process "$name"
    done
    for name in "${ENTRIES[@]}"; do
        rm -rf "${WORK:?}/$name"
    done
}

measure_idle() {
    begin_usage
    sleep "$REST_S"
    print_usage "$1"
}

entries() {
    local count
    for count in "${ENTRY_COUNTS[@]}"; do
        start_cluster "$count"
        measure_idle "entries $count"
        stop_cluster
    done
}

# Measures by number of targets. All targets send their announcements to one
# entry VM, which relays them to the other one of its data centre.
targets() {
    local count started=0 options=()
    start_cluster 4
    submit_patch --request-id slope --set services/booking/pool=booking \
        --set pools/booking/max_unavailable=2 >/dev/null
    measure_idle "targets 0"
    for count in "${TARGET_COUNTS[@]}"; do
        for (( ; started < count; started += TARGETS_PER_PROCESS)); do
            options=(--listen "127.0.0.1:$((TARGET_BASE_PORT + started))"
                --count "$TARGETS_PER_PROCESS" --name "t$started"
                --pool booking
                --data-centre dc0 --rack "t$started" --connections 2
                --control "${CONTROL[dc0-0]}")
            "$BUILD/standin-target" "${options[@]}" >/dev/null \
                2>>"$WORK/targets.log" &
            PID[t$started]=$!
        done
        wait_for "registration of $count VMs" pool_has_vms booking "$count"
        sleep 3
        measure_idle "targets $count"
    done
    stop_cluster
}

for p in "${PARTS[@]}"; do
    case $p in
    entries | targets) "$p" ;;
    *) fail "unknown part $p" ;;
    esac
done
