#include <stdlib.h>
#include <string.h>

#include "raft.h"
#include "replica_plan.h"
#include "support.h"

#define SELF 1

static RaftMsg msg; /* shared by all tests, as it is large */

static RaftMembers
make_members(size_t voters, size_t learners)
{
    RaftMembers members = {0};
    size_t i;

    for (i = 0; i < voters + learners; i++) {
        RaftMember *member = &members.list[members.count++];

        member->identity = i + 1;
        member->name[0] = (char)('a' + i);
        member->data_centre[0] = 'x';
        member->voter = i < voters;
    }
    return members;
}

static Raft *
create_raft(const RaftMembers *members)
{
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    Raft *raft = NULL;

    options.identity = SELF;
    options.cluster = 9;
    options.seed = 3;
    options.term = 1;
    options.base_index = options.snapshot_index = 5;
    options.base_term = options.snapshot_term = 1;
    options.snapshot_members = members;
    options.snapshot = "0123456789";
    options.snapshot_len = 10;
    options.snapshot_chunk_bytes = 4;
    options.max_inflight_messages = 3;
    options.max_batch_bytes = 8;
    ck_assert_int_eq(Raft_New(&options, &raft, NULL), ST_OK);
    return raft;
}

/* Processes all pending output and returns the number of messages of a type.
 * Decodes the last one into msg, which is valid until the next call. */
static size_t
take_messages(Raft *raft, RaftMsgType type)
{
    static Buf kept[64];
    static size_t kept_count;
    RaftReady ready;
    size_t count = 0;
    size_t i;
    static RaftMsg decoded;

    while (kept_count > 0) {
        Buf_Free(&kept[--kept_count]);
    }
    while (Raft_GetReady(raft, &ready)) {
        Raft_MarkPersisted(raft);
        for (i = 0; i < ready.message_count; i++) {
            const Buf *bytes = &ready.messages[i].bytes;

            ck_assert_int_eq(
                RaftMsg_Decode(bytes->data, bytes->len, &decoded, NULL),
                ST_OK);
            if (decoded.type == type && kept_count < 64) {
                count++;
                Buf_Append(&kept[kept_count], bytes->data, bytes->len);
                RaftMsg_Decode(kept[kept_count].data, kept[kept_count].len,
                               &msg, NULL);
                kept_count++;
            }
        }
        Raft_MarkApplied(raft, ready.commit_index);
        Raft_DropOutput(raft);
    }
    return count;
}

static RaftMsg *
make_message(RaftMsgType type, uint64_t from, uint64_t term)
{
    memset(&msg, 0, sizeof(msg));
    msg.type = type;
    msg.cluster = 9;
    msg.from = from;
    msg.to = SELF;
    msg.term = term;
    return &msg;
}

/* Makes identity 1 the leader of term 2 with the vote of identity 2. */
static Raft *
create_leader(const RaftMembers *members, int64_t *now)
{
    Raft *raft = create_raft(members);

    *now = 4000;
    Raft_Tick(raft, *now);
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_PRECANDIDATE);
    Raft_HandleMessage(raft, *now, make_message(RAFT_MSG_PREVOTE_REPLY, 2, 2));
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_CANDIDATE);
    Raft_HandleMessage(raft, *now, make_message(RAFT_MSG_VOTE_REPLY, 2, 2));
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_LEADER);
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    return raft;
}

/* Guards against counting votes of learners and unknown identities (such as a
 * wiped disk), repeated votes and pre-votes of another term. */
START_TEST(only_votes_of_voters_count)
{
    RaftMembers members = make_members(5, 1);
    Raft *raft = create_raft(&members);
    static const struct {
        RaftMsgType type;
        uint64_t from;
        uint64_t term;
    } cases[] = {
        {RAFT_MSG_PREVOTE_REPLY, 6, 2},  {RAFT_MSG_PREVOTE_REPLY, 77, 2},
        {RAFT_MSG_PREVOTE_REPLY, 88, 2}, {RAFT_MSG_PREVOTE_REPLY, 2, 2},
        {RAFT_MSG_PREVOTE_REPLY, 2, 2},  {RAFT_MSG_PREVOTE_REPLY, 3, 3},
        {RAFT_MSG_PREVOTE_REPLY, 4, 1},  {RAFT_MSG_VOTE_REPLY, 3, 1},
    };
    size_t i;

    Raft_Tick(raft, 4000);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Raft_HandleMessage(
            raft, 4000,
            make_message(cases[i].type, cases[i].from, cases[i].term));
        ck_assert_int_eq(Raft_GetRole(raft), RAFT_PRECANDIDATE);
    }
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_PREVOTE_REPLY, 3, 2));
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_CANDIDATE);
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_VOTE_REPLY, 77, 2));
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_VOTE_REPLY, 88, 2));
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_VOTE_REPLY, 6, 2));
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_CANDIDATE);
    Raft_Free(raft);
}
END_TEST

/* Guards against two votes in one term, a vote for a candidate whose log is
 * behind, and an election while a leader is active. */
