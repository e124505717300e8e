#!/usr/bin/env bash
# Guards against bodies that take many times their length once they are parsed,
# at control VMs, a relay and, through the entry VM, at the leader.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# The smallest control VM has 256 MB, half of which is for the state, the log
# and snapshots. An entry VM has 160 MB for two processes.
MAX_KB=$((128 * 1024))
MAX_ENTRY_KB=$((80 * 1024))
MAX_DESCRIPTORS=3840

# play_documents TEXT: sends the document to the leader, several at once.
play_documents() {
    wait_for "leader" find_leader
    play_crowd "$1" "${CONTROL_NODES[*]}" $MAX_KB $MAX_DESCRIPTORS \
        read_config --to "$(host_of "$LEADER"):$((BASE_PORT + 1))" \
        --shape announced --method PUT --path "$PLATFORM_CONFIG_PATH" \
        --count 8 --body "$WORK/document"
}

# Documents have slightly less than the 4 MB that the address accepts, or than
# the 1 MB that can be stored.
for element in '{}' '[]' '1' '""' '{"name":""}' 'null'; do
    for bytes in 4190000 1040000; do
        platform_expanding_config "$element" \
            $((bytes / (${#element} + 1))) >"$WORK/document"
        play_documents "$bytes bytes of $element"
    done
done
head -c 4190000 /dev/zero | tr '\0' '[' >"$WORK/document"
play_documents "deep nesting"
platform_config_of 9 15000 | head -c 4190000 >"$WORK/document"
play_documents "many routes, cut off"

# A configuration of many short routes is read whole.
platform_short_routes 9 12000 >"$WORK/document"
play_documents "many short routes"

platform_expanding_job 87000 >"$WORK/job"
wait_for "leader" find_leader
play_crowd "jobs of empty steps" "${CONTROL_NODES[*]}" $MAX_KB \
    $MAX_DESCRIPTORS submit_job --to "127.0.0.5:$((BASE_PORT + 2))" \
    --shape announced --count 300 --rounds 4 \
    --path "/jobs/################" --body "$WORK/job"
echo 5 >"/proc/${PID[edge-1]}/clear_refs"
play_crowd "jobs of empty steps" edge-1 $MAX_ENTRY_KB $MAX_DESCRIPTORS \
    submit_job --to "127.0.0.5:$((BASE_PORT + 2))" --shape announced \
    --count 300 --rounds 4 --path "/jobs/################" --body "$WORK/job"
check_crowds
