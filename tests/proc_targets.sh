#!/usr/bin/env bash
# Guards against a target that fails every request and thereby attracts more of
# them, and against a departing target that is sent requests more than 2 s
# after it announced its departure or drops requests in flight.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
start_standard_cluster
start_targets north-bad booking north $((BASE_PORT + 40)) 1 --fail-all
start_targets north-leaver booking north $((BASE_PORT + 41)) 1 --run-from-body
wait_for "registration of 9 VMs" pool_has_vms booking 9

start_load failing --rate 150 --seconds 6 --run-us 5000 "${VERIFY[@]}" \
    --verify "127.0.0.1:$((BASE_PORT + 40))" \
    --verify "127.0.0.1:$((BASE_PORT + 41))"
wait_for_load failing
expect_count failing lost -eq 0
expect_count failing unable -eq 0
sent=$(json_number sent <"$WORK/failing.out")
expect_count failing done -ge $((sent * 95 / 100))
received=$(curl -s --noproxy '*' \
    "http://127.0.0.1:$((BASE_PORT + 40))/standin/counts" |
    json_number executions)
echo "the failing target received $received of $sent requests"
[ "$received" -gt 0 ] || fail "the failing target received no request"
[ "$received" -lt $((sent / 10)) ] ||
    fail "the failing target received $received of $sent requests"

# The departing target's counts are lost when it exits, so this load is not
# verified at the targets.
start_load leaving --rate 150 --seconds 8 --run-us 50000
sleep 1
stop_process north-leaver
echo "leaver: $(cat "$WORK/north-leaver.out")"
[ "$STOP_STATUS" -eq 0 ] ||
    fail "the departing target exited with status $STOP_STATUS"
late=$(json_number after_departure <"$WORK/north-leaver.out")
[ "$late" -eq 0 ] ||
    fail "$late requests arrived more than 2 s after the departure"
wait_for_load leaving
expect_count leaving lost -eq 0
expect_count leaving unknown -eq 0
expect_count leaving unable -eq 0
