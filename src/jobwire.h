/*
 * NAME
 *     jobwire - what callers, operators, targets and the VM service speak
 *
 * DESCRIPTION
 *     The job service decides on typed requests and replies. How these look
 *     as HTTP messages is the matter of a wire, a table of functions that
 *     translate in both directions and decide nothing. The product's own wire
 *     is JobWireNative_Get; an adapter to another platform supplies its own.
 */
#ifndef COLTSFOOT_JOBWIRE_H
#define COLTSFOOT_JOBWIRE_H

#include "buf.h"
#include "findings.h"
#include "job.h"
#include "jobsched.h"
#include "jobstate.h"

/* An HTTP request as it arrived. */
typedef struct JobHttpRequest {
    const char *method;
    const char *host; /* without a port */
    const char *path; /* with the query */
    const char *body;
    size_t body_len;
} JobHttpRequest;

typedef enum JobRequestKind {
    JOB_REQUEST_NONE, /* nothing that the wire knows */
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
    JOB_ERROR_MALFORMED, /* the text in reason says what */
    JOB_ERROR_NO_QUEUE
} JobRequestError;

typedef struct JobRequest {
    JobRequestKind kind;
    JobRequestError error;
    char reason[FINDINGS_REASON_BYTES];
    char id[JOB_NAME_BYTES]; /* of the job or the target */
    char queue[JOB_NAME_BYTES];
    JobSpec spec;
    JobConfig config;
    JobAnnouncement announcement;
    JobWave wave;
} JobRequest;

void JobRequest_Free(JobRequest *request);

typedef enum JobReplyKind {
    JOB_REPLY_OK,
    JOB_REPLY_STATE,       /* phase */
    JOB_REPLY_PENDING,     /* number */
    JOB_REPLY_TEXT,        /* text, as JSON */
    JOB_REPLY_WAVE,        /* phase: running or completed */
    JOB_REPLY_HEARD,       /* text: where later announcements should go */
    JOB_REPLY_NOT_FOUND,   /* no such queue or resource */
    JOB_REPLY_GONE,        /* no such job */
    JOB_REPLY_INVALID,     /* reason */
    JOB_REPLY_REJECTED,    /* surely not accepted; reason, retry_ms */
    JOB_REPLY_UNAVAILABLE, /* nothing was done; reason, retry_ms */
    JOB_REPLY_UNKNOWN      /* it may have been done; ask or send it again */
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

#define JOB_WIRE_HEADERS 4
#define JOB_WIRE_HEADER_BYTES 96

/* An HTTP call to be made. */
typedef struct JobHttpCall {
    const char *method;
    char path[160];
    Buf body;
    char header_names[JOB_WIRE_HEADERS][JOB_WIRE_HEADER_BYTES];
    char header_values[JOB_WIRE_HEADERS][JOB_WIRE_HEADER_BYTES];
    size_t header_count;
} JobHttpCall;

/* A decoded answer of a target with the memory that it points to. */
typedef struct JobWireAnswer {
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
    void *memory; /* of the texts */
    void (*free_memory)(void *memory);
} JobWireAnswer;

/* A VM as the VM service lists it. */
typedef struct JobVm {
    char name[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    char target[JOB_NAME_BYTES]; /* id, or empty */
    char data_centre[JOB_NAME_BYTES];
    char rack[JOB_LABEL_BYTES];
    uint32_t cpu; /* thousandths of a core */
    bool up;
    bool busy; /* moving or under maintenance */
} JobVm;

typedef enum JobVmCallKind {
    JOB_VM_LIST,
    JOB_VM_MOVE,
    JOB_VM_MAINTAIN
} JobVmCallKind;

typedef struct JobVmCall {
    JobVmCallKind kind;
    char vm[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    uint64_t wave;
    char holder[JOB_NAME_BYTES];
    uint64_t fence;
    char page[JOB_NAME_BYTES];
} JobVmCall;

typedef enum JobVmOutcome {
    JOB_VM_OK,
    JOB_VM_FENCED,
    JOB_VM_BUSY,    /* not up, or leaving */
    JOB_VM_INVALID, /* no such VM, or not of this wave or kind */
    JOB_VM_AGAIN,   /* too many calls, or the service is not well */
    JOB_VM_NO_ANSWER
} JobVmOutcome;

typedef struct JobVmAnswer {
    JobVmOutcome outcome;
    JobVm *vms;
    size_t vm_count;
    char next_page[JOB_NAME_BYTES];
} JobVmAnswer;

typedef struct JobWire {
    /* Decodes a request of a caller. The path is matched against the queues
     * of the configuration. */
    void (*read_caller)(const JobHttpRequest *http, const JobConfig *config,
                        JobRequest *request);
    /* Decodes a request of an operator or a target. */
    void (*read_control)(const JobHttpRequest *http, JobRequest *request);
    /* Appends the body of a reply and returns the HTTP status. */
    int (*write_reply)(JobRequestKind kind, const JobReply *reply, Buf *body);
    void (*write_call)(const JobAction *action, JobHttpCall *call);
    /* status is 0 when there was no answer. */
    void (*read_call)(const JobAction *action, int status, const char *body,
                      size_t len, JobWireAnswer *answer);
    void (*write_vm_call)(const JobVmCall *call, JobHttpCall *http);
    void (*read_vm_call)(const JobVmCall *call, int status, const char *body,
                         size_t len, JobVmAnswer *answer);
    const char *ready_path;
} JobWire;

void JobWireAnswer_Free(JobWireAnswer *answer);
void JobVmAnswer_Free(JobVmAnswer *answer);

#endif
