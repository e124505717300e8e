#include <stdlib.h>
#include <string.h>

#include "raft.h"
#include "replica_plan.h"
#include "support.h"

#define SELF 1

static RaftMsg msg; /* large; one is enough */

static RaftMembers
members_of(size_t voters, size_t learners)
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
new_raft(const RaftMembers *members)
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
    options.chunk_bytes = 4;
    options.max_inflight = 3;
    options.max_batch_bytes = 8;
    ck_assert_int_eq(Raft_New(&options, &raft, NULL), ST_OK);
    return raft;
}

/* Takes one ready and counts the messages of a type; the last one stays in
 * msg, with the bytes that it borrows. */
static size_t
drain(Raft *raft, RaftMsgType type)
{
    static Buf held[64];
    static size_t held_count;
    RaftReady ready;
    size_t found = 0;
    size_t i;
    static RaftMsg decoded;

    while (held_count > 0) {
        Buf_Free(&held[--held_count]);
    }
    while (Raft_Ready(raft, &ready)) {
        Raft_Persisted(raft);
        for (i = 0; i < ready.message_count; i++) {
            const Buf *bytes = &ready.messages[i].bytes;

            ck_assert_int_eq(
                RaftMsg_Decode(bytes->data, bytes->len, &decoded, NULL),
                ST_OK);
            if (decoded.type == type && held_count < 64) {
                found++;
                Buf_Append(&held[held_count], bytes->data, bytes->len);
                RaftMsg_Decode(held[held_count].data, held[held_count].len,
                               &msg, NULL);
                held_count++;
            }
        }
        Raft_Applied(raft, ready.commit_index);
        Raft_Sent(raft);
    }
    return found;
}

static RaftMsg *
reply(RaftMsgType type, uint64_t from, uint64_t term)
{
    memset(&msg, 0, sizeof(msg));
    msg.type = type;
    msg.cluster = 9;
    msg.from = from;
    msg.to = SELF;
    msg.term = term;
    return &msg;
}

/* Makes identity 1 of a three-voter list the leader of term 2. */
static Raft *
new_leader(const RaftMembers *members, int64_t *now)
{
    Raft *raft = new_raft(members);

    *now = 4000;
    Raft_Tick(raft, *now);
    ck_assert_int_eq(Raft_Role(raft), RAFT_PRECANDIDATE);
    Raft_Step(raft, *now, reply(RAFT_MSG_PREVOTE_REPLY, 2, 2));
    ck_assert_int_eq(Raft_Role(raft), RAFT_CANDIDATE);
    Raft_Step(raft, *now, reply(RAFT_MSG_VOTE_REPLY, 2, 2));
    ck_assert_int_eq(Raft_Role(raft), RAFT_LEADER);
    drain(raft, RAFT_MSG_APPEND);
    return raft;
}

/* Guards against votes that count although no voter cast them: learners,
 * unknown identities (a wiped disk), repeated votes, a pre-vote of another
 * term. */
START_TEST(only_voters_elect)
{
    RaftMembers members = members_of(5, 1);
    Raft *raft = new_raft(&members);
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
        Raft_Step(raft, 4000,
                  reply(cases[i].type, cases[i].from, cases[i].term));
        ck_assert_int_eq(Raft_Role(raft), RAFT_PRECANDIDATE);
    }
    Raft_Step(raft, 4000, reply(RAFT_MSG_PREVOTE_REPLY, 3, 2));
    ck_assert_int_eq(Raft_Role(raft), RAFT_CANDIDATE);
    Raft_Step(raft, 4000, reply(RAFT_MSG_VOTE_REPLY, 77, 2));
    Raft_Step(raft, 4000, reply(RAFT_MSG_VOTE_REPLY, 88, 2));
    Raft_Step(raft, 4000, reply(RAFT_MSG_VOTE_REPLY, 6, 2));
    ck_assert_int_eq(Raft_Role(raft), RAFT_CANDIDATE);
    Raft_Free(raft);
}
END_TEST

/* Guards against two votes in one term, a vote for a shorter log, and an
 * election while a leader is heard. */
