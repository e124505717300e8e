#include <stdio.h>
#include <stdlib.h>

#include "support_traffic_model.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *error = TrafficModel_Run(data, size);

    if (error != NULL) {
        fprintf(stderr, "fuzz_traffic: rule broken: %s\n", error);
        abort();
    }
    return 0;
}
