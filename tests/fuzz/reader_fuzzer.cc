// libFuzzer entry point; run with `make fuzz`.
#include "reader_target.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    run_reader_target(data, size);
    return 0;
}
