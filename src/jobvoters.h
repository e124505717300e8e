/*
 * NAME
 *     jobvoters - the voters and their votes as text of log lines
 *
 * DESCRIPTION
 *     Core without I/O. A voter is an identity, that is, a data folder. A node
 *     that lost its folder returns under its name with a new identity, which
 *     is no voter until the members change.
 *
 *     A list of voters is a text of NAME/IDENTITY=STATE items separated by
 *     spaces, with the identity in hexadecimal digits. The name of an identity
 *     that is not a member is "?".
 */
#ifndef COLTSFOOT_JOBVOTERS_H
#define COLTSFOOT_JOBVOTERS_H

#include "buf.h"
#include "raft.h"

/* A node, this one included, as last seen by this one. */
typedef struct JobVoterNode {
    const char *name;
    uint64_t identity; /* 0 for a node without a data folder */
    bool up;
} JobVoterNode;

typedef enum JobVoterState {
    JOB_VOTER_UP,
    JOB_VOTER_DOWN,
    JOB_VOTER_REPLACED, /* its node now has another identity */
    JOB_VOTER_ABSENT    /* no node with its identity or name was seen */
} JobVoterState;

JobVoterState JobVoters_GetState(const RaftMember *voter,
                                 const JobVoterNode *nodes, size_t count);

/* Returns the number of voters in the state JOB_VOTER_UP. */
size_t JobVoters_CountUp(const RaftMembers *members, const JobVoterNode *nodes,
                         size_t count);

/* Returns whether two member lists, sorted by identity, have the same
 * voters. */
bool JobVoters_AreEqual(const RaftMembers *a, const RaftMembers *b);

/* Appends the voters with their states: up, down, replaced or absent. */
void JobVoters_Describe(const RaftMembers *members, const JobVoterNode *nodes,
                        size_t count, Buf *out);

/* Appends the voters of an election with their votes: granted, refused or
 * silent. */
void JobVoters_DescribeBallots(const RaftEvent *event,
                               const RaftMembers *members, Buf *out);

/* What the leader knows of a voter's log. */
typedef struct JobVoterLog {
    uint64_t identity;
    uint64_t match;         /* last entry known to be synced there */
    int64_t contact_age_ms; /* time since its last reply */
} JobVoterLog;

/* Appends the voters of logs with their last entries and the ages of their
 * last replies: MATCH@MS. */
void JobVoters_DescribeLogs(const RaftMembers *members,
                            const JobVoterLog *logs, size_t count, Buf *out);

/* Returns the name of a member, "" for identity 0, or "?". */
const char *JobVoters_GetName(const RaftMembers *members, uint64_t identity);

#endif
