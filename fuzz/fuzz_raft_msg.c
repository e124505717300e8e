#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "raft.h"
#include "raft_msg.h"

/* Guards against messages that crash the decoder or the core, and against a
 * decoder that accepts what the encoder does not write back to the same
 * value. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
step_core(const RaftMsg *msg)
{
    RaftOptions options = RAFT_OPTIONS_DEFAULT;
    RaftMembers members = {0};
    RaftReady ready;
    Raft *raft = NULL;
    RaftMember member = {2, "b", "x", true};

    RaftMembers_Put(&members, &member);
    member.identity = msg->to;
    RaftMembers_Put(&members, &member);
    options.identity = msg->to;
    options.cluster = msg->cluster;
    options.snapshot_members = &members;
    options.base_index = options.snapshot_index = 3;
    options.base_term = options.snapshot_term = 1;
    options.term = 1;
    if (Raft_New(&options, &raft, NULL) != ST_OK) {
        return;
    }
    Raft_Step(raft, 1, msg);
    Raft_Tick(raft, 100000);
    Raft_Step(raft, 100001, msg);
    if (Raft_Ready(raft, &ready)) {
        if (Raft_LastIndex(raft) < Raft_CommitIndex(raft)) {
            abort();
        }
        Raft_Persisted(raft);
        Raft_Sent(raft);
    }
    Raft_Free(raft);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static RaftMsg msg;
    static RaftMsg again;
    Buf first = BUF_INIT;
    Buf second = BUF_INIT;

    if (RaftMsg_Decode((const char *)data, size, &msg, NULL) == ST_OK) {
        RaftMsg_Encode(&msg, &first);
        if (RaftMsg_Decode(first.data, first.len, &again, NULL) != ST_OK) {
            abort();
        }
        RaftMsg_Encode(&again, &second);
        if (first.len != second.len ||
            memcmp(first.data, second.data, first.len) != 0) {
            abort();
        }
        step_core(&msg);
    }
    Buf_Free(&first);
    Buf_Free(&second);
    return 0;
}