START_TEST(vote_requests_follow_raft_rules)
{
    static const struct {
        uint64_t from;
        uint64_t term;
        uint64_t index;
        uint64_t log_term;
        bool grant;
    } cases[] = {
        {2, 2, 4, 1, false}, {2, 2, 9, 0, false}, {2, 2, 5, 1, true},
        {2, 2, 5, 1, true},  {3, 2, 9, 1, false}, {3, 1, 9, 1, false},
        {3, 3, 9, 2, true},  {2, 3, 9, 2, false},
    };
    RaftMembers members = make_members(3, 0);
    Raft *raft = create_raft(&members);
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        RaftMsg *request =
            make_message(RAFT_MSG_REQUEST_VOTE, cases[i].from, cases[i].term);

        request->index = cases[i].index;
        request->log_term = cases[i].log_term;
        Raft_HandleMessage(raft, 100, request);
        ck_assert_uint_eq(take_messages(raft, RAFT_MSG_VOTE_REPLY), 1);
        ck_assert_msg(msg.reject != cases[i].grant, "case %zu", i);
    }
    Raft_HandleMessage(raft, 200, make_message(RAFT_MSG_HEARTBEAT, 3, 3));
    take_messages(raft, RAFT_MSG_VOTE_REPLY);
    make_message(RAFT_MSG_REQUEST_VOTE, 2, 9)->index = 50;
    msg.log_term = 3;
    Raft_HandleMessage(raft, 300, &msg);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_VOTE_REPLY), 0);
    ck_assert_uint_eq(Raft_GetTerm(raft), 3);
    Raft_Free(raft);
}
END_TEST

/* Guards against a read confirmed by a leader that was replaced while its
 * process was paused, and against one before the first entry of the leader's
 * term is committed. */
START_TEST(read_index_needs_new_heartbeat_round)
{
    RaftMembers members = make_members(3, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);
    RaftReady ready;

    ck_assert_int_eq(Raft_ReadIndex(raft, now, 7), ST_AGAIN);
    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 6);
    take_messages(raft, RAFT_MSG_HEARTBEAT);
    ck_assert_int_eq(Raft_ReadIndex(raft, now, 7), ST_OK);
    /* Replies to other rounds and from non-members do not count. */
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 0;
    Raft_HandleMessage(raft, now, &msg);
    take_messages(raft, RAFT_MSG_HEARTBEAT);
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 77, 2)->context = 1;
    Raft_HandleMessage(raft, now, &msg);
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 5;
    Raft_HandleMessage(raft, now, &msg);
    Raft_GetReady(raft, &ready);
    ck_assert_uint_eq(ready.read_count, 0);
    Raft_DropOutput(raft);
    if (_i == 0) {
        make_message(RAFT_MSG_HEARTBEAT_REPLY, 3, 2)->context = 1;
        Raft_HandleMessage(raft, now, &msg);
        ck_assert(Raft_GetReady(raft, &ready));
        ck_assert_uint_eq(ready.read_count, 1);
        ck_assert(ready.reads[0].ok);
        ck_assert_uint_eq(ready.reads[0].index, 6);
    }
    else {
        /* After a pause of a minute, another leader may have been elected. */
        Raft_Tick(raft, now + 60000);
        ck_assert_int_eq(Raft_GetRole(raft), RAFT_FOLLOWER);
        Raft_GetReady(raft, &ready);
        ck_assert_uint_eq(ready.read_count, 1);
        ck_assert(!ready.reads[0].ok);
    }
    Raft_Free(raft);
}
END_TEST

/* Guards against a leader that commits an entry of an older term by counting
 * replicas: another leader could still overwrite it (paper, figure 8). */
START_TEST(older_terms_commit_with_current_term)
{
    RaftMembers members = make_members(5, 0);
    Raft *raft = create_raft(&members);

    make_message(RAFT_MSG_APPEND_ENTRIES, 2, 1)->index = 5;
    msg.log_term = 1;
    msg.entry_count = 1;
    msg.entries[0].index = 6;
    msg.entries[0].term = 1;
    ck_assert_int_eq(Raft_HandleMessage(raft, 100, &msg), ST_OK);
    Raft_Tick(raft, 9000);
    Raft_HandleMessage(raft, 9000, make_message(RAFT_MSG_PREVOTE_REPLY, 2, 2));
    Raft_HandleMessage(raft, 9000, make_message(RAFT_MSG_PREVOTE_REPLY, 3, 2));
    Raft_HandleMessage(raft, 9000, make_message(RAFT_MSG_VOTE_REPLY, 2, 2));
    Raft_HandleMessage(raft, 9000, make_message(RAFT_MSG_VOTE_REPLY, 3, 2));
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_LEADER);
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_HandleMessage(raft, 9000, &msg);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_HandleMessage(raft, 9000, &msg);
    make_message(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 6;
    Raft_HandleMessage(raft, 9000, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 5);
    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 7;
    Raft_HandleMessage(raft, 9000, &msg);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 7;
    Raft_HandleMessage(raft, 9000, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 7);
    Raft_Free(raft);
}
END_TEST

/* Guards against a membership change before the leader's first commit, two
 * concurrent changes, a change of two voters at once, and acknowledgements by
 * non-voters that count towards a commit. */
START_TEST(member_changes_are_serialized)
{
    RaftMembers members = make_members(3, 1);
    RaftMembers next = make_members(4, 0);
    RaftMembers two_more_voters = make_members(5, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);

    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_AGAIN);
    make_message(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 5);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 6);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &two_more_voters),
                     ST_INVALID);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_OK);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &members), ST_AGAIN);
    /* The new list counts at once: 2 of 4 voters are no majority. */
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 7;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 6);
    make_message(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 7;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 7);
    Raft_Free(raft);
}
END_TEST

