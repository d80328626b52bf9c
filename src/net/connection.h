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

struct FrameLimits {
  size_t max_frame_bytes = kMaxFrameBytes;
  // What waits for the peer to read it, a connection.
  size_t max_unsent_bytes = 128U << 20U;
};

// One TCP connection that carries frames. Not thread-safe: all calls and
// callbacks are made on the thread of its io_context.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using MessageCallback = std::function<void(Message)>;
  using ClosedCallback = std::function<void(std::error_code)>;

  static std::shared_ptr<Connection> Make(asio::ip::tcp::socket socket,
                                          const FrameLimits& limits);

  // Starts reading. `on_closed` is called once if the connection fails or the
  // peer closes it, but not after Close was called.
  void Start(MessageCallback on_message, ClosedCallback on_closed);
  // Queues a frame. Frames that are queued in the same turn of the io_context
  // are sent in one write. The connection fails if more than the limit is
  // unsent.
  void Send(std::string frame);
  // Frames of any size within the limits are accepted from now on. Before, a
  // frame must fit into the smallest buffer.
  void AcceptLargeFrames() { accepts_large_frames_ = true; }
  void Close();

  // Bytes that were queued and that the socket has not accepted yet.
  size_t unsent_bytes() const { return unsent_bytes_; }

 private:
  Connection(asio::ip::tcp::socket socket, const FrameLimits& limits);

  void Read();
  void DeliverFrames();
  void Write();
  void Fail(std::error_code error);

  asio::ip::tcp::socket socket_;
  MessageCallback on_message_;
  ClosedCallback on_closed_;
  FrameLimits limits_;
  bool accepts_large_frames_ = false;
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
