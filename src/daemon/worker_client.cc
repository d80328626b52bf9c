#include "daemon/worker_client.h"

#include <asio/post.hpp>
#include <memory>
#include <utility>

namespace qs {
namespace {

// Starts and stops in flight at a time. One without an answer occupies its
// connection until its timeout, and the others must not wait for it.
constexpr size_t kCommandConnections = 4;

}  // namespace

WorkerClient::WorkerClient(asio::io_context* io, Address worker,
                           const WorkerProtocol* protocol, Callback on_answer)
    : io_(io),
      protocol_(protocol),
      on_answer_(std::move(on_answer)),
      commands_(io, worker, kCommandConnections),
      polls_(io, worker, 1),
      immediate_polls_(io, worker, 1) {}

void WorkerClient::Submit(SendStart start) {
  HttpExchange exchange = protocol_->Encode(start.call);
  commands_.Exchange(std::move(exchange), [this, request = std::move(start)](
                                              const HttpOutcome& outcome) {
    PostAnswer(StartAnswer{request, protocol_->DecodeReply(outcome)});
  });
}

void WorkerClient::Submit(SendStop stop) {
  HttpExchange exchange = protocol_->Encode(stop.call);
  commands_.Exchange(std::move(exchange), [this, request = std::move(stop)](
                                              const HttpOutcome& outcome) {
    PostAnswer(StopAnswer{request, protocol_->DecodeReply(outcome)});
  });
}

void WorkerClient::Submit(SendPoll poll) {
  HttpExchange exchange = protocol_->Encode(poll.call);
  EventHttpClient& client = poll.is_immediate ? immediate_polls_ : polls_;
  // A poll of the worker's previous incarnation may still occupy the
  // connection, so this one may be sent later than `sent` says. That is safe:
  // the supervisor concludes less from an answer to an earlier poll.
  client.Exchange(
      std::move(exchange), [this, request = std::move(poll),
                            sent = Clock::now()](const HttpOutcome& outcome) {
        PostAnswer(PollAnswer{request, protocol_->DecodePoll(outcome), sent});
      });
}

// Posts the answer instead of calling `on_answer_` directly, since Submit may
// be called while the supervisor's actions are being performed.
void WorkerClient::PostAnswer(WorkerAnswer answer) {
  asio::post(*io_, [this, answer = std::move(answer)] { on_answer_(answer); });
}

void WorkerClient::CheckTime(Instant now) {
  commands_.CheckTime(now);
  polls_.CheckTime(now);
  immediate_polls_.CheckTime(now);
}

void WorkerClient::Stop() {
  commands_.Close();
  polls_.Close();
  immediate_polls_.Close();
}

}  // namespace qs
