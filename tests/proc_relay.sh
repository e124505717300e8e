#!/usr/bin/env bash
# Guards against an entry VM that suspects, or never learns of, targets that
# send their announcements only to another entry VM of its data centre.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
choose_base_port 30
write_cluster_settings north-1:north north-2:north south-1:south
init_cluster north-1
start_entries
submit_patch --request-id relay --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=2 >/dev/null
"$BUILD/standin-target" --listen "127.0.0.1:$((BASE_PORT + 20))" --count 4 \
    --name told --pool booking --data-centre north --rack told \
    --control "${CONTROL[north-1]}" >/dev/null 2>>"$WORK/told.log" &
PID[told]=$!

# count_vms_with_health HEALTH: prints the number of VMs that north-2 reports
# with a health.
count_vms_with_health() {
    "$BUILD/coltsfoot" vms --json --to "${CONTROL[north-2]}" |
        grep -c "\"health\": *\"$1\"" || true
}
all_have_health() {
    [ "$(count_vms_with_health "$1")" -eq 4 ]
}

wait_for "4 targets up at north-2" all_have_health up
# The loop takes three times as long as the timeout after which a silent target
# is suspected.
for ((i = 0; i < 27; i++)); do
    sleep 0.2
    all_have_health up ||
        fail "north-2 reports only $(count_vms_with_health up) of 4 targets up"
done
grep -q suspected "$WORK/north-2.log" && fail "north-2 suspected a target"

# A restarted process knows no target until it receives full announcements,
# which must not wait for their usual interval of 10 s. Announcements are sent
# every 500 ms, possibly before the connection to the new process is set up, so
# the process is restarted at five different phases of that interval.
for phase in 0 0.1 0.2 0.3 0.4; do
    sleep $phase
    kill_process north-2
    start_entry north-2
    wait_for "readiness of north-2" is_ready north-2
    WAIT_S=5 wait_for "4 targets up at the restarted north-2" \
        all_have_health up
done

send_signal told TERM
wait_for "departure of 4 targets at north-2" all_have_health leaving
echo "north-2 followed 4 targets that only north-1 hears"
