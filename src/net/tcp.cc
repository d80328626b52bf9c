#include "net/tcp.h"

namespace qs {

using asio::ip::tcp;

tcp::endpoint ToEndpoint(Address address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

std::error_code Listen(tcp::acceptor* acceptor, Address address) {
  const tcp::endpoint endpoint = ToEndpoint(address);
  std::error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) {
    acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) acceptor->bind(endpoint, error);
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

}  // namespace qs
