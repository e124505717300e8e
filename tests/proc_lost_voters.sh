#!/usr/bin/env bash
# Guards against an election without a majority of voters that the lines and
# metrics of a control VM do not explain: voters that are down, and one that
# returns without its disk.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# metric NODE NAME: prints the value of a metric.
metric() {
    curl -s --noproxy '*' -m 1 \
        "http://$(host_of "$1"):$((BASE_PORT + 4))/metrics" |
        awk -v name="$2" '$1 == name { print $2 }'
}

# metric_is NODE NAME VALUE
metric_is() {
    [ "$(metric "$1" "$2")" = "$3" ]
}

# has_line NODE PATTERN [FROM]: succeeds if a line from line FROM on matches.
has_line() {
    tail -n "+${3:-1}" "$WORK/$1.out" | grep -Eq "$2"
}

# identity_of NODE: prints the identity of its data folder.
identity_of() {
    grep '"event":"log_opened"' "$WORK/$1.out" | tail -1 |
        grep -o '"identity":"[0-9a-f]*"' | cut -d'"' -f4
}

start_nodes_in_memory "${1:-build}"
wait_for "leader of three voters" find_leader
old=$LEADER
others=()
for node in "${CONTROL_NODES[@]}"; do
    [ "$node" = "$old" ] || others+=("$node")
done
wiped=${others[0]}
left=${others[1]}
old_voter=$old/$(identity_of "$old")
wiped_voter=$wiped/$(identity_of "$wiped")
has_line "$old" '"event":"election_ended","phase":"vote".*"outcome":"won"' ||
    fail "$old leads without a line of its election"

from=$(($(wc -l <"$WORK/$left.out") + 1))
kill_node "$old"
kill_node "$wiped"
wait_for "an election that times out" has_line "$left" \
    '"event":"election_ended","phase":"prevote".*"quorum":2,"outcome":"timed_out"' \
    "$from"
wait_for "an election whose lost voters are named" has_line "$left" \
    "\"event\":\"election_started\".*\"voters\":\".*$wiped_voter=down" "$from"
has_line "$left" "\"votes\":\".*$old_voter=silent" "$from" ||
    fail "no line tells that $old_voter is silent"
wait_for "the time without a leader" has_line "$left" \
    "\"event\":\"leader_unknown\".*\"voter\":1.*$old_voter=down" "$from"
[ "$(metric "$left" coltsfoot_leader_unknown_seconds | cut -d. -f1)" -ge 2 ] ||
    fail "no metric tells the time without a leader"
wait_for "one voter up" metric_is "$left" coltsfoot_voters_up 1
metric_is "$left" coltsfoot_voters 3 || fail "$left does not know 3 voters"
metric_is "$left" coltsfoot_voter 1 || fail "$left is no voter"

rm -rf "${WORK:?}/$wiped"
start_control_node "$wiped" false
wait_for "a node without a vote" metric_is "$wiped" coltsfoot_voter 0
wait_for "an election that tells the lost disk" has_line "$left" \
    "\"event\":\"election_started\".*\"voters\":\".*$wiped_voter=replaced" \
    "$from"
metric_is "$left" coltsfoot_voters_up 1 ||
    fail "a node without a vote counts as a voter"
[ -z "$(leader_metric coltsfoot_leader)" ] || fail "a minority has a leader"

start_control_node "$old" false
wait_for "leader of three voters" find_leader
wait_for "a granted vote" grep -hq \
    '"event":"vote_answered","phase":"vote".*"verdict":"granted"' \
    "$WORK/$left.out" "$WORK/$old.out"
wait_for "the end of the time without a leader" has_line "$left" \
    '"event":"leader_known"' "$from"
metric_is "$left" coltsfoot_leader_unknown_seconds 0 ||
    fail "the metric of the time without a leader does not end"
[ "$(identity_of "$wiped")" != "${wiped_voter#*/}" ] ||
    fail "$wiped kept its identity without its disk"
new_voter=$wiped/$(identity_of "$wiped")
wait_for "the new identity among the voters" has_line "$left" \
    "\"event\":\"voters_changed\".*\"voters\":\".*$new_voter=" "$from"
[ "$(grep -h '"event":"voters_changed"' "$WORK"/core-*.out |
    grep -o '"cluster":"[0-9a-f]*"' | sort -u | wc -l)" = 1 ] ||
    fail "the lines name several clusters"
echo "$left explained its elections without $old and $wiped"
