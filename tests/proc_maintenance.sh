#!/usr/bin/env bash
# Guards against a maintenance wave that takes down more VMs of a pool than the
# pool's budget allows, drops a request in flight, or skips or repeats steps
# when its keeper (the entry VM that grants the drains) is killed; and against
# the loss of acknowledged patches when a voter is killed right after another
# one was replaced. SEED sets the seed of the load.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
SEED=${SEED:-1}
choose_base_port 60
write_cluster_settings north-1:north middle-1:middle south-1:south \
    south-2!:south
init_cluster north-1
start_entries
WAVE_VMS=6
BUDGET=2

# has_member_count NAME COUNT: succeeds if an entry VM counts COUNT members.
has_member_count() {
    [ "$(entry_status_number "$1" members)" -eq "$2" ]
}
wait_for "three members" has_member_count north-1 3
submit_patch --request-id setup --set services/booking/pool=booking \
    --set "pools/booking/max_unavailable=$BUDGET" >/dev/null
start_targets south-book booking south $((BASE_PORT + 20)) $WAVE_VMS \
    --run-from-body --per-rack 3 --reboot-ms 700
start_targets north-book booking north $((BASE_PORT + 30)) 2 --run-from-body
wait_for "registration of 8 VMs" pool_has_vms booking 8
for name in "${ENTRIES[@]}"; do
    wait_for "answers through $name" serves_requests "$name"
done

# Prints the numbers of the VMs that are not up, one per line. A VM that does
# not answer is rebooting.
list_down_vms() {
    local i
    for ((i = 0; i < WAVE_VMS; i++)); do
        curl -sf --noproxy '*' -m 2 \
            "http://127.0.0.1:$((BASE_PORT + 20 + i))/platform/state" |
            grep -q '"state":"up"' || echo "$i"
    done
}
# Repeatedly counts the VMs that are down until the waves have ended. A VM that
# is down in two consecutive passes was also down between them, since no wave
# takes a VM down twice. All VMs of a count were thus down at the same time.
sample_down() {
    while [ ! -e "$WORK/stop" ]; do
        list_down_vms >"$WORK/down.1"
        list_down_vms >"$WORK/down.2"
        comm -12 "$WORK/down.1" "$WORK/down.2" | wc -l >>"$WORK/down"
    done
}
sample_down &
PID[sampler]=$!

run_wave_command() {
    local action=$1
    shift
    cli wave "$action" "$@"
}
wave_shows() {
    run_wave_command show "$1" --json | grep -q "\"state\": \"$2\""
}
# count_steps WAVE STEP: prints the number of VMs of a wave in a step.
count_steps() {
    run_wave_command show "$1" --json |
        grep -c "\"south-book-[0-9]*\": \"$2\"" || true
}
has_steps() {
    [ "$(count_steps "$1" "$2")" -ge "$3" ]
}
has_no_steps() {
    [ "$(count_steps "$1" "$2")" -eq 0 ]
}
all_up() {
    [ -z "$(list_down_vms)" ]
}
target_counts() {
    curl -sf --noproxy '*' -m 5 \
        "http://127.0.0.1:$((BASE_PORT + 20))/standin/counts"
}
sum_target_counts() {
    target_counts | grep -o "\"$1\":[0-9]*" | cut -d: -f2 |
        awk '{ sum += $1 } END { print sum + 0 }'
}

# The load avoids south-1, which is killed below, and middle-1, which has no
# targets and forwards requests to south-1, so that only the wave can cause a
# lost request or an unknown outcome.
"$BUILD/standin-caller" --to "${TRAFFIC[north-1]}" \
    --to "${TRAFFIC[south-2]}" \
    --service booking --rate 60 --seconds 40 --run-us 150000 \
    --seed "$SEED" --unrepeatable-percent 30 --deadline-ms 8000 \
    --verify "127.0.0.1:$((BASE_PORT + 20))" \
    --verify "127.0.0.1:$((BASE_PORT + 30))" \
    >"$WORK/load.out" 2>"$WORK/load.log" &
PID[load]=$!
sleep 1

VMS=()
for ((i = 1; i <= WAVE_VMS; i++)); do
    VMS+=(--vm "south-book-$i")
done
run_wave_command start first "${VMS[@]}" --request-id first >/dev/null
wait_for "the first VM of the wave" has_steps first "done" 1
run_wave_command pause first --request-id first-pause >/dev/null
wait_for "the pause of the wave" wave_shows first paused
# Succeeds if no drain of a wave is under way. A drain granted just before the
# pause is recorded as started a little later, so the check is repeated after
# 2 s; a wave that ignores its pause has no VM left by then.
has_no_drains() {
    has_no_steps "$1" started && all_up && sleep 2 &&
        has_no_steps "$1" started && all_up
}
wait_for "the end of the drains of the paused wave" has_no_drains first
finished=$(count_steps first "done")
sleep 3
[ "$(count_steps first "done")" -eq "$finished" ] ||
    fail "the paused wave continued"
[ "$finished" -lt $WAVE_VMS ] || fail "the wave ended before its pause"
run_wave_command resume first --request-id first-resume >/dev/null
wait_for "a drain after the resume" has_steps first started 1
kill_process south-1
sleep 2
start_entry south-1
wait_for "readiness of the restarted keeper" is_ready south-1
wait_for "end of the wave" wave_shows first "done"
[ "$(count_steps first "done")" -eq $WAVE_VMS ] ||
    fail "not all VMs are done: $(run_wave_command show first --json)"
