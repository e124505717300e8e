/*
 * NAME
 *     jobcodec - msgpack encoding of jobs and configurations
 *
 * DESCRIPTION
 *     The encoding is used in the replicated log and in snapshots. Decoders
 *     check all bounds and return false for input that the encoder does not
 *     produce; the caller then frees a partly decoded object with the
 *     matching free function. Encoders take a packer that writes to a Buf.
 */
#ifndef COLTSFOOT_JOBCODEC_H
#define COLTSFOOT_JOBCODEC_H

#include <msgpack.h>

#include "findings.h"
#include "job.h"
#include "mpread.h"

void JobCodec_PackSpec(msgpack_packer *packer, const JobSpec *spec);
bool JobCodec_ReadSpec(MpRead *reader, JobSpec *spec);
void JobSpec_Free(JobSpec *spec);

/* Returns the number of tasks in one occurrence. */
uint32_t JobSpec_CountTasks(const JobSpec *spec);

/* Returns NULL if the specification is valid, otherwise the reason why it is
 * not. */
const char *JobSpec_Check(const JobSpec *spec);

void JobCodec_PackConfig(msgpack_packer *packer, const JobConfig *config);
bool JobCodec_ReadConfig(MpRead *reader, JobConfig *config);
void JobConfig_Free(JobConfig *config);
/* Adds every fault of a configuration to findings. */
void JobConfig_Check(const JobConfig *config, Findings *findings);

const JobQueue *JobConfig_FindQueue(const JobConfig *config, const char *name);
const JobPool *JobConfig_FindPool(const JobConfig *config, const char *name);
const JobTenant *JobConfig_FindTenant(const JobConfig *config,
                                      const char *name);

/* Returns the queue of a host with the longest prefix of path, or NULL. */
const JobQueue *JobConfig_MatchQueue(const JobConfig *config, const char *host,
                                     const char *path);

void JobCodec_PackAnnouncement(msgpack_packer *packer,
                               const JobAnnouncement *announcement);
bool JobCodec_ReadAnnouncement(MpRead *reader, JobAnnouncement *announcement);

void JobCodec_PackTerms(msgpack_packer *packer, const JobTerms *terms);
bool JobCodec_ReadTerms(MpRead *reader, JobTerms *terms);

void JobCodec_PackTaskRef(msgpack_packer *packer, const JobTaskRef *task);
bool JobCodec_ReadTaskRef(MpRead *reader, JobTaskRef *task);

#endif
