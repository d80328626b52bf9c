#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace qs::test {

// A reader of bytes that come from outside the process. Called with arbitrary
// input; it must neither crash nor accept what it cannot write back.
struct Reader {
  const char* name;
  void (*read)(const uint8_t* data, size_t size);
  // Valid inputs that mutations start from.
  std::vector<std::string> corpus;
};

const std::vector<Reader>& Readers();

}  // namespace qs::test
