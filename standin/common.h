/*
 * NAME
 *     common - helpers shared by the stand-in programs
 */
#ifndef COLTSFOOT_STANDIN_COMMON_H
#define COLTSFOOT_STANDIN_COMMON_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"

/* Returns the monotonic time in microseconds. */
int64_t Common_NowUs(void);

/* Returns the wall-clock time in milliseconds, for incarnations. */
int64_t Common_WallMs(void);

/* Appends the answer that a target computes for a request: the text
 * "service/caller/id/" and the reversed request body. */
void Common_Answer(Buf *out, const char *service, const char *caller,
                   const char *id, const char *body, size_t len);

/* A libcurl write function; data is a Buf. */
size_t Common_WriteBuf(char *bytes, size_t size, size_t count, void *data);

/* Sends one blocking request. body may be NULL. Returns the HTTP status, or
 * 0 when no answer came. */
long Common_Http(CURL *curl, const char *method, const char *url,
                 const char *body, long timeout_ms, Buf *answer);

#endif
