/*
 * NAME
 *     frame - length-prefixed frames between coltsfootd processes
 *
 * DESCRIPTION
 *     A frame is a 4-byte big-endian body length and a body of 1 to
 *     FRAME_MAX_BYTES bytes. The decoder accepts the bytes of a stream in
 *     pieces of any size.
 */
#ifndef COLTSFOOT_FRAME_H
#define COLTSFOOT_FRAME_H

#include <stddef.h>

#include "buf.h"
#include "status.h"

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (4 * 1024 * 1024)

typedef struct FrameDecoder {
    Buf pending;
    size_t consumed;  /* bytes of pending already returned as frames */
    size_t max_bytes; /* longest accepted body; FRAME_MAX_BYTES at first */
} FrameDecoder;

/* Appends one frame to out. Returns ST_INVALID for a body length out of
 * bounds. */
Status Frame_Encode(Buf *out, const void *body, size_t len);

void Frame_DecoderInit(FrameDecoder *decoder);
void Frame_DecoderFree(FrameDecoder *decoder);

/* Appends received bytes. Invalidates all bodies returned so far. */
void Frame_AppendBytes(FrameDecoder *decoder, const void *data, size_t len);

/* Returns ST_OK with the next body, valid until the next
 * Frame_AppendBytes; ST_AGAIN while no frame is complete; ST_CORRUPT for a
 * length out of bounds, after which the connection has to be closed. */
Status Frame_Next(FrameDecoder *decoder, const char **body, size_t *len);

#endif
