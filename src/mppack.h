/*
 * NAME
 *     mppack - msgpack values that msgpack-c packs in two calls
 */
#ifndef COLTSFOOT_MPPACK_H
#define COLTSFOOT_MPPACK_H

#include <msgpack.h>

/* Packs a terminated text as a string. */
void MpPack_Text(msgpack_packer *packer, const char *text);

#endif