/* Guards against a member list that stays current after another leader's entry
 * has replaced the entry that holds it. */
START_TEST(truncated_member_change_is_reverted)
{
    RaftMembers members = make_members(3, 1);
    RaftMembers next = make_members(4, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);

    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_OK);
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    ck_assert_uint_eq(RaftMembers_CountVoters(Raft_GetMembers(raft)), 4);
    make_message(RAFT_MSG_APPEND_ENTRIES, 3, 3)->index = 6;
    msg.log_term = 2;
    msg.entry_count = 1;
    msg.entries[0].index = 7;
    msg.entries[0].term = 3;
    ck_assert_int_eq(Raft_HandleMessage(raft, now, &msg), ST_OK);
    ck_assert_uint_eq(RaftMembers_CountVoters(Raft_GetMembers(raft)), 3);
    /* An AppendEntries message cannot replace a committed entry. */
    make_message(RAFT_MSG_APPEND_ENTRIES, 3, 4)->index = 5;
    msg.log_term = 1;
    msg.entry_count = 1;
    msg.entries[0].index = 6;
    msg.entries[0].term = 4;
    ck_assert_int_eq(Raft_HandleMessage(raft, now, &msg), ST_CORRUPT);
    ck_assert_uint_eq(Raft_GetTermAt(raft, 6), 2);
    Raft_Free(raft);
}
END_TEST

/* Guards against a leader that sends without limit to a slow peer, and against
 * one that waits forever for the reply to a lost message. */
START_TEST(messages_in_flight_are_bounded)
{
    RaftMembers members = make_members(3, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);
    uint64_t index;
    uint64_t term;
    int i;

    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    for (i = 0; i < 20; i++) {
        ck_assert_int_eq(Raft_Propose(raft, now, "12345678", 8, &index, &term),
                         ST_OK);
    }
    /* Peer 3 has an unanswered probe, so it gets no further message. */
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_APPEND_ENTRIES), 3);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.entry_count, 1);
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 0;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_ge(take_messages(raft, RAFT_MSG_APPEND_ENTRIES), 1);
    ck_assert_uint_eq(msg.index, 9);
    /* Entries 7 to 9 were lost; the rejection hints at the end of the log. */
    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 9;
    msg.reject = true;
    msg.hint_index = 6;
    msg.hint_term = 2;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_APPEND_ENTRIES), 1);
    ck_assert_uint_eq(msg.index, 6);
    Raft_Free(raft);
}
END_TEST

/* Guards against a voter that restarts while nothing is proposed and never
 * learns that the entries in its log are committed. */
START_TEST(restarted_voter_learns_commit_index)
{
    RaftMembers members = make_members(3, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);

    make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
    ck_assert_uint_eq(Raft_GetCommitIndex(raft), 6);
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_APPEND_ENTRIES), 0);
    make_message(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->index = 5;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_APPEND_ENTRIES), 1);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.index, 6);
    ck_assert_uint_eq(msg.entry_count, 0);
    ck_assert_uint_eq(msg.commit_index, 6);
    Raft_Free(raft);

    /* A follower reports its last matching entry in heartbeat replies; an
     * empty AppendEntries message is then enough to commit. */
    raft = create_raft(&members);
    make_message(RAFT_MSG_HEARTBEAT, 2, 2)->commit_index = 5;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_HEARTBEAT_REPLY), 1);
    ck_assert_uint_eq(msg.index, 5);
    Raft_Free(raft);
}
END_TEST

/* Guards against a snapshot transfer that skips, repeats or mixes chunks. */
START_TEST(snapshot_is_sent_in_chunks)
{
    RaftMembers members = make_members(3, 0);
    RaftMembers no_members = {0};
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    int64_t now;
    Raft *leader = create_leader(&members, &now);
    Raft *follower = NULL;
    RaftReady ready;
    uint64_t index;
    uint64_t term;
    size_t len;
    size_t chunks = 0;

    options.identity = 3;
    options.snapshot_members = &no_members;
    ck_assert_int_eq(Raft_New(&options, &follower, NULL), ST_OK);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 5;
    msg.reject = true;
    Raft_HandleMessage(leader, now, &msg);
    while (take_messages(leader, RAFT_MSG_INSTALL_SNAPSHOT) > 0) {
        chunks++;
        ck_assert_uint_le(msg.len, 4);
        ck_assert_int_eq(Raft_HandleMessage(follower, now, &msg), ST_OK);
        /* A duplicate chunk is harmless. */
        ck_assert_int_eq(Raft_HandleMessage(follower, now, &msg), ST_OK);
        Raft_GetReady(follower, &ready);
        /* The cluster is joined, and persisted, with the first chunk. */
        ck_assert(ready.cluster_changed == (chunks == 1));
        if (ready.install_snapshot) {
            break;
        }
        ck_assert_uint_ge(take_messages(follower, RAFT_MSG_SNAPSHOT_REPLY), 1);
        Raft_HandleMessage(leader, now, &msg);
    }
    ck_assert_uint_eq(chunks, 3);
    ck_assert(ready.install_snapshot);
    ck_assert_uint_eq(ready.cluster, 9);
    ck_assert_mem_eq(Raft_GetSnapshot(follower, &len, &index, &term),
                     "0123456789", 10);
    ck_assert_uint_eq(index, 5);
    ck_assert_uint_eq(Raft_GetMembers(follower)->count, 3);
    Raft_Free(leader);
    Raft_Free(follower);
}
END_TEST

