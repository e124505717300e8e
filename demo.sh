#!/usr/bin/env bash
# Runs three entry VMs and two pools of stand-in targets on loopback. Shows a
# patch, a load with verified answers, and, under that load, a move of a VM and
# the kill of an entry VM. Stops all processes at the end.
cd "$(dirname "$0")"
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

setup_run "${1:-build}"
choose_base_port 60
write_cluster_settings north-1:north north-2:north south-1:south
init_cluster north-1
start_entries
echo "1. three entry VMs are ready: ${ENTRIES[*]}"

before=$(current_version)
submit_patch --request-id demo-1 --set services/booking/pool=booking \
    --set services/billing/pool=billing \
    --set pools/booking/max_unavailable=2 \
    --set pools/billing/max_unavailable=2 >/dev/null
echo "2. patch demo-1 accepted: version $before is now $(current_version)"
if cli patch --base "$before" --request-id demo-2 \
    --set pools/booking/max_unavailable=5 2>"$WORK/refusal"; then
    fail "a patch against an old version was accepted"
fi
echo "3. a patch against version $before is refused:" \
    "$(grep -h conflict: "$WORK/refusal" | head -1)"

start_targets north-book booking north $((BASE_PORT + 20)) 4 --run-from-body
start_targets north-bill billing north $((BASE_PORT + 24)) 4 --run-from-body
start_targets south-book booking south $((BASE_PORT + 28)) 3 --run-from-body
start_targets south-bill billing south $((BASE_PORT + 31)) 3 --run-from-body
wait_for "registration of 7 booking VMs" pool_has_vms booking 7
wait_for "registration of 7 billing VMs" pool_has_vms billing 7
echo "4. 14 targets have announced themselves in two pools"

serves_requests() {
    "$BUILD/standin-caller" --to "$1" --service booking --service billing \
        --requests 4 | grep -q '"done":4'
}
for name in "${ENTRIES[@]}"; do
    wait_for "answers through $name" serves_requests "${TRAFFIC[$name]}"
done

"$BUILD/standin-caller" --to "${TRAFFIC[north-1]}" \
    --to "${TRAFFIC[north-2]}" --to "${TRAFFIC[south-1]}" \
    --service booking --service billing --rate 200 --seconds 12 \
    --run-us 5000 --unrepeatable-percent 20 --resend 10 \
    --verify "127.0.0.1:$((BASE_PORT + 20))" \
    --verify "127.0.0.1:$((BASE_PORT + 24))" \
    --verify "127.0.0.1:$((BASE_PORT + 28))" \
    --verify "127.0.0.1:$((BASE_PORT + 31))" \
    >"$WORK/load.out" 2>"$WORK/load.log" &
PID[load]=$!
sleep 1
vm=$(vms_of_pool billing | grep north | head -1)
moved() {
    vms_of_pool booking | grep -qx "$vm"
}
submit_patch --request-id demo-3 --set "pools/booking/vms/$vm=move" >/dev/null
wait_for "move of $vm" moved
echo "5. under load, $vm moved from billing to booking at version $(current_version)"

kill_process north-2
sleep 1
start_entry north-2
wait_for "readiness of north-2" is_ready north-2
echo "6. north-2 was killed under load, restarted and is ready again"

status=0
wait "${PID[load]}" || status=$?
unset "PID[load]"
echo "7. load: $(cat "$WORK/load.out")"
[ $status -eq 0 ] || {
    cat "$WORK/load.log" >&2
    fail "wrong answers: the load ended with status $status"
}
echo "8. no wrong answer, and no unrepeatable request ran twice"
for name in "${ENTRIES[@]}"; do
    stop_process "$name"
    [ "$STOP_STATUS" -eq 0 ] || fail "$name exited with status $STOP_STATUS"
done
echo "9. all entry VMs ended after a planned stop"