START_TEST(votes_follow_the_rules)
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
    RaftMembers members = members_of(3, 0);
    Raft *raft = new_raft(&members);
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        RaftMsg *request = reply(RAFT_MSG_VOTE, cases[i].from, cases[i].term);

        request->index = cases[i].index;
        request->log_term = cases[i].log_term;
        Raft_Step(raft, 100, request);
        ck_assert_uint_eq(drain(raft, RAFT_MSG_VOTE_REPLY), 1);
        ck_assert_msg(msg.reject != cases[i].grant, "case %zu", i);
    }
    Raft_Step(raft, 200, reply(RAFT_MSG_HEARTBEAT, 3, 3));
    drain(raft, RAFT_MSG_VOTE_REPLY);
    reply(RAFT_MSG_VOTE, 2, 9)->index = 50;
    msg.log_term = 3;
    Raft_Step(raft, 300, &msg);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_VOTE_REPLY), 0);
    ck_assert_uint_eq(Raft_Term(raft), 3);
    Raft_Free(raft);
}
END_TEST

/* Guards against a read answered by a leader that was replaced while frozen,
 * and against one before its term's first entry is committed. */
START_TEST(read_needs_a_round_of_its_own)
{
    RaftMembers members = members_of(3, 0);
    int64_t now;
    Raft *raft = new_leader(&members, &now);
    RaftReady ready;

    ck_assert_int_eq(Raft_ReadIndex(raft, now, 7), ST_AGAIN);
    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 6);
    drain(raft, RAFT_MSG_HEARTBEAT);
    ck_assert_int_eq(Raft_ReadIndex(raft, now, 7), ST_OK);
    /* Late answers to older rounds, and answers of strangers, are none. */
    reply(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 0;
    Raft_Step(raft, now, &msg);
    drain(raft, RAFT_MSG_HEARTBEAT);
    reply(RAFT_MSG_HEARTBEAT_REPLY, 77, 2)->context = 1;
    Raft_Step(raft, now, &msg);
    reply(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 5;
    Raft_Step(raft, now, &msg);
    Raft_Ready(raft, &ready);
    ck_assert_uint_eq(ready.read_count, 0);
    Raft_Sent(raft);
    if (_i == 0) {
        reply(RAFT_MSG_HEARTBEAT_REPLY, 3, 2)->context = 1;
        Raft_Step(raft, now, &msg);
        ck_assert(Raft_Ready(raft, &ready));
        ck_assert_uint_eq(ready.read_count, 1);
        ck_assert(ready.reads[0].ok);
        ck_assert_uint_eq(ready.reads[0].index, 6);
    }
    else {
        /* Frozen for a minute: it cannot know whether it still leads. */
        Raft_Tick(raft, now + 60000);
        ck_assert_int_eq(Raft_Role(raft), RAFT_FOLLOWER);
        Raft_Ready(raft, &ready);
        ck_assert_uint_eq(ready.read_count, 1);
        ck_assert(!ready.reads[0].ok);
    }
    Raft_Free(raft);
}
END_TEST

/* Guards against a leader that commits an entry of an older term by counting
 * copies: another leader could still replace it (figure 8 of the paper). */
START_TEST(old_terms_commit_only_with_the_own_term)
{
    RaftMembers members = members_of(5, 0);
    Raft *raft = new_raft(&members);

    reply(RAFT_MSG_APPEND, 2, 1)->index = 5;
    msg.log_term = 1;
    msg.entry_count = 1;
    msg.entries[0].index = 6;
    msg.entries[0].term = 1;
    ck_assert_int_eq(Raft_Step(raft, 100, &msg), ST_OK);
    Raft_Tick(raft, 9000);
    Raft_Step(raft, 9000, reply(RAFT_MSG_PREVOTE_REPLY, 2, 2));
    Raft_Step(raft, 9000, reply(RAFT_MSG_PREVOTE_REPLY, 3, 2));
    Raft_Step(raft, 9000, reply(RAFT_MSG_VOTE_REPLY, 2, 2));
    Raft_Step(raft, 9000, reply(RAFT_MSG_VOTE_REPLY, 3, 2));
    ck_assert_int_eq(Raft_Role(raft), RAFT_LEADER);
    drain(raft, RAFT_MSG_APPEND);
    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_Step(raft, 9000, &msg);
    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_Step(raft, 9000, &msg);
    reply(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 6;
    Raft_Step(raft, 9000, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 5);
    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 7;
    Raft_Step(raft, 9000, &msg);
    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 7;
    Raft_Step(raft, 9000, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 7);
    Raft_Free(raft);
}
END_TEST

/* Guards against a member change before the leader's first commit, two at a
 * time, by two voters at once, and acknowledgements by non-voters. */
START_TEST(members_change_one_by_one)
{
    RaftMembers members = members_of(3, 1);
    RaftMembers next = members_of(4, 0);
    RaftMembers far = members_of(5, 0);
    int64_t now;
    Raft *raft = new_leader(&members, &now);

    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_AGAIN);
    reply(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 5);
    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 6);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &far), ST_INVALID);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_OK);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &members), ST_AGAIN);
    /* In force at once: 2 of 4 are no majority. */
    drain(raft, RAFT_MSG_APPEND);
    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 7;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 6);
    reply(RAFT_MSG_APPEND_REPLY, 4, 2)->index = 7;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 7);
    Raft_Free(raft);
}
END_TEST

