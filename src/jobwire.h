/*
 * NAME
 *     jobwire - HTTP messages of the job service as typed values
 *
 * DESCRIPTION
 *     The job service works on typed requests, replies, calls and answers. A
 *     JobWire is a table of functions that only translate these to and from
 *     the HTTP messages of callers, operators, targets and the VM service. An
 *     adapter to a platform supplies its own table.
 */
#ifndef COLTSFOOT_JOBWIRE_H
#define COLTSFOOT_JOBWIRE_H

#include "buf.h"
#include "findings.h"
#include "job.h"
#include "jobsched.h"
#include "jobstate.h"

/* A received HTTP request. */
typedef struct JobHttpRequest {
    const char *method;
    const char *host; /* Host header without the port */
    const char *path; /* path with the query */
    const char *body;
    size_t body_len;
    const char *key_text; /* value of the header with the caller's key, or
                           * NULL */
} JobHttpRequest;

typedef enum JobRequestKind {
    JOB_REQUEST_NONE, /* request of an unknown kind */
    JOB_REQUEST_SUBMIT,
    JOB_REQUEST_STATE,
    JOB_REQUEST_CANCEL,
    JOB_REQUEST_PENDING,
    JOB_REQUEST_PUT_CONFIG,
    JOB_REQUEST_GET_CONFIG,
    JOB_REQUEST_ANNOUNCE,
    JOB_REQUEST_LEAVE,
    JOB_REQUEST_PUT_WAVE,
    JOB_REQUEST_GET_WAVE
} JobRequestKind;

typedef enum JobRequestError {
    JOB_ERROR_NONE,
    JOB_ERROR_MALFORMED, /* details are in the reason */
    JOB_ERROR_NO_QUEUE   /* no queue matches the host and path */
} JobRequestError;

typedef struct JobRequest {
    JobRequestKind kind;
    JobRequestError error;
    char reason[FINDINGS_REASON_BYTES];
    char id[JOB_NAME_BYTES]; /* id of the job or the target */
    char queue[JOB_NAME_BYTES];
    char key[JOB_KEY_BYTES]; /* the caller's key, or empty; never logged */
    JobSpec spec;
    JobConfig config;
    JobAnnouncement announcement;
    JobWave wave;
} JobRequest;

void JobRequest_Free(JobRequest *request);

typedef enum JobReplyKind {
    JOB_REPLY_OK,
    JOB_REPLY_STATE,     /* state of a job, in phase */
    JOB_REPLY_PENDING,   /* count of pending jobs, in number */
    JOB_REPLY_TEXT,      /* JSON document, in text */
    JOB_REPLY_WAVE,      /* state of a wave, in phase: running or completed */
    JOB_REPLY_ANNOUNCED, /* address for later announcements, in text */
    JOB_REPLY_NOT_FOUND, /* no such queue or resource, with reason */
    JOB_REPLY_DENIED,    /* the caller's key is missing or unknown */
    JOB_REPLY_CONFLICT,  /* the id belongs to another tenant's job */
    JOB_REPLY_GONE,      /* no such job, with reason */
    JOB_REPLY_INVALID,   /* invalid request, with reason */
    JOB_REPLY_TOO_LARGE, /* request exceeds a limit, with reason */
    JOB_REPLY_REJECTED,  /* certainly not accepted, with reason and retry_ms */
    JOB_REPLY_UNAVAILABLE, /* certainly not done, with reason and retry_ms */
    JOB_REPLY_UNKNOWN      /* perhaps carried out; sender may ask or retry */
} JobReplyKind;

typedef struct JobReply {
    JobReplyKind kind;
    JobPhase phase;
    uint64_t number;
    const char *text;
    size_t text_len;
    const char *reason;
    int64_t retry_ms;
} JobReply;

#define JOB_WIRE_MAX_HEADERS 4
#define JOB_WIRE_HEADER_BYTES 96

