/*
 * NAME
 *     raft_core - the inside of raft, shared by its source files
 */
#ifndef COLTSFOOT_RAFT_CORE_H
#define COLTSFOOT_RAFT_CORE_H

#include "raft.h"
#include "raft_log.h"
#include "rng.h"

#define RAFT_MAX_INFLIGHT 64
#define RAFT_MAX_READS 1024
/* Bounds what a faulty leader can make a follower store. */
#define RAFT_MAX_SNAPSHOT_BYTES ((uint64_t)256 * 1024 * 1024)

/* What a leader knows about another member. */
typedef enum RaftPeerMode {
    RAFT_PROBE,   /* looking for the last matching entry, one message a time */
    RAFT_STREAM,  /* sending ahead of the acknowledgements */
    RAFT_TRANSFER /* sending a snapshot, one chunk a time */
} RaftPeerMode;

typedef struct RaftPeer {
    uint64_t identity;
    bool voter;
    RaftPeerMode mode;
    uint64_t match;
    uint64_t next;
    uint64_t commit_sent;
    bool waiting;    /* a probe or chunk has no answer yet */
    unsigned stalls; /* heartbeat answers since then */
    uint64_t inflight[RAFT_MAX_INFLIGHT]; /* last index of each message */
    size_t inflight_count;
    uint64_t transfer_index;
    uint64_t transfer_offset;
    uint64_t acked_round;
    int64_t heard_ms;
    bool granted;
    bool refused;
} RaftPeer;

typedef struct RaftSnapshotData {
    uint64_t index;
    uint64_t term;
    RaftMembers members;
    Buf data;
    uint64_t total;
    uint64_t sum;
} RaftSnapshotData;

typedef struct RaftWaitingRead {
    uint64_t cookie;
    uint64_t index;
    uint64_t round;
} RaftWaitingRead;

struct Raft {
    RaftOptions options;
    Rng rng;
    int64_t now_ms;
    uint64_t cluster;
    uint64_t term;
    uint64_t vote;
    uint64_t leader;
    RaftRole role;
    int64_t election_due_ms;
    int64_t heartbeat_due_ms;
    int64_t leader_heard_ms;
    RaftLog log;
    uint64_t commit;
    uint64_t applied;
    uint64_t persisted;  /* last entry that is durable here */
    uint64_t written;    /* last entry that was handed to the disk */
    uint64_t verified;   /* last entry known to match this term's leader */
    uint64_t confirmed;  /* see Raft_ConfirmedCommit */
    uint64_t term_start; /* leader: its first entry */
    RaftMembers members;
    uint64_t members_index;
    bool self_voter;
    RaftPeer peers[RAFT_MAX_MEMBERS]; /* all members but this one */
    size_t peer_count;
    RaftSnapshotData snapshot;
    RaftSnapshotData incoming;
    bool vote_dirty;
    bool cluster_dirty;
    bool install;
    uint64_t truncate_from;
    RaftOut *out;
    size_t out_count;
    size_t out_capacity;
    uint64_t round; /* last read round sent with heartbeats */
    RaftWaitingRead waiting[RAFT_MAX_READS];
    size_t waiting_count;
    RaftRead reads[RAFT_MAX_READS];
    size_t read_count;
    size_t out_ready; /* how many of them the last ready held */
    size_t read_ready;
    RaftMsg scratch;
};

/* raft.c */
void RaftCore_Follow(Raft *raft, uint64_t term, uint64_t leader);
size_t RaftCore_Quorum(const Raft *raft);
RaftPeer *RaftCore_Peer(Raft *raft, uint64_t identity);
const RaftPeer *RaftCore_ConstPeer(const Raft *raft, uint64_t identity);

/* Prepares a message in raft->scratch. */
RaftMsg *RaftCore_Message(Raft *raft, RaftMsgType type, uint64_t to);
void RaftCore_Send(Raft *raft, const RaftMsg *msg);

/* Puts the member list of the entry at index in force. */
void RaftCore_SetMembers(Raft *raft, const RaftMembers *members,
                         uint64_t index);

/* raft_elect.c */
void RaftCore_ResetElection(Raft *raft);
void RaftCore_Campaign(Raft *raft);
void RaftCore_OnVoteRequest(Raft *raft, const RaftMsg *msg);
void RaftCore_OnVoteReply(Raft *raft, const RaftMsg *msg);

/* Returns whether a leader was heard from within the shortest election
 * timeout, so that nobody has a reason to be elected. */
bool RaftCore_HasLeader(const Raft *raft);

/* raft_follow.c */
Status RaftCore_OnAppend(Raft *raft, const RaftMsg *msg);
void RaftCore_OnHeartbeat(Raft *raft, const RaftMsg *msg);
Status RaftCore_OnSnapshot(Raft *raft, const RaftMsg *msg);

/* raft_lead.c */
void RaftCore_Lead(Raft *raft);
void RaftCore_LeaderTick(Raft *raft);
void RaftCore_AdvanceCommit(Raft *raft);
void RaftCore_FillOutbox(Raft *raft);
void RaftCore_OnAppendReply(Raft *raft, const RaftMsg *msg);
void RaftCore_OnHeartbeatReply(Raft *raft, const RaftMsg *msg);
void RaftCore_OnSnapshotReply(Raft *raft, const RaftMsg *msg);

/* Answers all reads that wait for a round with "leadership lost". */
void RaftCore_DropReads(Raft *raft);

#endif
