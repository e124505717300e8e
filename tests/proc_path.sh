#!/usr/bin/env bash
# Guards against faults on the path from operator and caller to target. Checks
# that a patch is in force on every entry VM, that answers belong to their
# requests, that a VM moves under load, and that each read command of the
# command line prints something.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
start_standard_cluster

base=$(current_version)
first=$(cli patch --json --base "$base" --request-id twice \
    --set limits/x=1 | json_number version)
again=$(cli patch --json --base "$base" --request-id twice \
    --set limits/x=1 | json_number version)
[ "$again" = "$first" ] ||
    fail "a resent patch got version $again, expected $first"
status=0
cli patch --base "$base" --request-id twice --set limits/x=3 \
    2>/dev/null || status=$?
[ $status -eq 1 ] || fail "a reused request id gave status $status, expected 1"

status=0
cli patch --base "$((first - 1))" --request-id late --set limits/x=2 \
    2>"$WORK/conflict" || status=$?
[ $status -eq 1 ] || fail "a conflict gave status $status, expected 1"
grep -q "current version: $first" "$WORK/conflict" ||
    fail "the conflict message lacks the current version"
grep -q "conflict: limits/x" "$WORK/conflict" ||
    fail "the conflict message lacks the path"

has_version() {
    [ "$(entry_status_number "$1" version)" -ge "$first" ]
}
for name in "${ENTRIES[@]}"; do
    wait_for "version $first on $name" has_version "$name"
done
for command in status vms pools show; do
    cli $command >"$WORK/$command.out" || fail "coltsfoot $command failed"
    [ -s "$WORK/$command.out" ] || fail "coltsfoot $command printed nothing"
done

submit_patch --request-id pool2 --set pools/second/max_unavailable=1 >/dev/null
start_load load --rate 100 --seconds 6 --run-us 5000 \
    --unrepeatable-percent 30 "${VERIFY[@]}"
# The outcome of an unrepeatable request that is cancelled after its start is
# unknown, so a separate load without such requests tests cancellation.
start_load cancels --rate 50 --seconds 6 --run-us 20000 --cancel-percent 20 \
    --caller canceller "${VERIFY[@]}"
vm=north-book-2
vm_is_in_second_pool() {
    vms_of_pool second | grep -qx $vm
}
submit_patch --request-id move --set "pools/second/vms/$vm=move" >/dev/null
wait_for "move of $vm" vm_is_in_second_pool
for load in load cancels; do
    wait_for_load $load
    expect_count $load lost -eq 0
    expect_count $load unknown -eq 0
    expect_count $load unable -eq 0
done
expect_count load done -gt 400
expect_count cancels done -gt 100
expect_count cancels cancelled -gt 0
