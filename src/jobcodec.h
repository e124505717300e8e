/*
 * NAME
 *     jobcodec - jobs and configurations as msgpack, for log and snapshot
 *
 * DESCRIPTION
 *     Decoders check every bound and return false for bytes that the encoder
 *     did not write; what they stored until then is freed by the matching
 *     free function. Encoders take a packer that writes to a Buf.
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

/* Returns the tasks of one occurrence. */
uint32_t JobSpec_TaskCount(const JobSpec *spec);

/* Returns NULL, or why the specification is refused. */
const char *JobSpec_Check(const JobSpec *spec);

void JobCodec_PackConfig(msgpack_packer *packer, const JobConfig *config);
bool JobCodec_ReadConfig(MpRead *reader, JobConfig *config);
void JobConfig_Free(JobConfig *config);
/* Checks a whole configuration and reports every finding. */
void JobConfig_Check(const JobConfig *config, Findings *findings);

const JobQueue *JobConfig_Queue(const JobConfig *config, const char *name);
const JobPool *JobConfig_Pool(const JobConfig *config, const char *name);

/* Returns the queue of a host and the longest prefix that path begins with,
 * or NULL. */
const JobQueue *JobConfig_Match(const JobConfig *config, const char *host,
                                const char *path);

void JobCodec_PackAnnouncement(msgpack_packer *packer,
                               const JobAnnouncement *announcement);
bool JobCodec_ReadAnnouncement(MpRead *reader, JobAnnouncement *announcement);

void JobCodec_PackTask(msgpack_packer *packer, const JobTaskRef *task);
bool JobCodec_ReadTask(MpRead *reader, JobTaskRef *task);

#endif
