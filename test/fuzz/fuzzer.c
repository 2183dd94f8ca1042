#include "fuzz/targets.h"

/**
 * DOC: fuzzer
 *
 * Entry point of libFuzzer. The build sets FUZZ_TARGET to a value of enum
 * fuzz_target.
 */

#ifndef FUZZ_TARGET
#define FUZZ_TARGET FUZZ_FRAME
#endif

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_run(FUZZ_TARGET, data, size);
	return 0;
}