/* Guards against messages for another identity or from another cluster. */
START_TEST(foreign_messages_are_rejected)
{
    RaftMembers members = make_members(3, 0);
    Raft *raft = create_raft(&members);

    make_message(RAFT_MSG_APPEND_ENTRIES, 2, 5)->cluster = 10;
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_STALE);
    make_message(RAFT_MSG_APPEND_ENTRIES, 2, 5)->cluster = 0;
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_STALE);
    make_message(RAFT_MSG_APPEND_ENTRIES, 2, 5)->to = 44;
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_STALE);
    make_message(RAFT_MSG_APPEND_ENTRIES, SELF, 5);
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_STALE);
    ck_assert_uint_eq(Raft_GetTerm(raft), 1);
    Raft_Free(raft);
}
END_TEST

/* Guards against a new node that never joins because the first AppendEntries
 * message to it was lost: the leader resends it only on heartbeat replies. */
START_TEST(new_node_joins_on_heartbeat)
{
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    Raft *raft = NULL;

    options.identity = SELF;
    options.seed = 3;
    ck_assert_int_eq(Raft_New(&options, &raft, NULL), ST_OK);
    make_message(RAFT_MSG_REQUEST_VOTE, 2, 2)->cluster = 9;
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_STALE);
    ck_assert_uint_eq(Raft_GetCluster(raft), 0);
    make_message(RAFT_MSG_HEARTBEAT, 2, 2)->cluster = 9;
    ck_assert_int_eq(Raft_HandleMessage(raft, 1, &msg), ST_OK);
    ck_assert_uint_eq(Raft_GetCluster(raft), 9);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_HEARTBEAT_REPLY), 1);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.index, 0);
    Raft_Free(raft);
}
END_TEST

/* A corruption of a valid message with two entries, or with two members and
 * one chunk. */
typedef enum Corruption {
    NO_CORRUPTION,
    ENTRY_GAP,
    ENTRY_TERM_FALLS,
    ENTRY_ABOVE_TERM,
    ENTRY_KIND,
    NOOP_WITH_DATA,
    COMMAND_WITHOUT_DATA,
    ZERO_SENDER,
    UNKNOWN_TYPE,
    DUPLICATE_MEMBER,
    MEMBER_WITHOUT_NAME,
    NO_VOTER,
    CHUNK_BEYOND_TOTAL,
    TRAILING_BYTE,
    LAST_BYTE_MISSING,
    CORRUPTION_COUNT
} Corruption;

static void
corrupt_message(RaftMsg *message, Corruption corruption)
{
    RaftMember *second = &message->members.list[1];

    switch (corruption) {
    case ENTRY_GAP:
        message->entries[1].index++;
        break;
    case ENTRY_TERM_FALLS:
        message->entries[1].term = 1;
        break;
    case ENTRY_ABOVE_TERM:
        message->entries[1].term = 9;
        break;
    case ENTRY_KIND:
        message->entries[1].kind = (RaftEntryKind)3;
        break;
    case NOOP_WITH_DATA:
        message->entries[1].kind = RAFT_ENTRY_NOOP;
        break;
    case COMMAND_WITHOUT_DATA:
        message->entries[1].len = 0;
        break;
    case ZERO_SENDER:
        message->from = 0;
        break;
    case UNKNOWN_TYPE:
        message->type = (RaftMsgType)(RAFT_MSG_TIMEOUT_NOW + 1);
        break;
    case DUPLICATE_MEMBER:
        second->identity = message->members.list[0].identity;
        break;
    case MEMBER_WITHOUT_NAME:
        second->name[0] = '\0';
        break;
    case NO_VOTER:
        second->voter = message->members.list[0].voter = false;
        break;
    case CHUNK_BEYOND_TOTAL:
        message->offset = 5;
        break;
    default:
        break;
    }
}

/* Guards against a malformed message that is accepted in part. */
START_TEST(malformed_messages_are_rejected)
{
    Corruption corruption = (Corruption)_i;
    bool is_snapshot =
        corruption >= DUPLICATE_MEMBER && corruption <= CHUNK_BEYOND_TOTAL;
    RaftMsg *message = make_message(is_snapshot ? RAFT_MSG_INSTALL_SNAPSHOT
                                                : RAFT_MSG_APPEND_ENTRIES,
                                    2, 5);
    static RaftMsg decoded;
    Buf bytes = BUF_INIT;
    size_t i;

    message->index = 10;
    message->log_term = 2;
    message->entry_count = is_snapshot ? 0 : 2;
    for (i = 0; i < message->entry_count; i++) {
        message->entries[i].index = 11 + i;
        message->entries[i].term = 2;
        message->entries[i].kind = RAFT_ENTRY_COMMAND;
        message->entries[i].data = "data";
        message->entries[i].len = 4;
    }
    message->members = make_members(2, 0);
    message->total = 8;
    message->data = "data";
    message->len = 4;
    corrupt_message(message, corruption);
    RaftMsg_Encode(message, &bytes);
    if (corruption == TRAILING_BYTE) {
        Buf_Append(&bytes, "\0", 1);
    }
    if (corruption == LAST_BYTE_MISSING) {
        bytes.len--;
    }
    ck_assert_msg(RaftMsg_Decode(bytes.data, bytes.len, &decoded, NULL) ==
                      (corruption == NO_CORRUPTION ? ST_OK : ST_CORRUPT),
                  "case %d", _i);
    Buf_Free(&bytes);
}
END_TEST

