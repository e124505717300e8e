#!/usr/bin/env bash
# Guards against a break in the path from operator and caller to target: a
# patch in force on every entry VM, answers that belong to their requests, a
# move of a VM under load, and each read command of the command line.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
standard_cluster

base=$(version)
first=$(cli patch --json --base "$base" --request-id twice \
    --set limits/x=1 | number version)
again=$(cli patch --json --base "$base" --request-id twice \
    --set limits/x=1 | number version)
[ "$again" = "$first" ] || fail "a resend got version $again, not $first"
status=0
cli patch --base "$base" --request-id twice --set limits/x=3 \
    2>/dev/null || status=$?
[ $status -eq 1 ] || fail "a reused request id gave status $status"

status=0
cli patch --base "$((first - 1))" --request-id late --set limits/x=2 \
    2>"$WORK/conflict" || status=$?
[ $status -eq 1 ] || fail "a conflict gave status $status"
grep -q "current version: $first" "$WORK/conflict" || fail "no version"
grep -q "conflict: limits/x" "$WORK/conflict" || fail "no path"

has_version() {
    [ "$(entry_number "$1" version)" -ge "$first" ]
}
for name in "${ENTRIES[@]}"; do
    wait_for "version $first on $name" has_version "$name"
done
for command in status vms pools show; do
    cli $command >"$WORK/$command.out" || fail "$command"
    [ -s "$WORK/$command.out" ] || fail "$command printed nothing"
done

patch --request-id pool2 --set pools/second/max_unavailable=1 >/dev/null
start_load load --rate 100 --seconds 6 --run-us 5000 \
    --unrepeatable-percent 30 "${VERIFY[@]}"
# Cancelling an unrepeatable request that has started leaves its outcome
# unknown, so cancellations have a load of their own.
start_load cancels --rate 50 --seconds 6 --run-us 20000 --cancel-percent 20 \
    --caller canceller "${VERIFY[@]}"
vm=north-book-2
in_second() {
    vms_of_pool second | grep -qx $vm
}
patch --request-id move --set "pools/second/vms/$vm=move" >/dev/null
wait_for "move of $vm" in_second
for load in load cancels; do
    end_load $load
    expect $load lost -eq 0
    expect $load unknown -eq 0
    expect $load unable -eq 0
done
expect load done -gt 400
expect cancels done -gt 100
expect cancels cancelled -gt 0