/* Guards against a member list that stays in force after the entry that holds
 * it lost against another leader's. */
START_TEST(lost_member_change_is_undone)
{
    RaftMembers members = members_of(3, 1);
    RaftMembers next = members_of(4, 0);
    int64_t now;
    Raft *raft = new_leader(&members, &now);

    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    ck_assert_int_eq(Raft_ProposeMembers(raft, now, &next), ST_OK);
    drain(raft, RAFT_MSG_APPEND);
    ck_assert_uint_eq(RaftMembers_Voters(Raft_MembersNow(raft)), 4);
    reply(RAFT_MSG_APPEND, 3, 3)->index = 6;
    msg.log_term = 2;
    msg.entry_count = 1;
    msg.entries[0].index = 7;
    msg.entries[0].term = 3;
    ck_assert_int_eq(Raft_Step(raft, now, &msg), ST_OK);
    ck_assert_uint_eq(RaftMembers_Voters(Raft_MembersNow(raft)), 3);
    /* A committed entry never changes, whatever a leader claims. */
    reply(RAFT_MSG_APPEND, 3, 4)->index = 5;
    msg.log_term = 1;
    msg.entry_count = 1;
    msg.entries[0].index = 6;
    msg.entries[0].term = 4;
    ck_assert_int_eq(Raft_Step(raft, now, &msg), ST_CORRUPT);
    ck_assert_uint_eq(Raft_TermAt(raft, 6), 2);
    Raft_Free(raft);
}
END_TEST

/* Guards against a leader that floods a slow peer, and against one that waits
 * forever for a lost message. */
START_TEST(messages_in_flight_are_bounded)
{
    RaftMembers members = members_of(3, 0);
    int64_t now;
    Raft *raft = new_leader(&members, &now);
    uint64_t index;
    uint64_t term;
    int i;

    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    drain(raft, RAFT_MSG_APPEND);
    for (i = 0; i < 20; i++) {
        ck_assert_int_eq(Raft_Propose(raft, now, "12345678", 8, &index, &term),
                         ST_OK);
    }
    /* Peer 3 has never answered and waits for its probe. */
    ck_assert_uint_eq(drain(raft, RAFT_MSG_APPEND), 3);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.entry_count, 1);
    reply(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->context = 0;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_ge(drain(raft, RAFT_MSG_APPEND), 1);
    ck_assert_uint_eq(msg.index, 9);
    /* Messages 7 to 9 were lost; the refusal names the end of the log. */
    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 9;
    msg.reject = true;
    msg.hint_index = 6;
    msg.hint_term = 2;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_APPEND), 1);
    ck_assert_uint_eq(msg.index, 6);
    Raft_Free(raft);
}
END_TEST

/* Guards against a voter that restarts while nothing is proposed and then
 * never learns that the entries of its log are committed. */
START_TEST(restarted_voter_is_matched_again)
{
    RaftMembers members = members_of(3, 0);
    int64_t now;
    Raft *raft = new_leader(&members, &now);

    reply(RAFT_MSG_APPEND_REPLY, 2, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    drain(raft, RAFT_MSG_APPEND);
    ck_assert_uint_eq(Raft_CommitIndex(raft), 6);
    reply(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->index = 6;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_APPEND), 0);
    reply(RAFT_MSG_HEARTBEAT_REPLY, 2, 2)->index = 5;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_APPEND), 1);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.index, 6);
    ck_assert_uint_eq(msg.entry_count, 0);
    ck_assert_uint_eq(msg.commit, 6);
    Raft_Free(raft);

    /* The follower's side: it reports what it has matched, and an empty
     * append message is enough to commit. */
    raft = new_raft(&members);
    reply(RAFT_MSG_HEARTBEAT, 2, 2)->commit = 5;
    Raft_Step(raft, now, &msg);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_HEARTBEAT_REPLY), 1);
    ck_assert_uint_eq(msg.index, 5);
    Raft_Free(raft);
}
END_TEST

