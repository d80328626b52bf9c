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

// One TCP connection that carries frames. Lives on the thread of its
// io_context; every call and callback is made there.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using MessageCallback = std::function<void(Message)>;
  using ClosedCallback = std::function<void(std::error_code)>;

  static std::shared_ptr<Connection> Make(asio::ip::tcp::socket socket);

  // Begins to read. `on_closed` is called once, unless Close came first.
  void Start(MessageCallback on_message, ClosedCallback on_closed);
  // Queues a frame. Frames queued together leave in one write.
  void Send(std::string frame);
  void Close();

  // Bytes that were queued and have not left yet.
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
  std::vector<uint8_t> input_;  // Frames that were read and not delivered.
  size_t input_size_ = 0;       // Bytes of input_ that hold something.
  std::vector<uint8_t> body_;
  std::vector<std::string> queued_;
  std::vector<std::string> leaving_;
};

// Sets no-delay and the limits after which a silent peer counts as cut off.
void ConfigureSocket(asio::ip::tcp::socket* socket);

}  // namespace qs
