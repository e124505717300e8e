/*
 * NAME
 *     reader - decoders that check once, at the end
 *
 * DESCRIPTION
 *     Returns values in place of results over mpread. The first mismatch sets
 *     failed; every later call then returns zero. Byte arrays borrow the
 * input.
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

/* Reads an array header of at most max items. */
size_t Reader_Array(Reader *reader, size_t max);

/* Reads an array header of exactly count items. */
void Reader_ArrayOf(Reader *reader, size_t count);

uint64_t Reader_Unsigned(Reader *reader);
bool Reader_Bool(Reader *reader);

/* Reads a byte array of at most max bytes. */
const char *Reader_Bin(Reader *reader, size_t max, size_t *len);

/* Copies a non-empty string without zero bytes into text of size bytes. */
void Reader_Name(Reader *reader, char *text, size_t size);

/* Marks the input as bad. */
void Reader_Fail(Reader *reader);

/* Returns whether everything was read and nothing failed. */
bool Reader_Done(const Reader *reader);

#endif
