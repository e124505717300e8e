#include "mppack.h"

#include <string.h>

void
MpPack_Text(msgpack_packer *packer, const char *text)
{
    size_t len = strlen(text);

    msgpack_pack_str(packer, len);
    msgpack_pack_str_body(packer, text, len);
}
