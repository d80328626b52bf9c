#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <optional>
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
//
// A worker that is started again may keep its id and has another clock, on
// which the deadline of a call to its predecessor means nothing. A call with a
// deadline is therefore sent only over a connection that leads to the
// incarnation which it names, or to nobody.
class WorkerClient {
 public:
  using Callback = std::function<void(WorkerAnswer)>;

  // `protocol` must outlive the object; `on_answer` and `needs_poll` are called
  // on the thread of `io`, never within Submit. `needs_poll` says that starts
  // wait until the worker has answered a poll that is sent from now on.
  WorkerClient(asio::io_context* io, Address worker,
               const WorkerProtocol* protocol, Callback on_answer,
               std::function<void()> needs_poll,
               size_t max_answer_bytes = kDefaultMaxAnswerBytes);

  void Submit(SendStart start);
  void Submit(SendStop stop);
  // Leaves out the deadline where no connection for polls leads to the
  // incarnation for certain. The worker answers at once then, after which one
  // does.
  void Submit(SendPoll poll);
  // Ends calls whose timeout has expired.
  void CheckTime(Instant now);
  // Drops all calls.
  void Stop();

 private:
  void PostAnswer(WorkerAnswer answer);
  // An answer to a poll that was sent at `sent` came over the connection of
  // `client`.
  void OnPolled(const WorkerIncarnation& named, const PollReply& reply,
                Instant sent, EventHttpClient* client);

  asio::io_context* io_;
  const WorkerProtocol* protocol_;
  Callback on_answer_;
  // The incarnation that the confirmed connections lead to.
  std::optional<WorkerIncarnation> confirmed_;
  EventHttpClient commands_;
  EventHttpClient polls_;
  EventHttpClient immediate_polls_;
};

}  // namespace qs