typedef struct PlanMember {
    char name;
    char data_centre;
    bool voter;
    bool active;
    bool caught_up;
} PlanMember;

typedef struct PlanCase {
    PlanMember members[7]; /* identities from 1; 1 is the leader */
    size_t voters;
    struct {
        uint64_t identity;
        char name;
        char data_centre;
    } nodes[3];
    uint64_t changed; /* identity of the changed member, or 0 for none */
    int effect;       /* -1 removed, 0 learner, 1 voter */
} PlanCase;

/* Guards against membership changes that lose a quorum, never converge or
 * concentrate voters in one data centre. */
static const PlanCase plan_cases[] = {
    /* No change is needed. */
    {{{'a', 'x', 1, 1, 1}}, 3, {{0}}, 0, 0},
    /* A new node is added as a learner. */
    {{{'a', 'x', 1, 1, 1}}, 3, {{5, 'b', 'y'}}, 5, 0},
    /* A learner is promoted only when it has caught up. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 1, 0}}, 3, {{2, 'b', 'y'}}, 0, 0},
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 1, 1}}, 3, {{2, 'b', 'y'}}, 2, 1},
    /* An inactive learner is not promoted. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 0, 1}}, 3, {{2, 'b', 'y'}}, 0, 0},
    /* A data centre without a voter is preferred. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'x', 0, 1, 1}, {'c', 'y', 0, 1, 1}},
     3,
     {{0}},
     3,
     1},
    /* The voters are enough and evenly spread. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'x', 0, 1, 1}},
     3,
     {{0}},
     0,
     0},
    /* If x has two voters more than y, a learner in y is promoted first. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'y', 0, 1, 1}},
     3,
     {{0}},
     4,
     1},
    /* A voter in x other than the leader is then demoted. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'y', 1, 1, 1}},
     3,
     {{0}},
     2,
     0},
    /* Of too many voters, the inactive one is demoted. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 0, 0},
      {'d', 'y', 1, 1, 1}},
     3,
     {{0}},
     3,
     0},
    /* After a lost disk, the old identity is removed, the new one becomes a
     * learner, and then a voter. It never votes beside the old one. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 1, 0, 0}, {'c', 'z', 1, 1, 1}},
     3,
     {{9, 'b', 'y'}},
     2,
     -1},
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 0, 0},
      {'c', 'z', 1, 1, 1},
      {'b', 'y', 0, 1, 1}},
     3,
     {{4, 'b', 'y'}},
     2,
     -1},
    {{{'a', 'x', 1, 1, 1}, {'c', 'z', 1, 1, 1}}, 3, {{9, 'b', 'y'}}, 9, 0},
    {{{'a', 'x', 1, 1, 1}, {'c', 'z', 1, 1, 1}, {'b', 'y', 0, 1, 1}},
     3,
     {{3, 'b', 'y'}},
     3,
     1},
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 0, 0},
      {'c', 'z', 1, 1, 1},
      {'b', 'y', 1, 1, 1}},
     3,
     {{4, 'b', 'y'}},
     2,
     -1},
    /* Two active nodes share a name, so neither replaces the other. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'b', 'y', 0, 1, 1}},
     3,
     {{4, 'b', 'y'}},
     0,
     0},
    /* A replaced learner is removed at once. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 0, 0}}, 3, {{9, 'b', 'y'}}, 2, -1},
};

START_TEST(plan_chooses_expected_change)
{
    const PlanCase *plan = &plan_cases[_i];
    RaftMembers members = {0};
    RaftMembers next;
    RaftMember changed;
    ReplicaHealth health[7] = {{0}};
    ReplicaNode nodes[3] = {{{0}, 0}};
    ReplicaPlanInput input = {&members, health, nodes, 0, 1, plan->voters};
    const char *reason;
    const RaftMember *after;
    bool found;
    size_t i;

    for (i = 0; i < 7 && plan->members[i].name != 0; i++) {
        RaftMember *member = &members.list[members.count++];

        member->identity = i + 1;
        member->name[0] = plan->members[i].name;
        member->data_centre[0] = plan->members[i].data_centre;
        member->voter = plan->members[i].voter;
        health[i].active = plan->members[i].active;
        health[i].caught_up = plan->members[i].caught_up;
    }
    for (i = 0; i < 3 && plan->nodes[i].identity != 0; i++) {
        nodes[i].member.identity = plan->nodes[i].identity;
        nodes[i].member.name[0] = plan->nodes[i].name;
        nodes[i].member.data_centre[0] = plan->nodes[i].data_centre;
        input.node_count++;
    }
    found = ReplicaPlan_ChooseChange(&input, &next, &reason, &changed);
    ck_assert_msg(found == (plan->changed != 0), "case %d", _i);
    if (found) {
        ck_assert_uint_eq(changed.identity, plan->changed);
        after = RaftMembers_Find(&next, plan->changed);
        ck_assert_msg((after == NULL ? -1 : after->voter) == plan->effect,
                      "case %d", _i);
    }
}
END_TEST

/* Guards against a planned stop of a leader that leaves the cluster without
 * one for an election timeout. */
START_TEST(leader_hands_over_to_voter_with_whole_log)
{
    RaftMembers members = make_members(3, 1);
    int64_t now;
    Raft *raft = create_leader(&members, &now);

    ck_assert_int_eq(Raft_TransferLeadership(raft), ST_AGAIN);
    make_message(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_int_eq(Raft_TransferLeadership(raft), ST_AGAIN);
    make_message(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_HandleMessage(raft, now, &msg);
    ck_assert_int_eq(Raft_TransferLeadership(raft), ST_OK);
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_TIMEOUT_NOW), 1);
    ck_assert_uint_eq(msg.to, 3);
    ck_assert_uint_eq(msg.term, 2);
    Raft_Free(raft);
}
END_TEST

START_TEST(timeout_now_starts_election_at_once)
{
    static const struct {
        uint64_t from;
        uint64_t term;
        RaftRole role;
    } cases[] = {
        {2, 3, RAFT_FOLLOWER},  /* not from the leader */
        {3, 2, RAFT_FOLLOWER},  /* of an older term */
        {3, 3, RAFT_CANDIDATE}, /* from the leader */
    };
    RaftMembers members = make_members(3, 0);
    Raft *raft = create_raft(&members);
    size_t i;

    Raft_HandleMessage(raft, 100, make_message(RAFT_MSG_HEARTBEAT, 3, 3));
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        take_messages(raft, RAFT_MSG_REQUEST_VOTE);
        Raft_HandleMessage(
            raft, 110,
            make_message(RAFT_MSG_TIMEOUT_NOW, cases[i].from, cases[i].term));
        ck_assert_msg(Raft_GetRole(raft) == cases[i].role, "case %zu", i);
    }
    ck_assert_uint_eq(take_messages(raft, RAFT_MSG_REQUEST_VOTE), 2);
    ck_assert_uint_eq(msg.term, 4);
    ck_assert_uint_eq(msg.context, 1);
    Raft_Free(raft);
}
END_TEST

