#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "quetzalspindle/result.h"

namespace qs {

// An IPv4 address and port.
struct Address {
  uint32_t ip = 0;  // Host byte order.
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  // Accepts "a.b.c.d:port" with a port of 1 to 65535.
  static Result<Address> Parse(std::string_view text);
  std::string ToString() const;
  std::string Host() const;
};

}  // namespace qs

template <>
struct std::hash<qs::Address> {
  size_t operator()(const qs::Address& address) const noexcept {
    return std::hash<uint64_t>()((uint64_t{address.ip} << 16) | address.port);
  }
};