/* Guards against a snapshot transfer that skips, repeats or mixes chunks. */
START_TEST(snapshot_travels_in_chunks)
{
    RaftMembers members = members_of(3, 0);
    RaftMembers none = {0};
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    int64_t now;
    Raft *leader = new_leader(&members, &now);
    Raft *fresh = NULL;
    RaftReady ready;
    uint64_t index;
    uint64_t term;
    size_t len;
    size_t chunks = 0;

    options.identity = 3;
    options.snapshot_members = &none;
    ck_assert_int_eq(Raft_New(&options, &fresh, NULL), ST_OK);
    reply(RAFT_MSG_APPEND_REPLY, 3, 2)->index = 5;
    msg.reject = true;
    Raft_Step(leader, now, &msg);
    while (drain(leader, RAFT_MSG_SNAPSHOT) > 0) {
        chunks++;
        ck_assert_uint_le(msg.len, 4);
        ck_assert_int_eq(Raft_Step(fresh, now, &msg), ST_OK);
        ck_assert_int_eq(Raft_Step(fresh, now, &msg), ST_OK); /* repeated */
        Raft_Ready(fresh, &ready);
        /* The cluster is joined, and stored, with the first chunk. */
        ck_assert(ready.cluster_changed == (chunks == 1));
        if (ready.install) {
            break;
        }
        ck_assert_uint_ge(drain(fresh, RAFT_MSG_SNAPSHOT_REPLY), 1);
        Raft_Step(leader, now, &msg);
    }
    ck_assert_uint_eq(chunks, 3);
    ck_assert(ready.install);
    ck_assert_uint_eq(ready.cluster, 9);
    ck_assert_mem_eq(Raft_Snapshot(fresh, &len, &index, &term), "0123456789",
                     10);
    ck_assert_uint_eq(index, 5);
    ck_assert_uint_eq(Raft_MembersNow(fresh)->count, 3);
    Raft_Free(leader);
    Raft_Free(fresh);
}
END_TEST

/* Guards against messages for another identity or from another cluster. */
START_TEST(foreign_messages_are_refused)
{
    RaftMembers members = members_of(3, 0);
    Raft *raft = new_raft(&members);

    reply(RAFT_MSG_APPEND, 2, 5)->cluster = 10;
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_STALE);
    reply(RAFT_MSG_APPEND, 2, 5)->cluster = 0;
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_STALE);
    reply(RAFT_MSG_APPEND, 2, 5)->to = 44;
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_STALE);
    reply(RAFT_MSG_APPEND, SELF, 5);
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_STALE);
    ck_assert_uint_eq(Raft_Term(raft), 1);
    Raft_Free(raft);
}
END_TEST

/* Guards against a new node that never joins because the first append message
 * to it was lost: the leader repeats it only after answered heartbeats. */
START_TEST(new_node_answers_heartbeats)
{
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    Raft *raft = NULL;

    options.identity = SELF;
    options.seed = 3;
    ck_assert_int_eq(Raft_New(&options, &raft, NULL), ST_OK);
    reply(RAFT_MSG_VOTE, 2, 2)->cluster = 9;
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_STALE);
    ck_assert_uint_eq(Raft_Cluster(raft), 0);
    reply(RAFT_MSG_HEARTBEAT, 2, 2)->cluster = 9;
    ck_assert_int_eq(Raft_Step(raft, 1, &msg), ST_OK);
    ck_assert_uint_eq(Raft_Cluster(raft), 9);
    ck_assert_uint_eq(drain(raft, RAFT_MSG_HEARTBEAT_REPLY), 1);
    ck_assert_uint_eq(msg.to, 2);
    ck_assert_uint_eq(msg.index, 0);
    Raft_Free(raft);
}
END_TEST

/* Builds a message of two entries, two members or one chunk, then spoils one
 * field of it. */
