#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <variant>

#include "held/run_supervisor.h"
#include "http/event_http_client.h"
#include "quetzalspindle/worker_protocol.h"

namespace qs {

// The result of a call to the worker: its answer, or the failure to get one.
struct StartAnswer {
  SendStart request;
  WorkerReply reply;
};
struct StopAnswer {
  SendStop request;
  WorkerReply reply;
};
struct PollAnswer {
  SendPoll request;
  PollReply reply;
  Instant sent;
};
using WorkerAnswer = std::variant<StartAnswer, StopAnswer, PollAnswer>;

// Makes the calls of a RunSupervisor to the worker. Polls that wait at the
// worker and immediate ones have a connection each, so that the latter need not
// wait.
class WorkerClient {
 public:
  using Callback = std::function<void(WorkerAnswer)>;

  // `protocol` must outlive the object; `on_answer` is called on the thread of
  // `io`, never within Submit.
  WorkerClient(asio::io_context* io, Address worker,
               const WorkerProtocol* protocol, Callback on_answer);

  void Submit(SendStart start);
  void Submit(SendStop stop);
  void Submit(SendPoll poll);
  // Ends calls whose timeout has expired.
  void CheckTime(Instant now);
  // Drops all calls.
  void Stop();

 private:
  void PostAnswer(WorkerAnswer answer);

  asio::io_context* io_;
  const WorkerProtocol* protocol_;
  Callback on_answer_;
  EventHttpClient commands_;
  EventHttpClient polls_;
  EventHttpClient immediate_polls_;
};

}  // namespace qs
