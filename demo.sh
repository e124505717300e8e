#!/usr/bin/env bash
# Runs three entry VMs and two pools of stand-in targets on loopback: a patch,
# a checked load, a move of a VM and a kill under that load. Ends everything
# that it started.
cd "$(dirname "$0")"
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

proc_begin "${1:-build}"
choose_base 60
cluster north-1:north north-2:north south-1:south
init_cluster north-1
start_entries
echo "1. three entry VMs are ready: ${ENTRIES[*]}"

before=$(version)
patch --request-id demo-1 --set services/booking/pool=booking \
    --set services/billing/pool=billing \
    --set pools/booking/max_unavailable=2 \
    --set pools/billing/max_unavailable=2 >/dev/null
echo "2. patch demo-1 accepted: version $before is now $(version)"
if cli patch --base "$before" --request-id demo-2 \
    --set pools/booking/max_unavailable=5 2>"$WORK/refusal"; then
    fail "a patch against an old version was accepted"
fi
echo "3. a patch against version $before is refused:" \
    "$(grep -h conflict: "$WORK/refusal" | head -1)"

start_targets north-book booking north $((BASE + 20)) 4 --run-from-body
start_targets north-bill billing north $((BASE + 24)) 4 --run-from-body
start_targets south-book booking south $((BASE + 28)) 3 --run-from-body
start_targets south-bill billing south $((BASE + 31)) 3 --run-from-body
wait_for "registration of 7 booking VMs" pool_has booking 7
wait_for "registration of 7 billing VMs" pool_has billing 7
echo "4. 14 targets have announced themselves in two pools"

serves() {
    "$BUILD/standin-caller" --to "$1" --service booking --service billing \
        --requests 4 | grep -q '"done":4'
}
for name in "${ENTRIES[@]}"; do
    wait_for "answers of $name" serves "${TRAFFIC[$name]}"
done

"$BUILD/standin-caller" --to "${TRAFFIC[north-1]}" \
    --to "${TRAFFIC[north-2]}" --to "${TRAFFIC[south-1]}" \
    --service booking --service billing --rate 200 --seconds 12 \
    --run-us 5000 --unrepeatable-percent 20 --resend 10 \
    --verify "127.0.0.1:$((BASE + 20))" --verify "127.0.0.1:$((BASE + 24))" \
    --verify "127.0.0.1:$((BASE + 28))" --verify "127.0.0.1:$((BASE + 31))" \
    >"$WORK/load.out" 2>"$WORK/load.log" &
PID[load]=$!
sleep 1
vm=$(vms_of_pool billing | grep north | head -1)
moved() {
    vms_of_pool booking | grep -qx "$vm"
}
patch --request-id demo-3 --set "pools/booking/vms/$vm=move" >/dev/null
wait_for "move of $vm" moved
echo "5. under load, $vm moved from billing to booking at version $(version)"

kill_now north-2
sleep 1
start_entry north-2
wait_for "return of north-2" is_ready north-2
echo "6. north-2 was killed under load, restarted and is ready again"

status=0
wait "${PID[load]}" || status=$?
unset "PID[load]"
echo "7. load: $(cat "$WORK/load.out")"
[ $status -eq 0 ] || {
    cat "$WORK/load.log" >&2
    fail "wrong answers"
}
echo "8. no wrong answer, and no unrepeatable request ran twice"
for name in "${ENTRIES[@]}"; do
    stop_process "$name"
    [ "$STOP_STATUS" -eq 0 ] || fail "$name ended with $STOP_STATUS"
done
echo "9. all entry VMs ended after a planned stop"
