// Entry point for coverage-guided fuzzers: the first byte chooses the reader.
// Build with -fsanitize=fuzzer,address under clang.

#include "fuzz/readers.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const auto& readers = qs::test::Readers();
  readers[data[0] % readers.size()].read(data + 1, size - 1);
  return 0;
}