START_TEST(election_that_leader_asked_for_gets_votes)
{
    RaftMembers members = make_members(3, 0);
    Raft *raft = create_raft(&members);
    uint64_t context;

    Raft_HandleMessage(raft, 100, make_message(RAFT_MSG_HEARTBEAT, 3, 3));
    for (context = 0; context < 2; context++) {
        take_messages(raft, RAFT_MSG_VOTE_REPLY);
        make_message(RAFT_MSG_REQUEST_VOTE, 2, 4)->index = 50;
        msg.log_term = 3;
        msg.context = context;
        Raft_HandleMessage(raft, 110, &msg);
        ck_assert_uint_eq(take_messages(raft, RAFT_MSG_VOTE_REPLY), context);
    }
    ck_assert(!msg.reject);
    Raft_Free(raft);
}
END_TEST

START_TEST(single_voter_has_no_successor)
{
    RaftMembers members = make_members(1, 1);
    Raft *raft = create_raft(&members);

    ck_assert_int_eq(Raft_TransferLeadership(raft), ST_NOT_LEADER);
    Raft_Tick(raft, 4000);
    ck_assert_int_eq(Raft_GetRole(raft), RAFT_LEADER);
    ck_assert_int_eq(Raft_TransferLeadership(raft), ST_NOT_FOUND);
    Raft_Free(raft);
}
END_TEST

static RaftEvent
take_event(Raft *raft, RaftEventKind kind)
{
    RaftEvent event;

    ck_assert(Raft_TakeEvent(raft, &event));
    ck_assert_int_eq(event.kind, kind);
    return event;
}

