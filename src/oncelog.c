#include "oncelog.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "buf.h"
#include "diag.h"
#include "loop.h"
#include "mem.h"
#include "once.h"

#define ONCELOG_LOG_PREFIX "once"
#define ONCELOG_FILE_PREFIX "once-"
#define ONCELOG_FILE_NAME_BYTES 64
#define ONCELOG_MAX_FILES 64
#define ONCELOG_ROTATE_CHECK_MS 1000

typedef struct LogFile {
    uint64_t number;
    int64_t last_append_ms;
} LogFile;

struct OnceLog {
    OnceLogOptions options;
    apr_pool_t *pool;
    apr_thread_mutex_t *mutex; /* guards pending, cookies and failed */
    apr_thread_t *thread;
    Loop *loop;
    LoopTimer *timer;
    Buf pending;
    uint64_t *cookies;
    size_t cookie_count;
    size_t cookie_capacity;
    bool failed;
    LogFile files[ONCELOG_MAX_FILES]; /* ordered by number; records are
                                       * appended to the last one */
    size_t file_count;
    int64_t opened_ms; /* time at which the last file was added */
};

static void
format_file_name(uint64_t number, char *name)
{
    snprintf(name, ONCELOG_FILE_NAME_BYTES,
             ONCELOG_FILE_PREFIX "%010" PRIu64 ".log", number);
}

static void
add_file(void *arg, const char *name)
{
    OnceLog *log = arg;
    char expected[ONCELOG_FILE_NAME_BYTES];
    uint64_t number;

    if (strncmp(name, ONCELOG_FILE_PREFIX, sizeof(ONCELOG_FILE_PREFIX) - 1) !=
        0) {
        return;
    }
    number = strtoull(name + sizeof(ONCELOG_FILE_PREFIX) - 1, NULL, 10);
    format_file_name(number, expected);
    if (strcmp(name, expected) == 0 && log->file_count < ONCELOG_MAX_FILES) {
        log->files[log->file_count++] = (LogFile){number, Loop_NowMs()};
    }
}

static int
compare_files(const void *a, const void *b)
{
    const LogFile *left = a;
    const LogFile *right = b;

    return (left->number > right->number) - (left->number < right->number);
}

/* Recovers the records of a file. Those of the last file are written once
 * more, since the last process may not have synced them. */
static Status
recover_file(OnceLog *log, const LogFile *file, bool is_last, ErrCtx *err)
{
    const OnceLogOptions *options = &log->options;
    char name[ONCELOG_FILE_NAME_BYTES];
    Buf bytes = BUF_INIT;
    size_t valid_bytes = 0;
    Status status;

    format_file_name(file->number, name);
    status = Storage_Read(options->storage, name, &bytes, err);
    if (status == ST_OK) {
        status = options->recover(options->arg, name,
                                  bytes.data != NULL ? bytes.data : "",
                                  bytes.len, &valid_bytes, err);
    }
    if (status == ST_OK && valid_bytes < bytes.len) {
        Diag_Log(DIAG_WARNING, ONCELOG_LOG_PREFIX,
                 "Incomplete record at offset %zu of %s; truncating the file.",
                 valid_bytes, name);
        status = Storage_Truncate(options->storage, name, valid_bytes, err);
    }
    if (status == ST_OK && is_last && valid_bytes > 0) {
        status = Storage_Rewrite(options->storage, name, 0, bytes.data,
                                 valid_bytes, err);
    }
    Buf_Free(&bytes);
    return status;
}

static Status
recover_files(OnceLog *log, ErrCtx *err)
{
    uint64_t next = 1;
    size_t i;
    Status status = Storage_List(log->options.storage, add_file, log, err);

    qsort(log->files, log->file_count, sizeof(log->files[0]), compare_files);
    for (i = 0; status == ST_OK && i < log->file_count; i++) {
        status =
            recover_file(log, &log->files[i], i + 1 == log->file_count, err);
        next = log->files[i].number + 1;
    }
    if (status == ST_OK && log->file_count == ONCELOG_MAX_FILES) {
        status = Err_Set(err, ST_FULL, "more than %d record files",
                         ONCELOG_MAX_FILES - 1);
    }
    if (status == ST_OK) {
        log->files[log->file_count++] = (LogFile){next, Loop_NowMs()};
        log->opened_ms = Loop_NowMs();
    }
    return status;
}

/* Moves the queued records and their cookies to the caller. Returns the number
 * of cookies. */
static size_t
take_pending(OnceLog *log, Buf *bytes, uint64_t **cookies)
{
    size_t count;

    apr_thread_mutex_lock(log->mutex);
    *bytes = log->pending;
    *cookies = log->cookies;
    count = log->cookie_count;
    log->pending = (Buf)BUF_INIT;
    log->cookies = NULL;
    log->cookie_count = 0;
    log->cookie_capacity = 0;
    apr_thread_mutex_unlock(log->mutex);
    return count;
}

static bool
append_and_sync(OnceLog *log, const Buf *bytes)
{
    LogFile *file = &log->files[log->file_count - 1];
    char name[ONCELOG_FILE_NAME_BYTES];
    ErrCtx err = {0};

    if (log->failed) {
        return false;
    }
    format_file_name(file->number, name);
    if (Storage_Append(log->options.storage, name, bytes->data, bytes->len,
                       &err) != ST_OK ||
        Storage_Sync(log->options.storage, name, &err) != ST_OK) {
        Diag_Log(DIAG_ERROR, ONCELOG_LOG_PREFIX,
                 "Record log failed; no more records are written: %s.",
                 err.message);
        apr_thread_mutex_lock(log->mutex);
        log->failed = true;
        apr_thread_mutex_unlock(log->mutex);
        return false;
    }
    file->last_append_ms = Loop_NowMs();
    return true;
}

