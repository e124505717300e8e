/*
 * NAME
 *     mpread - bounded reader of msgpack bytes
 *
 * DESCRIPTION
 *     Reads array headers, strings, byte arrays, integers and booleans in
 *     place. The unpacker of msgpack-c allocates as many objects as an array
 *     header claims before it reads them, so a few malicious bytes can make it
 *     allocate gigabytes; this reader allocates nothing. Every read after a
 *     failed one fails too, so a decoder may check once at the end.
 */
#ifndef COLTSFOOT_MPREAD_H
#define COLTSFOOT_MPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct MpRead {
    const unsigned char *next;
    const unsigned char *end;
    const unsigned char *begin;
    bool failed;
} MpRead;

void MpRead_Init(MpRead *reader, const void *bytes, size_t len);

/* Each of these reads one value. They return false when the next value has
 * another type, is out of range or is truncated. The count of an array never
 * exceeds the number of bytes left. */
bool MpRead_Array(MpRead *reader, uint32_t *count);
bool MpRead_Str(MpRead *reader, const char **text, size_t *len);
bool MpRead_U32(MpRead *reader, uint32_t *value);
bool MpRead_U64(MpRead *reader, uint64_t *value);
bool MpRead_I64(MpRead *reader, int64_t *value);
bool MpRead_Bool(MpRead *reader, bool *value);
bool MpRead_Bin(MpRead *reader, const char **bytes, size_t *len);

/* Copies a string and its terminator into an array of out_bytes. Returns false
 * when the string does not fit or contains a zero byte. */
bool MpRead_Text(MpRead *reader, char *out, size_t out_bytes);

/* Reads the header of an array. Returns false unless the count is as
 * expected. */
bool MpRead_ArrayOf(MpRead *reader, uint32_t expected);

/* Returns true when all bytes were read and no read failed. */
bool MpRead_Done(const MpRead *reader);

/* Returns the offset of the next byte. */
size_t MpRead_Offset(const MpRead *reader);

#endif