typedef enum Spoil {
    NOTHING,
    ENTRY_GAP,
    ENTRY_TERM_FALLS,
    ENTRY_ABOVE_TERM,
    ENTRY_KIND,
    NOOP_WITH_DATA,
    COMMAND_WITHOUT_DATA,
    FROM_NOBODY,
    UNKNOWN_TYPE,
    MEMBER_TWICE,
    MEMBER_WITHOUT_NAME,
    NO_VOTER,
    CHUNK_BEYOND_TOTAL,
    TRAILING_BYTE,
    LAST_BYTE_MISSING,
    SPOILS
} Spoil;

static void
spoil(RaftMsg *made, Spoil what)
{
    RaftMember *second = &made->members.list[1];

    switch (what) {
    case ENTRY_GAP:
        made->entries[1].index++;
        break;
    case ENTRY_TERM_FALLS:
        made->entries[1].term = 1;
        break;
    case ENTRY_ABOVE_TERM:
        made->entries[1].term = 9;
        break;
    case ENTRY_KIND:
        made->entries[1].kind = (RaftEntryKind)3;
        break;
    case NOOP_WITH_DATA:
        made->entries[1].kind = RAFT_NOOP;
        break;
    case COMMAND_WITHOUT_DATA:
        made->entries[1].len = 0;
        break;
    case FROM_NOBODY:
        made->from = 0;
        break;
    case UNKNOWN_TYPE:
        made->type = (RaftMsgType)11;
        break;
    case MEMBER_TWICE:
        second->identity = made->members.list[0].identity;
        break;
    case MEMBER_WITHOUT_NAME:
        second->name[0] = '\0';
        break;
    case NO_VOTER:
        second->voter = made->members.list[0].voter = false;
        break;
    case CHUNK_BEYOND_TOTAL:
        made->offset = 5;
        break;
    default:
        break;
    }
}

/* Guards against a malformed message that is taken in part. */
START_TEST(malformed_messages_are_refused)
{
    Spoil what = (Spoil)_i;
    bool chunk = what >= MEMBER_TWICE && what <= CHUNK_BEYOND_TOTAL;
    RaftMsg *made = reply(chunk ? RAFT_MSG_SNAPSHOT : RAFT_MSG_APPEND, 2, 5);
    static RaftMsg decoded;
    Buf bytes = BUF_INIT;
    size_t i;

    made->index = 10;
    made->log_term = 2;
    made->entry_count = chunk ? 0 : 2;
    for (i = 0; i < made->entry_count; i++) {
        made->entries[i].index = 11 + i;
        made->entries[i].term = 2;
        made->entries[i].kind = RAFT_COMMAND;
        made->entries[i].data = "data";
        made->entries[i].len = 4;
    }
    made->members = members_of(2, 0);
    made->total = 8;
    made->data = "data";
    made->len = 4;
    spoil(made, what);
    RaftMsg_Encode(made, &bytes);
    if (what == TRAILING_BYTE) {
        Buf_Append(&bytes, "\0", 1);
    }
    if (what == LAST_BYTE_MISSING) {
        bytes.len--;
    }
    ck_assert_msg(RaftMsg_Decode(bytes.data, bytes.len, &decoded, NULL) ==
                      (what == NOTHING ? ST_OK : ST_CORRUPT),
                  "case %d", _i);
    Buf_Free(&bytes);
}
END_TEST

/* One member: name, data centre, voter, active, caught up. */
typedef struct PlanMember {
    char name;
    char data_centre;
    bool voter;
    bool active;
    bool caught_up;
} PlanMember;

typedef struct PlanCase {
    PlanMember members[7]; /* identities 1 and on; 1 is the leader */
    size_t voters;
    struct {
        uint64_t identity;
        char name;
        char data_centre;
    } offers[3];
    uint64_t changed; /* 0: no change */
    int effect;       /* -1 removed, 0 learner, 1 voter */
} PlanCase;

/* Guards against changes that lose a quorum, never end or crowd voters into
 * one data centre. */
