/*
 * NAME
 *     reader - msgpack reader for decoders that check for errors at the end
 *
 * DESCRIPTION
 *     Wraps mpread with functions that return the value itself. The first
 *     failure sets failed; that call and every later one return zero.
 *     Returned byte arrays point into the input.
 */
#ifndef COLTSFOOT_READER_H
#define COLTSFOOT_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mpread.h"

typedef struct Reader {
    MpRead in;
    bool failed;
} Reader;

void Reader_Init(Reader *reader, const char *bytes, size_t len);

/* Returns the count of an array header; more than max items is a failure. */
size_t Reader_Array(Reader *reader, size_t max);

/* Reads an array header; a different count is a failure. */
void Reader_ArrayOf(Reader *reader, size_t count);

uint64_t Reader_Unsigned(Reader *reader);
bool Reader_Bool(Reader *reader);

/* Returns a byte array and sets *len; more than max bytes is a failure. */
const char *Reader_Bin(Reader *reader, size_t max, size_t *len);

/* Copies a string into text, an array of size bytes. A string that is empty,
 * too long or contains a zero byte is a failure. */
void Reader_Name(Reader *reader, char *text, size_t size);

/* Marks the input as invalid. */
void Reader_Fail(Reader *reader);

/* Returns true when all input was read and no read failed. */
bool Reader_Done(const Reader *reader);

#endif
