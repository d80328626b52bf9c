#include "quetzalspindle/ids.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace qs {
namespace {

// "s", then in hexadecimal digits: ip 8, port 4, incarnation 16, sequence 16,
// checksum 8.
constexpr size_t kBodyDigits = 44;
constexpr size_t kChecksumDigits = 8;
constexpr size_t kTextLength = 1 + kBodyDigits + kChecksumDigits;

uint32_t Checksum(std::string_view body) {
  return static_cast<uint32_t>(XXH64(body.data(), body.size(), 0));
}

template <typename T>
bool ParseHex(std::string_view text, T* out) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *out, 16);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string SubmissionId::ToString() const {
  std::array<char, kTextLength + 1> text{};
  std::snprintf(text.data(), text.size(), "s%08x%04x%016llx%016llx", home.ip,
                home.port, static_cast<unsigned long long>(incarnation.value),
                static_cast<unsigned long long>(sequence));
  const uint32_t checksum = Checksum({text.data() + 1, kBodyDigits});
  std::snprintf(text.data() + 1 + kBodyDigits, kChecksumDigits + 1, "%08x",
                checksum);
  return text.data();
}

Result<SubmissionId> SubmissionId::Parse(std::string_view text) {
  const auto malformed = tl::unexpected(make_error_code(Reason::kIdMalformed));
  if (text.size() != kTextLength || text[0] != 's') return malformed;
  const std::string_view body = text.substr(1, kBodyDigits);
  SubmissionId id;
  uint32_t checksum = 0;
  const bool digits_valid =
      ParseHex(body.substr(0, 8), &id.home.ip) &&
      ParseHex(body.substr(8, 4), &id.home.port) &&
      ParseHex(body.substr(12, 16), &id.incarnation.value) &&
      ParseHex(body.substr(28, 16), &id.sequence) &&
      ParseHex(text.substr(1 + kBodyDigits), &checksum);
  if (!digits_valid || checksum != Checksum(body)) return malformed;
  return id;
}

}  // namespace qs