static const PlanCase plan_cases[] = {
    /* Nothing to do. */
    {{{'a', 'x', 1, 1, 1}}, 3, {{0}}, 0, 0},
    /* A new node is a learner first. */
    {{{'a', 'x', 1, 1, 1}}, 3, {{5, 'b', 'y'}}, 5, 0},
    /* Promoted only when caught up. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 1, 0}}, 3, {{2, 'b', 'y'}}, 0, 0},
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 1, 1}}, 3, {{2, 'b', 'y'}}, 2, 1},
    /* A silent learner is not promoted. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 0, 0, 1}}, 3, {{2, 'b', 'y'}}, 0, 0},
    /* The data centre without a voter comes first. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'x', 0, 1, 1}, {'c', 'y', 0, 1, 1}},
     3,
     {{0}},
     3,
     1},
    /* Enough voters, evenly spread. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'x', 0, 1, 1}},
     3,
     {{0}},
     0,
     0},
    /* Two more in x than in y: one moves, by a promotion first. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'y', 0, 1, 1}},
     3,
     {{0}},
     4,
     1},
    /* ... and then a demotion, not of the leader. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 1, 1},
      {'d', 'y', 1, 1, 1}},
     3,
     {{0}},
     2,
     0},
    /* Too many voters: the silent one goes. */
    {{{'a', 'x', 1, 1, 1},
      {'b', 'x', 1, 1, 1},
      {'c', 'z', 1, 0, 0},
      {'d', 'y', 1, 1, 1}},
     3,
     {{0}},
     3,
     0},
    /* A lost disk: learner, promotion beyond the target, removal. */
    {{{'a', 'x', 1, 1, 1}, {'b', 'y', 1, 0, 0}, {'c', 'z', 1, 1, 1}},
     3,
     {{9, 'b', 'y'}},
     9,
     0},
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 0, 0},
      {'c', 'z', 1, 1, 1},
      {'b', 'y', 0, 1, 1}},
     3,
     {{4, 'b', 'y'}},
     4,
     1},
    {{{'a', 'x', 1, 1, 1},
      {'b', 'y', 1, 0, 0},
      {'c', 'z', 1, 1, 1},
      {'b', 'y', 1, 1, 1}},
     3,
     {{4, 'b', 'y'}},
     2,
     -1},
    /* The old identity still answers: two nodes with one name. */
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

START_TEST(plan_takes_the_right_step)
{
    const PlanCase *plan = &plan_cases[_i];
    RaftMembers members = {0};
    RaftMembers next;
    RaftMember changed;
    ReplicaHealth health[7];
    ReplicaOffer offers[3] = {{{0}, 0}};
    ReplicaPlanInput input = {&members, health, offers, 0, 1, plan->voters};
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
    for (i = 0; i < 3 && plan->offers[i].identity != 0; i++) {
        offers[i].member.identity = plan->offers[i].identity;
        offers[i].member.name[0] = plan->offers[i].name;
        offers[i].member.data_centre[0] = plan->offers[i].data_centre;
        input.offer_count++;
    }
    found = ReplicaPlan_Next(&input, &next, &reason, &changed);
    ck_assert_msg(found == (plan->changed != 0), "case %d", _i);
    if (found) {
        ck_assert_uint_eq(changed.identity, plan->changed);
        after = RaftMembers_Find(&next, plan->changed);
        ck_assert_msg((after == NULL ? -1 : after->voter) == plan->effect,
                      "case %d", _i);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("raft");
    TCase *tcase = tcase_create("raft");

    tcase_add_test(tcase, only_voters_elect);
    tcase_add_test(tcase, votes_follow_the_rules);
    tcase_add_loop_test(tcase, read_needs_a_round_of_its_own, 0, 2);
    tcase_add_test(tcase, old_terms_commit_only_with_the_own_term);
    tcase_add_test(tcase, members_change_one_by_one);
    tcase_add_test(tcase, lost_member_change_is_undone);
    tcase_add_test(tcase, messages_in_flight_are_bounded);
    tcase_add_test(tcase, restarted_voter_is_matched_again);
    tcase_add_test(tcase, snapshot_travels_in_chunks);
    tcase_add_test(tcase, foreign_messages_are_refused);
    tcase_add_test(tcase, new_node_answers_heartbeats);
    tcase_add_loop_test(tcase, malformed_messages_are_refused, 0, SPOILS);
    tcase_add_loop_test(tcase, plan_takes_the_right_step, 0,
                        sizeof(plan_cases) / sizeof(plan_cases[0]));
    suite_add_tcase(suite, tcase);
    return suite;
}
