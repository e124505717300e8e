#!/usr/bin/env bash
# Guards against a control VM that cannot open its log and hangs instead of
# ending, so that nothing starts it again.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

ROUNDS=10
LIMIT=unlimited

# Writes beyond LIMIT bytes of a file fail. Output goes through a pipe.
start_node() {
    mkdir -p "$WORK/$1"
    prlimit --fsize="$LIMIT:unlimited" "$BUILD/coltsfootd" \
        --settings "$WORK/$1.yaml" > >(cat >>"$WORK/$1.log") 2>&1 &
    PID[$1]=$!
}

has_ended() {
    ! kill -0 "${PID[core-1]}" 2>/dev/null
}

leads_alone() {
    [ "$(leader_metric coltsfoot_leader)" = 1 ]
}

has_failed_starts() {
    [ "$(grep -c 'Cannot start' "$WORK/core-1.log")" -eq "$ROUNDS" ]
}

# check_end CAUSE: the log cannot be opened in any round.
check_end() {
    local round status
    for ((round = 0; round < ROUNDS; round++)); do
        start_node core-1
        wait_for "the end of a control VM with $1, round $round" has_ended
        status=0
        wait "${PID[core-1]}" || status=$?
        [ "$status" -eq 1 ] || fail "$1: ended with status $status, expected 1"
    done
    wait_for "$ROUNDS failed starts with $1" has_failed_starts
    : >"$WORK/core-1.log"
}

WAIT_S=5
trap '' XFSZ
setup_run "${1:-build}"
choose_base_port 5
write_settings core-1 true
LIMIT=1
check_end "a full disk"
LIMIT=unlimited
start_node core-1
wait_for "the only control VM to lead" leads_alone
kill -TERM "${PID[core-1]}"
wait "${PID[core-1]}" || fail "a stopped control VM ended with an error"
echo damaged >"$WORK/core-1/identity"
check_end "a damaged file"
echo "PASS: a control VM that cannot start ends"
