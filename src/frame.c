#include "frame.h"

#include <stdint.h>

Status
Frame_Encode(Buf *out, const void *body, size_t len)
{
    unsigned char header[FRAME_HEADER_BYTES];

    if (len == 0 || len > FRAME_MAX_BYTES) {
        return ST_INVALID;
    }
    header[0] = (unsigned char)(len >> 24);
    header[1] = (unsigned char)(len >> 16);
    header[2] = (unsigned char)(len >> 8);
    header[3] = (unsigned char)len;
    Buf_Append(out, header, sizeof(header));
    Buf_Append(out, body, len);
    return ST_OK;
}

void
Frame_DecoderInit(FrameDecoder *decoder)
{
    decoder->pending = (Buf)BUF_INIT;
    decoder->consumed = 0;
    decoder->max_bytes = FRAME_MAX_BYTES;
}

void
Frame_DecoderFree(FrameDecoder *decoder)
{
    Buf_Free(&decoder->pending);
}

void
Frame_AppendBytes(FrameDecoder *decoder, const void *data, size_t len)
{
    if (decoder->consumed > 0) {
        Buf_Consume(&decoder->pending, decoder->consumed);
        decoder->consumed = 0;
    }
    Buf_Append(&decoder->pending, data, len);
}

Status
Frame_Next(FrameDecoder *decoder, const char **body, size_t *len)
{
    size_t available = decoder->pending.len - decoder->consumed;
    const unsigned char *at;
    size_t size;

    if (available < FRAME_HEADER_BYTES) {
        return ST_AGAIN;
    }
    at = (const unsigned char *)decoder->pending.data + decoder->consumed;
    size = (size_t)at[0] << 24 | (size_t)at[1] << 16 | (size_t)at[2] << 8 |
           (size_t)at[3];
    if (size == 0 || size > decoder->max_bytes) {
        return ST_CORRUPT;
    }
    if (available < FRAME_HEADER_BYTES + size) {
        return ST_AGAIN;
    }
    *body = (const char *)at + FRAME_HEADER_BYTES;
    *len = size;
    decoder->consumed += FRAME_HEADER_BYTES + size;
    return ST_OK;
}
