#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <variant>

#include "held/run_supervisor.h"
#include "http/event_http_client.h"
#include "quetzalspindle/worker_protocol.h"

namespace qs {

// An answer of the worker, or that none came.
struct StartAnswer {
  SendStart made;
  WorkerReply reply;
};
struct StopAnswer {
  SendStop made;
  WorkerReply reply;
};
struct PollAnswer {
  SendPoll made;
  PollReply reply;
  Instant sent;
};
using WorkerAnswer = std::variant<StartAnswer, StopAnswer, PollAnswer>;

// Makes the calls of a RunSupervisor to the worker. Holds and looks have a
// connection each, since a hold waits.
class WorkerCaller {
 public:
  using Callback = std::function<void(WorkerAnswer)>;

  // `protocol` must outlive the object; `on_answer` is called on the thread of
  // `io`, never within Submit.
  WorkerCaller(asio::io_context* io, Address worker,
               const WorkerProtocol* protocol, Callback on_answer);

  void Submit(SendStart start);
  void Submit(SendStop stop);
  void Submit(SendPoll hold);
  // Ends calls whose time is over.
  void CheckTime(Instant now);
  // Drops all calls.
  void Stop();

 private:
  void Answer(WorkerAnswer answer);

  asio::io_context* io_;
  const WorkerProtocol* protocol_;
  Callback on_answer_;
  EventHttpClient orders_;
  EventHttpClient holds_;
  EventHttpClient looks_;
};

}  // namespace qs