START_TEST(each_vote_answer_tells_its_reason)
{
    static const struct {
        RaftMsgType type;
        uint64_t from;
        uint64_t term;
        uint64_t index;
        uint64_t log_term;
        RaftVerdict verdict;
        bool is_voter;
    } cases[] = {
        {RAFT_MSG_REQUEST_PREVOTE, 2, 2, 4, 1, RAFT_VERDICT_LOG_BEHIND, true},
        {RAFT_MSG_REQUEST_PREVOTE, 2, 2, 5, 1, RAFT_VERDICT_GRANTED, true},
        {RAFT_MSG_REQUEST_PREVOTE, 2, 1, 5, 1, RAFT_VERDICT_STALE_TERM, true},
        {RAFT_MSG_REQUEST_PREVOTE, 77, 2, 5, 1, RAFT_VERDICT_GRANTED, false},
        {RAFT_MSG_REQUEST_PREVOTE, 4, 2, 5, 1, RAFT_VERDICT_GRANTED, false},
        {RAFT_MSG_REQUEST_VOTE, 2, 2, 9, 0, RAFT_VERDICT_LOG_BEHIND, true},
        {RAFT_MSG_REQUEST_VOTE, 2, 2, 5, 1, RAFT_VERDICT_GRANTED, true},
        {RAFT_MSG_REQUEST_VOTE, 3, 2, 5, 1, RAFT_VERDICT_ALREADY_VOTED, true},
        {RAFT_MSG_REQUEST_VOTE, 3, 1, 5, 1, RAFT_VERDICT_STALE_TERM, true},
        {RAFT_MSG_HEARTBEAT, 3, 3, 0, 0, RAFT_VERDICT_COUNT, true},
        {RAFT_MSG_REQUEST_VOTE, 2, 3, 5, 1, RAFT_VERDICT_KNOWS_LEADER, true},
        {RAFT_MSG_REQUEST_VOTE, 2, 9, 5, 1, RAFT_VERDICT_KNOWS_LEADER, true},
    };
    RaftMembers members = make_members(3, 1);
    Raft *raft = create_raft(&members);
    RaftEvent event;
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        RaftMsg *request =
            make_message(cases[i].type, cases[i].from, cases[i].term);

        request->index = cases[i].index;
        request->log_term = cases[i].log_term;
        Raft_HandleMessage(raft, 100, request);
        if (cases[i].verdict != RAFT_VERDICT_COUNT) {
            event = take_event(raft, RAFT_EVENT_VOTE_ANSWERED);
            ck_assert_msg(event.verdict == cases[i].verdict, "case %zu", i);
            ck_assert_uint_eq(event.peer, cases[i].from);
            ck_assert_uint_eq(event.term, cases[i].term);
            ck_assert_uint_eq(event.candidate_index, cases[i].index);
            ck_assert_uint_eq(event.own_index, 5);
            ck_assert_int_eq(event.peer_is_voter, cases[i].is_voter);
            ck_assert(event.self_is_voter);
            ck_assert_int_eq(event.prevote,
                             cases[i].type == RAFT_MSG_REQUEST_PREVOTE);
        }
        ck_assert(!Raft_TakeEvent(raft, &event));
    }
    ck_assert_uint_eq(event.leader, 3);
    ck_assert_uint_eq(event.vote, 0);
    Raft_Free(raft);
}
END_TEST

START_TEST(each_election_tells_its_voters_and_their_votes)
{
    RaftMembers members = make_members(5, 1);
    Raft *raft = create_raft(&members);
    RaftEvent event;
    size_t i;

    Raft_Tick(raft, 4000);
    event = take_event(raft, RAFT_EVENT_ELECTION_STARTED);
    ck_assert(event.prevote);
    ck_assert_uint_eq(event.term, 2);
    ck_assert_uint_eq(event.candidate_index, 5);
    ck_assert_uint_eq(event.quorum, 3);
    ck_assert_uint_eq(event.ballot_count, 5);
    ck_assert_uint_eq(event.ballots[0].identity, SELF);
    for (i = 0; i < event.ballot_count; i++) {
        ck_assert_int_eq(event.ballots[i].state,
                         i == 0 ? RAFT_BALLOT_GRANTED : RAFT_BALLOT_SILENT);
    }
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_PREVOTE_REPLY, 6, 2));
    event = take_event(raft, RAFT_EVENT_VOTE_IGNORED);
    ck_assert_uint_eq(event.peer, 6);
    ck_assert(event.granted);
    make_message(RAFT_MSG_PREVOTE_REPLY, 2, 1)->reject = true;
    Raft_HandleMessage(raft, 4000, &msg);
    Raft_HandleMessage(raft, 4000, make_message(RAFT_MSG_PREVOTE_REPLY, 4, 2));

    Raft_Tick(raft, 8000);
    event = take_event(raft, RAFT_EVENT_ELECTION_ENDED);
    ck_assert_int_eq(event.outcome, RAFT_ELECTION_TIMED_OUT);
    ck_assert_int_eq(event.ballots[1].state, RAFT_BALLOT_REFUSED);
    ck_assert_int_eq(event.ballots[2].state, RAFT_BALLOT_SILENT);
    ck_assert_int_eq(event.ballots[3].state, RAFT_BALLOT_GRANTED);
    take_event(raft, RAFT_EVENT_ELECTION_STARTED);
    for (i = 2; i <= 4; i++) {
        make_message(RAFT_MSG_PREVOTE_REPLY, i, 1)->reject = true;
        Raft_HandleMessage(raft, 8000, &msg);
    }
    event = take_event(raft, RAFT_EVENT_ELECTION_ENDED);
    ck_assert_int_eq(event.outcome, RAFT_ELECTION_REFUSED);

    Raft_Tick(raft, 12000);
    take_event(raft, RAFT_EVENT_ELECTION_STARTED);
    Raft_HandleMessage(raft, 12000, make_message(RAFT_MSG_HEARTBEAT, 3, 2));
    event = take_event(raft, RAFT_EVENT_ELECTION_ENDED);
    ck_assert_int_eq(event.outcome, RAFT_ELECTION_SUPERSEDED);
    ck_assert_uint_eq(event.term, 2);
    ck_assert(!Raft_TakeEvent(raft, &event));
    Raft_Free(raft);
}
END_TEST

