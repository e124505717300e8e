/*
 * NAME
 *     raft_core - internal state and functions shared by raft's source files
 */
#ifndef COLTSFOOT_RAFT_CORE_H
#define COLTSFOOT_RAFT_CORE_H

#include "raft.h"
#include "raft_log.h"
#include "rng.h"

#define RAFT_MAX_INFLIGHT_MESSAGES 64
#define RAFT_MAX_READS 1024
/* Limits how much a faulty leader can make a follower store. */
#define RAFT_MAX_SNAPSHOT_BYTES ((uint64_t)256 * 1024 * 1024)

/* How a leader replicates to a peer. */
typedef enum RaftPeerMode {
    RAFT_PEER_PROBE,    /* one message at a time, to find the last match */
    RAFT_PEER_PIPELINE, /* several unacknowledged messages in flight */
    RAFT_PEER_SNAPSHOT  /* a snapshot, one chunk at a time */
} RaftPeerMode;

/* What the leader or candidate knows about another member. */
typedef struct RaftPeer {
    uint64_t identity;
    bool voter;
    RaftPeerMode mode;
    uint64_t match_index;
    uint64_t next_index;
    uint64_t sent_commit_index;
    bool awaiting_reply;        /* a probe or snapshot chunk is unanswered */
    unsigned heartbeat_replies; /* replies since the last probe or chunk */
    /* last entry of each AppendEntries message in flight */
    uint64_t inflight[RAFT_MAX_INFLIGHT_MESSAGES];
    size_t inflight_count;
    uint64_t snapshot_index;
    uint64_t snapshot_offset;
    uint64_t acked_read_round;
    int64_t last_contact_ms;
    bool vote_granted;
    bool vote_rejected;
} RaftPeer;

typedef struct RaftSnapshotData {
    uint64_t index;
    uint64_t term;
    RaftMembers members;
    Buf data;
    uint64_t total; /* length of the whole snapshot while it is received */
    uint64_t checksum;
} RaftSnapshotData;

typedef struct RaftPendingRead {
    uint64_t cookie;
    uint64_t index;
    uint64_t read_round; /* round of heartbeats that confirms the read */
} RaftPendingRead;

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
    int64_t leader_contact_ms;
    RaftLog log;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t persisted_index; /* last durable entry of this node */
    uint64_t written_index;   /* last written entry, possibly not synced */
    /* last entry known to match the log of this term's leader */
    uint64_t leader_match_index;
    uint64_t confirmed_commit_index; /* see Raft_GetConfirmedCommit */
    uint64_t term_start_index;       /* first entry of this leader's term */
    /* last entry when the previous mark was committed, and the time of it */
    uint64_t age_mark_index;
    int64_t age_mark_ms;
    RaftMembers members;
    uint64_t members_index;
    bool self_is_voter;
    RaftPeer peers[RAFT_MAX_MEMBERS]; /* members other than this node */
    size_t peer_count;
    RaftSnapshotData snapshot;
    RaftSnapshotData incoming; /* partially received snapshot */
    bool hard_state_changed;
    bool cluster_changed;
    bool install_snapshot;
    uint64_t truncate_from;
    RaftOutMessage *messages;
    size_t message_count;
    size_t message_capacity;
    uint64_t read_round; /* last round of heartbeats sent to confirm reads */
    RaftPendingRead pending_reads[RAFT_MAX_READS];
    size_t pending_read_count;
    RaftRead completed_reads[RAFT_MAX_READS];
    size_t completed_read_count;
    size_t ready_message_count; /* messages in the last RaftReady */
    size_t ready_read_count;    /* reads in the last RaftReady */
    RaftMsg scratch_message;
    bool election_in_progress; /* its start was recorded, its end not yet */
    bool election_asked;
    RaftEvent events[RAFT_MAX_EVENTS]; /* ring */
    size_t event_first;
    size_t event_count;
    uint64_t dropped_events; /* since the last event that was taken */
};

/* raft.c */
void RaftCore_BecomeFollower(Raft *raft, uint64_t term, uint64_t leader);
size_t RaftCore_GetQuorum(const Raft *raft);
RaftPeer *RaftCore_FindPeer(Raft *raft, uint64_t identity);
const RaftPeer *RaftCore_FindConstPeer(const Raft *raft, uint64_t identity);

/* Initializes raft->scratch_message and returns it. */
RaftMsg *RaftCore_InitMessage(Raft *raft, RaftMsgType type, uint64_t to);
void RaftCore_QueueMessage(Raft *raft, const RaftMsg *msg);

/* Makes the member list of the entry at index the current one. */
void RaftCore_SetMembers(Raft *raft, const RaftMembers *members,
                         uint64_t index);

/* raft_elect.c */
void RaftCore_ResetElectionTimer(Raft *raft);
void RaftCore_StartPreVote(Raft *raft);
void RaftCore_HandleVoteRequest(Raft *raft, const RaftMsg *msg);
void RaftCore_HandleVoteReply(Raft *raft, const RaftMsg *msg);
void RaftCore_HandleTimeoutNow(Raft *raft, const RaftMsg *msg);

/* Returns whether this node leads or has received a message from a leader
 * within the minimum election timeout. Vote requests for a newer term are then
 * ignored, as no election is needed. */
bool RaftCore_HasLeader(const Raft *raft);

/* raft_event.c */
void RaftCore_RecordElectionStart(Raft *raft, bool asked);
/* Does nothing if no election of this node is in progress. */
void RaftCore_RecordElectionEnd(Raft *raft, RaftElectionOutcome outcome);
void RaftCore_RecordVoteAnswer(Raft *raft, const RaftMsg *request,
                               RaftVerdict verdict);
void RaftCore_RecordIgnoredVote(Raft *raft, const RaftMsg *reply);

/* raft_follow.c */
Status RaftCore_HandleAppendEntries(Raft *raft, const RaftMsg *msg);
void RaftCore_HandleHeartbeat(Raft *raft, const RaftMsg *msg);
Status RaftCore_HandleInstallSnapshot(Raft *raft, const RaftMsg *msg);

/* raft_lead.c */
void RaftCore_BecomeLeader(Raft *raft);
void RaftCore_TickLeader(Raft *raft);
void RaftCore_AdvanceCommit(Raft *raft);
void RaftCore_QueueLeaderMessages(Raft *raft);
void RaftCore_HandleAppendReply(Raft *raft, const RaftMsg *msg);
void RaftCore_HandleHeartbeatReply(Raft *raft, const RaftMsg *msg);
void RaftCore_HandleSnapshotReply(Raft *raft, const RaftMsg *msg);

/* Fails all pending reads because leadership is lost. */
void RaftCore_FailReads(Raft *raft);

#endif
