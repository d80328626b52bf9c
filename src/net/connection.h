#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace qs {

// One TCP connection that carries frames. Not thread-safe: all calls and
// callbacks are made on the thread of its io_context.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using MessageCallback = std::function<void(Message)>;
  using ClosedCallback = std::function<void(std::error_code)>;

  static std::shared_ptr<Connection> Make(asio::ip::tcp::socket socket);

  // Starts reading. `on_closed` is called once if the connection fails or the
  // peer closes it, but not after Close was called.
  void Start(MessageCallback on_message, ClosedCallback on_closed);
  // Queues a frame. Frames that are queued in the same turn of the io_context
  // are sent in one write. The connection fails if more than 128 MiB are
  // unsent.
  void Send(std::string frame);
  void Close();

  // Bytes that were queued and that the socket has not accepted yet.
  size_t unsent_bytes() const { return unsent_bytes_; }

 private:
  explicit Connection(asio::ip::tcp::socket socket);

  void Read();
  void DeliverFrames();
  void Write();
  void Fail(std::error_code error);

  asio::ip::tcp::socket socket_;
  MessageCallback on_message_;
  ClosedCallback on_closed_;
  bool closed_ = false;
  bool writing_ = false;
  bool write_posted_ = false;
  size_t unsent_bytes_ = 0;
  std::vector<uint8_t> input_;  // Buffer of bytes read and not yet delivered.
  size_t input_size_ = 0;       // Number of bytes in use in `input_`.
  std::vector<uint8_t> body_;
  std::vector<std::string> queued_;
  std::vector<std::string> frames_in_write_;
};

// Disables Nagle's algorithm, makes the socket non-blocking and sets the
// keep-alive and user timeouts after which the connection to a silent peer
// fails.
void ConfigureSocket(asio::ip::tcp::socket* socket);

}  // namespace qs
