#include "quetzalspindle/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace qs {

Result<Address> Address::Parse(std::string_view text) {
  const auto invalid = [] {
    return tl::unexpected(std::make_error_code(std::errc::invalid_argument));
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  in_addr ip{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) !=
      1) {
    return invalid();
  }
  const std::string_view port_text = text.substr(colon + 1);
  uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return invalid();
  }
  return Address{ntohl(ip.s_addr), port};
}

std::string Address::Host() const {
  in_addr raw{};
  raw.s_addr = htonl(ip);
  std::array<char, INET_ADDRSTRLEN> buffer{};
  return inet_ntop(AF_INET, &raw, buffer.data(), buffer.size());
}

std::string Address::ToString() const {
  return Host() + ":" + std::to_string(port);
}

}  // namespace qs
