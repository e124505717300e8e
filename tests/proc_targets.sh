#!/usr/bin/env bash
# Guards against a target that fails everything and attracts work, and against
# work that is sent to a departing target after 2 s or cut off by it.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
standard_cluster
start_targets north-bad booking north $((BASE + 40)) 1 --fail-all
start_targets north-leaver booking north $((BASE + 41)) 1 --run-from-body
wait_for "registration of 9 VMs" pool_has booking 9

start_load failing --rate 150 --seconds 6 --run-us 5000 "${VERIFY[@]}" \
    --verify "127.0.0.1:$((BASE + 40))" --verify "127.0.0.1:$((BASE + 41))"
end_load failing
expect failing lost -eq 0
expect failing unable -eq 0
sent=$(number sent <"$WORK/failing.out")
expect failing done -ge $((sent * 95 / 100))
bad=$(curl -s --noproxy '*' "http://127.0.0.1:$((BASE + 40))/standin/counts" |
    number executions)
echo "the failing target received $bad of $sent requests"
[ "$bad" -gt 0 ] || fail "the failing target received nothing"
[ "$bad" -lt $((sent / 10)) ] || fail "the failing target received $bad"

# The counts of the leaver end with it, so only the answers are checked.
start_load leaving --rate 150 --seconds 8 --run-us 50000
sleep 1
stop_process north-leaver
echo "leaver: $(cat "$WORK/north-leaver.out")"
[ "$STOP_STATUS" -eq 0 ] || fail "the departing target ended badly"
late=$(number after_departure <"$WORK/north-leaver.out")
[ "$late" -eq 0 ] || fail "$late requests came after 2 s"
end_load leaving
expect leaving lost -eq 0
expect leaving unknown -eq 0
expect leaving unable -eq 0
