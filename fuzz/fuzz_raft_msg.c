#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "raft.h"
#include "raft_msg.h"

/* Guards against messages that crash the decoder or the core, and against
 * decoded messages that change when they are encoded and decoded again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
handle_message(const RaftMsg *msg)
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
    Raft_HandleMessage(raft, 1, msg);
    Raft_Tick(raft, 100000);
    Raft_HandleMessage(raft, 100001, msg);
    if (Raft_GetReady(raft, &ready)) {
        if (Raft_GetLastIndex(raft) < Raft_GetCommitIndex(raft)) {
            abort();
        }
        Raft_MarkPersisted(raft);
        Raft_DropOutput(raft);
    }
    Raft_Free(raft);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static RaftMsg msg;
    static RaftMsg decoded_again;
    Buf encoded = BUF_INIT;
    Buf encoded_again = BUF_INIT;

    if (RaftMsg_Decode((const char *)data, size, &msg, NULL) == ST_OK) {
        RaftMsg_Encode(&msg, &encoded);
        if (RaftMsg_Decode(encoded.data, encoded.len, &decoded_again, NULL) !=
            ST_OK) {
            abort();
        }
        RaftMsg_Encode(&decoded_again, &encoded_again);
        if (encoded.len != encoded_again.len ||
            memcmp(encoded.data, encoded_again.data, encoded.len) != 0) {
            abort();
        }
        handle_message(&msg);
    }
    Buf_Free(&encoded);
    Buf_Free(&encoded_again);
    return 0;
}
