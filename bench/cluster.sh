#!/usr/bin/env bash
# Measures six entry VMs in three data centres on loopback: the time of patches
# from acceptance until they are in force on the slowest entry VM, and the CPU
# time, memory and peer traffic of each process.
# Usage: bench/cluster.sh [BUILD [PART...]]
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=bench/usage.sh
. bench/usage.sh

PATCHES=${PATCHES:-1000}
REST_S=${REST_S:-30}
PACED=${PACED:-40}
RESTART_RATE=${RESTART_RATE:-50}

setup_run "${1:-build}"
shift || true
PARTS=("$@")
[ ${#PARTS[@]} -gt 0 ] || PARTS=(rest paced_cost commit force paced restart \
    restart_leader)
choose_base_port 30
write_cluster_settings north-1:north north-2:north south-1:south \
    south-2:south west-1:west west-2:west
init_cluster north-1
start_entries

# submit_patches OPTIONS...: submits patches to the entry VMs and prints the
# figures of standin-operator.
submit_patches() {
    # shellcheck disable=SC2046
    "$BUILD/standin-operator" $(control_options to) "$@" || true
}

# submit_watched_patches OPTIONS...: also measures the time until each patch is
# in force on all entry VMs.
submit_watched_patches() {
    # shellcheck disable=SC2046
    submit_patches $(control_options watch) "$@"
}

leader_name() {
    fetch_status "${ENTRIES[0]}" | grep -o '"leader": *"[^"]*"' | cut -d'"' -f4
}

# restart_under_patches LABEL NAME: kills an entry VM 5 s after the first patch
# and starts it again 2 s later.
restart_under_patches() {
    submit_watched_patches --patches "$PATCHES" --rate "$RESTART_RATE" \
        >"$WORK/$1.out" &
    PID[load]=$!
    sleep 5
    kill_process "$2"
    sleep 2
    start_entry "$2"
    wait "${PID[load]}"
    unset "PID[load]"
    echo "$1 ($2 killed, started after 2 s): $(cat "$WORK/$1.out")"
    wait_for "readiness of $2" is_ready "$2"
}

run_part() {
    case $1 in
    rest)
        begin_usage
        sleep "$REST_S"
        print_usage rest
        ;;
    paced_cost)
        begin_usage
        echo "paced_cost: $(submit_patches --patches "$PACED" --rate 0.67)"
        print_usage paced
        ;;
    commit)
        echo "commit: $(submit_patches --patches "$PATCHES")"
        ;;
    force)
        echo "force: $(submit_watched_patches --patches "$PATCHES")"
        ;;
    paced)
        echo "paced: $(submit_watched_patches --patches "$PACED" --rate 0.67)"
        ;;
    restart)
        local name
        for name in "${ENTRIES[@]}"; do
            [ "$name" = "$(leader_name)" ] || break
        done
        restart_under_patches restart "$name"
        ;;
    restart_leader)
        restart_under_patches restart_leader "$(leader_name)"
        ;;
    *)
        fail "unknown part $1"
        ;;
    esac
}

sleep 3
for p in "${PARTS[@]}"; do
    run_part "$p"
done
