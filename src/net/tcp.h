#pragma once

#include <asio/ip/tcp.hpp>
#include <system_error>

#include "quetzalspindle/address.h"

namespace qs {

asio::ip::tcp::endpoint ToEndpoint(Address address);

// Opens `acceptor` and listens on `address`, even if connections of a former
// process are still in TIME_WAIT there.
std::error_code Listen(asio::ip::tcp::acceptor* acceptor, Address address);

}  // namespace qs