/* An HTTP call to make. */
typedef struct JobHttpCall {
    const char *method;
    char path[160];
    Buf query; /* appended to the path; empty: none */
    Buf body;
    char header_names[JOB_WIRE_MAX_HEADERS][JOB_WIRE_HEADER_BYTES];
    char header_values[JOB_WIRE_MAX_HEADERS][JOB_WIRE_HEADER_BYTES];
    size_t header_count;
} JobHttpCall;

/* A decoded answer of a target, with the memory that it points to. */
typedef struct JobWireAnswer {
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
    void *memory; /* owner of the texts, or NULL */
    void (*free_memory)(void *memory);
} JobWireAnswer;

/* A VM as the VM service lists it. */
typedef struct JobVm {
    char name[JOB_VM_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    char target[JOB_NAME_BYTES]; /* id of its target, or empty */
    uint32_t cpu;                /* capacity in thousandths of a core */
    bool up;
    bool busy; /* is moving or under maintenance */
    /* Name of a field that cannot be used, or NULL. The VM exists, but gets no
     * order. */
    const char *unusable_field;
} JobVm;

typedef enum JobVmCallKind {
    JOB_VM_LIST,
    JOB_VM_MOVE,
    JOB_VM_MAINTAIN
} JobVmCallKind;

typedef struct JobVmCall {
    JobVmCallKind kind;
    char vm[JOB_VM_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    uint64_t wave;
    char holder[JOB_NAME_BYTES]; /* name of the node that gives the order */
    uint64_t fence;              /* fencing token of the order */
    const char *page; /* token of the list's page, valid until its answer is
                         handled; NULL: the first page */
} JobVmCall;

typedef enum JobVmOutcome {
    JOB_VM_OK,
    JOB_VM_FENCED,
    JOB_VM_BUSY,    /* VM is not up or is leaving */
    JOB_VM_INVALID, /* VM is unknown, or not of this wave or kind */
    JOB_VM_AGAIN,   /* service has too many calls or is unhealthy */
    JOB_VM_NO_ANSWER
} JobVmOutcome;

typedef struct JobVmAnswer {
    JobVmOutcome outcome;
    JobVm *vms;
    size_t vm_count;
    char *next_page;      /* token; NULL: this is the last page */
    size_t unnamed_count; /* rows without a name that can be read */
    const char *why; /* with JOB_VM_AGAIN: why it is unreadable, or NULL */
} JobVmAnswer;

typedef struct JobWire {
    /* Decodes a caller's request. The host and path select a queue of the
     * configuration. */
    void (*decode_caller_request)(const JobHttpRequest *http,
                                  const JobConfig *config,
                                  JobRequest *request);
    /* Returns the kind of an operator's or a target's request without reading
     * its body. */
    JobRequestKind (*get_control_kind)(const char *method, const char *path);
    /* Decodes an operator's or a target's request. */
    void (*decode_control_request)(const JobHttpRequest *http,
                                   JobRequest *request);
    /* Reads the limits for callers from the text of a configuration. */
    void (*decode_client_limits)(const char *text, size_t len,
                                 JobClientLimits *limits);
    /* Appends the body of a reply and returns its HTTP status. */
    int (*encode_reply)(JobRequestKind kind, const JobReply *reply, Buf *body);
    void (*encode_target_call)(const JobAction *action, JobHttpCall *call);
    /* Decodes the answer to a call. status is 0 if no answer arrived. */
    void (*decode_target_answer)(const JobAction *action, int status,
                                 const char *body, size_t len,
                                 JobWireAnswer *answer);
    void (*encode_vm_call)(const JobVmCall *call, JobHttpCall *http);
    void (*decode_vm_answer)(const JobVmCall *call, int status,
                             const char *body, size_t len,
                             JobVmAnswer *answer);
    const char *ready_path; /* path of the readiness check */
    const char *key_header; /* name of the header with a caller's key */
} JobWire;

void JobWireAnswer_Free(JobWireAnswer *answer);
void JobVmAnswer_Free(JobVmAnswer *answer);

#endif
