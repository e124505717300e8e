/*
 * NAME
 *     mppack - helpers for packing msgpack values
 */
#ifndef COLTSFOOT_MPPACK_H
#define COLTSFOOT_MPPACK_H

#include <msgpack.h>

/* Packs a terminated string. msgpack-c needs two calls for it, one for the
 * header and one for the bytes. */
void MpPack_Text(msgpack_packer *packer, const char *text);

#endif
