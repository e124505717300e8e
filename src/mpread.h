/*
 * NAME
 *     mpread - bounded reader of msgpack bytes
 *
 * DESCRIPTION
 *     Reads arrays, strings, whole numbers and booleans in place. The
 *     unpacker of msgpack-c allocates as many objects as an array header
 *     claims before it sees them, so a few hostile bytes can take gigabytes;
 *     this reader allocates nothing. The first failure sticks, so a decoder
 *     may check once at the end.
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

/* Each reads one value; false when the next value is of another kind or is
 * cut off. A count of an array never exceeds the bytes that are left. */
bool MpRead_Array(MpRead *reader, uint32_t *count);
bool MpRead_Str(MpRead *reader, const char **text, size_t *len);
bool MpRead_U32(MpRead *reader, uint32_t *value);
bool MpRead_U64(MpRead *reader, uint64_t *value);
bool MpRead_I64(MpRead *reader, int64_t *value);
bool MpRead_Bool(MpRead *reader, bool *value);
bool MpRead_Bin(MpRead *reader, const char **bytes, size_t *len);

/* Reads a string into a terminated array; false when it does not fit or
 * holds a zero byte. */
bool MpRead_Text(MpRead *reader, char *out, size_t out_bytes);

/* Reads the head of an array of exactly this many items. */
bool MpRead_Row(MpRead *reader, uint32_t items);

/* Returns whether all bytes were read without a failure. */
bool MpRead_Done(const MpRead *reader);

/* Returns the offset of the next byte. */
size_t MpRead_Offset(const MpRead *reader);

#endif