static bool
write_pending(void *arg)
{
    OnceLog *log = arg;
    Buf bytes = BUF_INIT;
    uint64_t *cookies;
    size_t count = take_pending(log, &bytes, &cookies);
    size_t i;
    bool had_pending = bytes.len > 0;

    if (had_pending) {
        bool ok = append_and_sync(log, &bytes);
        for (i = 0; i < count; i++) {
            log->options.done(log->options.arg, cookies[i], ok);
        }
    }
    Buf_Free(&bytes);
    free(cookies);
    return had_pending;
}

static void
delete_oldest_file(OnceLog *log)
{
    char name[ONCELOG_FILE_NAME_BYTES];
    ErrCtx err = {0};

    format_file_name(log->files[0].number, name);
    if (Storage_Remove(log->options.storage, name, &err) != ST_OK &&
        err.status != ST_NOT_FOUND) {
        Diag_Log(DIAG_WARNING, ONCELOG_LOG_PREFIX, "Cannot delete %s: %s.",
                 name, err.message);
    }
    log->file_count--;
    memmove(log->files, log->files + 1,
            log->file_count * sizeof(log->files[0]));
}

static void
rotate_files(void *arg)
{
    OnceLog *log = arg;
    int64_t now_ms = Loop_NowMs();

    while (log->file_count > 1 &&
           now_ms - log->files[0].last_append_ms > ONCE_DEFAULT_RETENTION_MS) {
        delete_oldest_file(log);
    }
    if (now_ms - log->opened_ms > ONCE_DEFAULT_RETENTION_MS &&
        log->file_count < ONCELOG_MAX_FILES) {
        uint64_t next = log->files[log->file_count - 1].number + 1;
        log->files[log->file_count++] = (LogFile){next, now_ms};
        log->opened_ms = now_ms;
    }
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *arg)
{
    OnceLog *log = arg;

    (void)thread;
    Loop_Run(log->loop);
    write_pending(log);
    return NULL;
}

Status
OnceLog_New(const OnceLogOptions *options, OnceLog **out, ErrCtx *err)
{
    OnceLog *log = calloc(1, sizeof(*log));
    Status status;

    if (log == NULL || apr_pool_create(&log->pool, NULL) != APR_SUCCESS) {
        free(log);
        return Err_Set(err, ST_NO_MEMORY, "no memory for the record log");
    }
    log->options = *options;
    apr_thread_mutex_create(&log->mutex, APR_THREAD_MUTEX_DEFAULT, log->pool);
    log->loop = Loop_New(err);
    status = log->loop != NULL ? recover_files(log, err) : ST_IO;
    if (status == ST_OK) {
        log->timer = Loop_NewTimer(log->loop, rotate_files, log);
        Loop_Arm(log->timer, ONCELOG_ROTATE_CHECK_MS, ONCELOG_ROTATE_CHECK_MS);
        Loop_AddPrepareHook(log->loop, write_pending, log);
        if (apr_thread_create(&log->thread, NULL, run_thread, log,
                              log->pool) != APR_SUCCESS) {
            status = Err_Set(err, ST_IO,
                             "the record log thread cannot "
                             "be started");
        }
    }
    if (status != ST_OK) {
        OnceLog_Free(log);
        return status;
    }
    *out = log;
    return ST_OK;
}

static void
add_cookie(OnceLog *log, uint64_t cookie)
{
    if (cookie == 0) {
        return;
    }
    if (log->cookie_count == log->cookie_capacity) {
        size_t capacity = log->cookie_capacity ? log->cookie_capacity * 2 : 64;
        log->cookies =
            Mem_Resize(log->cookies, capacity * sizeof(*log->cookies));
        log->cookie_capacity = capacity;
    }
    log->cookies[log->cookie_count++] = cookie;
}

/* Does nothing: posting it wakes the loop, which then calls write_pending. */
static void
wake_loop(void *arg)
{
    (void)arg;
}

Status
OnceLog_Append(OnceLog *log, uint64_t cookie, const char *record, size_t len)
{
    bool was_empty;

    apr_thread_mutex_lock(log->mutex);
    if (log->failed) {
        apr_thread_mutex_unlock(log->mutex);
        return ST_IO;
    }
    was_empty = log->pending.len == 0;
    Buf_Append(&log->pending, record, len);
    add_cookie(log, cookie);
    apr_thread_mutex_unlock(log->mutex);
    if (was_empty) {
        Loop_Post(log->loop, wake_loop, NULL);
    }
    return ST_OK;
}

Status
OnceLog_GetFailure(OnceLog *log)
{
    bool failed;

    apr_thread_mutex_lock(log->mutex);
    failed = log->failed;
    apr_thread_mutex_unlock(log->mutex);
    return failed ? ST_IO : ST_OK;
}

void
OnceLog_Free(OnceLog *log)
{
    apr_status_t result;

    if (log == NULL) {
        return;
    }
    if (log->thread != NULL) {
        Loop_Stop(log->loop);
        apr_thread_join(&result, log->thread);
    }
    Storage_Close(log->options.storage);
    Loop_Free(log->loop);
    Buf_Free(&log->pending);
    free(log->cookies);
    apr_pool_destroy(log->pool);
    free(log);
}