START_TEST(won_election_is_recorded_with_its_voters)
{
    RaftMembers members = make_members(3, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);
    RaftEvent event;
    int prevote;

    for (prevote = 1; prevote >= 0; prevote--) {
        event = take_event(raft, RAFT_EVENT_ELECTION_STARTED);
        ck_assert_int_eq(event.prevote, prevote);
        event = take_event(raft, RAFT_EVENT_ELECTION_ENDED);
        ck_assert_int_eq(event.prevote, prevote);
        ck_assert_int_eq(event.outcome, RAFT_ELECTION_WON);
        ck_assert_uint_eq(event.term, 2);
        ck_assert_uint_eq(event.ballot_count, 3);
        ck_assert_int_eq(event.ballots[1].state, RAFT_BALLOT_GRANTED);
        ck_assert_int_eq(event.ballots[2].state, RAFT_BALLOT_SILENT);
    }
    ck_assert(!Raft_TakeEvent(raft, &event));
    Raft_Free(raft);
}
END_TEST

START_TEST(age_of_uncommitted_entries_is_known)
{
    static const struct {
        int64_t at_ms;
        uint64_t proposals;
        uint64_t synced_by_2; /* last entry, 0: no reply */
        int64_t age_ms;
    } steps[] = {
        {0, 0, 0, 0},     {200, 3, 0, 200}, {300, 0, 6, 0},
        {400, 0, 0, 100}, {500, 2, 8, 200}, {600, 0, 9, 0},
        {700, 0, 0, 100}, {800, 0, 11, 0},  {900, 0, 0, 0},
        {1000, 1, 0, 0},  {1050, 0, 0, 0},  {1150, 0, 0, 100},
        {1200, 0, 12, 0},
    };
    RaftMembers members = make_members(3, 0);
    int64_t now;
    Raft *raft = create_leader(&members, &now);
    uint64_t index;
    uint64_t term;
    size_t i;

    ck_assert_int_eq(Raft_GetUncommittedAgeMs(raft, now), 0);
    for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        int64_t at_ms = now + steps[i].at_ms;
        uint64_t k;

        Raft_Tick(raft, at_ms);
        for (k = 0; k < steps[i].proposals; k++) {
            ck_assert_int_eq(Raft_Propose(raft, at_ms, "x", 1, &index, &term),
                             ST_OK);
        }
        take_messages(raft, RAFT_MSG_APPEND_ENTRIES);
        if (steps[i].synced_by_2 != 0) {
            make_message(RAFT_MSG_APPEND_REPLY, 2, 2)->index =
                steps[i].synced_by_2;
            Raft_HandleMessage(raft, at_ms, &msg);
        }
        ck_assert_msg(Raft_GetUncommittedAgeMs(raft, at_ms) == steps[i].age_ms,
                      "step %zu: %lld", i,
                      (long long)Raft_GetUncommittedAgeMs(raft, at_ms));
    }
    Raft_StepDown(raft);
    ck_assert_int_eq(Raft_GetUncommittedAgeMs(raft, now + 9000), 0);
    Raft_Free(raft);
}
END_TEST

START_TEST(events_that_nobody_takes_are_bounded)
{
    RaftMembers members = make_members(3, 0);
    Raft *raft = create_raft(&members);
    RaftEvent event;
    uint64_t i;

    for (i = 0; i < RAFT_MAX_EVENTS + 3; i++) {
        make_message(RAFT_MSG_REQUEST_PREVOTE, 2, 2)->index = i;
        Raft_HandleMessage(raft, 100, &msg);
    }
    for (i = 0; Raft_TakeEvent(raft, &event); i++) {
        ck_assert_uint_eq(event.candidate_index, i + 3);
        ck_assert_uint_eq(event.dropped, i == 0 ? 3 : 0);
    }
    ck_assert_uint_eq(i, RAFT_MAX_EVENTS);
    Raft_Free(raft);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("raft");
    TCase *tcase = tcase_create("raft");

    tcase_add_test(tcase, only_votes_of_voters_count);
    tcase_add_test(tcase, vote_requests_follow_raft_rules);
    tcase_add_loop_test(tcase, read_index_needs_new_heartbeat_round, 0, 2);
    tcase_add_test(tcase, older_terms_commit_with_current_term);
    tcase_add_test(tcase, leader_hands_over_to_voter_with_whole_log);
    tcase_add_test(tcase, timeout_now_starts_election_at_once);
    tcase_add_test(tcase, election_that_leader_asked_for_gets_votes);
    tcase_add_test(tcase, single_voter_has_no_successor);
    tcase_add_test(tcase, each_vote_answer_tells_its_reason);
    tcase_add_test(tcase, each_election_tells_its_voters_and_their_votes);
    tcase_add_test(tcase, won_election_is_recorded_with_its_voters);
    tcase_add_test(tcase, age_of_uncommitted_entries_is_known);
    tcase_add_test(tcase, events_that_nobody_takes_are_bounded);
    tcase_add_test(tcase, member_changes_are_serialized);
    tcase_add_test(tcase, truncated_member_change_is_reverted);
    tcase_add_test(tcase, messages_in_flight_are_bounded);
    tcase_add_test(tcase, restarted_voter_learns_commit_index);
    tcase_add_test(tcase, snapshot_is_sent_in_chunks);
    tcase_add_test(tcase, foreign_messages_are_rejected);
    tcase_add_test(tcase, new_node_joins_on_heartbeat);
    tcase_add_loop_test(tcase, malformed_messages_are_rejected, 0,
                        CORRUPTION_COUNT);
    tcase_add_loop_test(tcase, plan_chooses_expected_change, 0,
                        sizeof(plan_cases) / sizeof(plan_cases[0]));
    suite_add_tcase(suite, tcase);
    return suite;
}
