#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <variant>

#include "held/run_keeper.h"
#include "http/event_http_client.h"
#include "quetzalspindle/worker_protocol.h"

namespace qs {

// An answer of the worker, or that none came.
struct StartAnswer {
  MakeStart made;
  WorkerReply reply;
};
struct StopAnswer {
  MakeStop made;
  WorkerReply reply;
};
struct HoldAnswer {
  MakeHold made;
  HoldReply reply;
  Instant sent;
};
using WorkerAnswer = std::variant<StartAnswer, StopAnswer, HoldAnswer>;

// Makes the calls of a RunKeeper to the worker. Holds and looks have a
// connection each, since a hold waits.
class WorkerCaller {
 public:
  using Callback = std::function<void(WorkerAnswer)>;

  // `protocol` must outlive the object; `on_answer` is called on the thread of
  // `io`, never within Submit.
  WorkerCaller(asio::io_context* io, Address worker,
               const WorkerProtocol* protocol, Callback on_answer);

  void Submit(MakeStart start);
  void Submit(MakeStop stop);
  void Submit(MakeHold hold);
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
