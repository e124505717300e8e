#!/usr/bin/env bash
# Guards against an entry VM that does not apply the limits of the configuration
# to callers, or applies them to operators.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
start_nodes_in_memory "$1"

# The configuration permits bodies of 262,144 bytes, the settings of the entry
# VM 1 MiB.
head -c 262144 /dev/zero | tr '\0' ' ' >"$WORK/longest"
head -c 262145 /dev/zero | tr '\0' ' ' >"$WORK/longer"
next_job=1
status_of() {
    send_request -X POST -H 'Host: a.example' --data-binary "@$WORK/$1" \
        "$(entry_url "/jobs/$(printf '%016x' $((next_job++)))")"
}
longer_is_refused() {
    [ "$(status_of longer)" = 413 ]
}
wait_for "the limit of the configuration" longer_is_refused
status=$(status_of longest)
[ "$status" = 400 ] || fail "a body within the limit got $status, expected 400"

# A new version of the configuration has another limit.
platform_config 2 a.example /jobs/ | sed 's/262144/200000/' >"$WORK/config"
[ "$(send_request -X PUT --data-binary "@$WORK/config" \
    "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" = 200 ] ||
    fail "the second configuration was not stored"
longest_is_refused() {
    [ "$(status_of longest)" = 413 ]
}
wait_for "the limit of the second configuration" longest_is_refused

# A configuration may be longer than the bodies of callers.
platform_config_of 3 2000 >"$WORK/config"
[ "$(wc -c <"$WORK/config")" -gt 262144 ] || fail "the configuration is short"
[ "$(send_request -X PUT --data-binary "@$WORK/config" \
    "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")")" = 200 ] ||
    fail "a long configuration was not stored"