wait_for "all VMs up after the wave" all_up
[ "$(sum_target_counts reboots)" -eq $WAVE_VMS ] ||
    fail "$(sum_target_counts reboots) reboots, expected $WAVE_VMS"
echo "wave: $WAVE_VMS VMs rebooted once each, keeper killed in between"

run_wave_command start second "${VMS[@]}" --request-id second >/dev/null
wait_for "the first VM of the second wave" has_steps second "done" 1
run_wave_command cancel second --request-id second-cancel >/dev/null
wait_for "cancellation of the second wave" wave_shows second cancelled
wait_for "the end of the drains of the cancelled wave" has_no_drains second
reboots=$(sum_target_counts reboots)
[ "$reboots" -lt $((2 * WAVE_VMS)) ] ||
    fail "the cancelled wave ran to its end"
sleep 2
[ "$(sum_target_counts reboots)" -eq "$reboots" ] ||
    fail "the cancelled wave rebooted another VM"

touch "$WORK/stop"
wait "${PID[sampler]}" || true
unset "PID[sampler]"
wait_for_load load
for key in unknown lost unable; do
    expect_count load $key -eq 0
done
[ "$(sum_target_counts cut_off)" -eq 0 ] ||
    fail "a reboot dropped a request in flight"
highest=$(sort -n "$WORK/down" | tail -1)
most=$(target_counts | json_number most_unavailable)
[ "$highest" -le $BUDGET ] || fail "$highest VMs were down at once"
[ "$most" -le $BUDGET ] || fail "$most VMs were unavailable at once"
[ "$most" -ge 1 ] || fail "no VM was drained"
echo "budget $BUDGET: at most $most VMs unavailable, $(wc -l <"$WORK/down")" \
    "samples with at most $highest"

# A voter restarts with an empty disk, and another voter is killed right after
# the replacement is proposed.
ACKNOWLEDGED_PATCHES=0
BASE_VERSION=$(current_version)
# submit_patches COUNT: submits patches, each of which must be acknowledged.
submit_patches() {
    local end=$((ACKNOWLEDGED_PATCHES + $1)) i
    for ((i = ACKNOWLEDGED_PATCHES + 1; i <= end; i++)); do
        cli patch --json --base "$BASE_VERSION" --request-id "k-$i" \
            --timeout-ms 60000 --set "limits/k-$i=$i" >"$WORK/answer" \
            2>"$WORK/answer.err" || {
            cat "$WORK/answer.err" >&2
            fail "patch k-$i failed"
        }
        BASE_VERSION=$(json_number version <"$WORK/answer")
        ACKNOWLEDGED_PATCHES=$i
    done
}
has_version() {
    [ "$(entry_status_number "$1" version)" -ge "$BASE_VERSION" ]
}
check_patches() {
    local name i
    for name in "$@"; do
        wait_for "version $BASE_VERSION on $name" has_version "$name"
        "$BUILD/coltsfoot" show limits --to "${CONTROL[$name]}" \
            >"$WORK/limits"
        for ((i = 1; i <= ACKNOWLEDGED_PATCHES; i++)); do
            grep -q "limits/k-$i: $i\$" "$WORK/limits" ||
                fail "$name lost the acknowledged patch k-$i"
        done
    done
}
# count_member_changes TEXT: prints the number of member changes of middle-1
# with a text that the entry VMs have logged.
count_member_changes() {
    cat "$WORK"/*-1.log | grep -c "Member change: $1.*node middle-1" || true
}
has_more_member_changes() {
    [ "$(count_member_changes "$1")" -gt "$2" ]
}
identity_of() {
    grep -o "log of identity [0-9a-f]*" "$WORK/$1.log" | tail -1
}
# replace_voter TEXT [CONDITION...]: restarts middle-1 with an empty disk, and
# kills north-1 as soon as the member change TEXT is proposed and the condition
# holds.
replace_voter() {
    local text=$1 before old
    shift
    submit_patches 10
    old=$(identity_of middle-1)
    stop_process middle-1
    submit_patches 10
    rm -r "$WORK/middle-1"
    before=$(count_member_changes "$text")
    start_entry middle-1
    wait_for "the member change: $text" has_more_member_changes "$text" \
        "$before"
    [ $# -eq 0 ] || wait_for "the member change at another voter" "$@"
    kill_process north-1
    [ "$(identity_of middle-1)" != "$old" ] ||
        fail "middle-1 kept its old identity"
}
replace_voter "promote a learner"
# Until the old identity is removed, the quorum may need the killed voter.
start_entry north-1
wait_for "readiness of north-1" is_ready north-1
submit_patches 5
check_patches north-1 middle-1 south-1 south-2
wait_for "removal of the old identity" has_member_count north-1 3

# Without the removal in its log, south-1 needs three of four voters.
replace_voter "remove the old identity" has_member_count south-1 3
submit_patches 5
check_patches middle-1 south-1 south-2
start_entry north-1
wait_for "readiness of north-1" is_ready north-1
check_patches north-1
echo "replacement: $ACKNOWLEDGED_PATCHES acknowledged patches kept"
