/*
 * NAME
 *     common - functions shared by the stand-in programs
 */
#ifndef COLTSFOOT_STANDIN_COMMON_H
#define COLTSFOOT_STANDIN_COMMON_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"

/* Returns the monotonic time in microseconds. */
int64_t Common_NowUs(void);

/* Returns the wall-clock time in milliseconds, which serves as the incarnation
 * of a target. */
int64_t Common_WallClockMs(void);

/* Appends the answer of a target to a request: the text "service/caller/id/"
 * followed by the reversed request body. */
void Common_AppendAnswer(Buf *out, const char *service, const char *caller,
                         const char *id, const char *body, size_t len);

/* Appends received bytes to data, which is a Buf; a libcurl write callback. */
size_t Common_WriteBuf(char *bytes, size_t size, size_t count, void *data);

/* Sends one HTTP request and waits for its answer. body may be NULL. Returns
 * the HTTP status, or 0 if no answer was received. */
long Common_SendHttp(CURL *curl, const char *method, const char *url,
                     const char *body, long timeout_ms, Buf *answer);

#endif
