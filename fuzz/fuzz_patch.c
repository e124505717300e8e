/* Parses arbitrary text as a patch. An accepted patch must encode to a command
 * that decodes to the same edits; a refused one must have a finding. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "patch.h"
#include "statecmd.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static void
check_command(const ParsedPatch *patch)
{
    Buf bytes = BUF_INIT;
    StateCmd command;
    size_t i;

    StateCmd_EncodePatch(&bytes, patch);
    require(StateCmd_Decode(bytes.data, bytes.len, &command, NULL) == ST_OK);
    require(command.edit_count == patch->edit_count);
    require(command.base == patch->base);
    for (i = 0; i < patch->edit_count; i++) {
        require(strcmp(command.edits[i].path, patch->edits[i].path) == 0);
        require(strcmp(command.edits[i].value, patch->edits[i].value) == 0);
        require(command.edits[i].is_delete == patch->edits[i].is_delete);
    }
    StateCmd_Free(&command);
    Buf_Free(&bytes);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Findings *findings = Findings_New("patch");
    ParsedPatch *patch = Patch_Parse((const char *)data, size, findings);

    if (patch != NULL) {
        require(Findings_Count(findings) == 0);
        check_command(patch);
    }
    else {
        require(Findings_Count(findings) > 0);
    }
    Patch_Free(patch);
    Findings_Free(findings);
    return 0;
}
