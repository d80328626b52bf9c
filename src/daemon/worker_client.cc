#include "daemon/worker_client.h"

#include <asio/post.hpp>
#include <memory>
#include <utility>

namespace qs {
namespace {

// Orders in flight at a time. One that gets no answer occupies a connection
// until its timeout, and the others must go on meanwhile.
constexpr size_t kOrderConnections = 4;

}  // namespace

WorkerCaller::WorkerCaller(asio::io_context* io, Address worker,
                           const WorkerProtocol* protocol, Callback on_answer)
    : io_(io),
      protocol_(protocol),
      on_answer_(std::move(on_answer)),
      orders_(io, worker, kOrderConnections),
      holds_(io, worker, 1),
      looks_(io, worker, 1) {}

void WorkerCaller::Submit(MakeStart start) {
  HttpExchange exchange = protocol_->Encode(start.call);
  orders_.Exchange(std::move(exchange),
                   [this, made = std::move(start)](const HttpOutcome& outcome) {
                     Answer(StartAnswer{made, protocol_->DecodeReply(outcome)});
                   });
}

void WorkerCaller::Submit(MakeStop stop) {
  HttpExchange exchange = protocol_->Encode(stop.call);
  orders_.Exchange(std::move(exchange),
                   [this, made = std::move(stop)](const HttpOutcome& outcome) {
                     Answer(StopAnswer{made, protocol_->DecodeReply(outcome)});
                   });
}

void WorkerCaller::Submit(MakeHold hold) {
  HttpExchange exchange = protocol_->Encode(hold.call);
  EventHttpClient& client = hold.is_look ? looks_ : holds_;
  // Before it may wait a call of the worker's former life. It then counts as
  // sent earlier than it was, and less is concluded from its answer.
  client.Exchange(
      std::move(exchange), [this, made = std::move(hold),
                            sent = Clock::now()](const HttpOutcome& outcome) {
        Answer(HoldAnswer{made, protocol_->DecodeHold(outcome), sent});
      });
}

// Posted, since the keeper may be in the middle of its actions.
void WorkerCaller::Answer(WorkerAnswer answer) {
  asio::post(*io_, [this, answer = std::move(answer)] { on_answer_(answer); });
}

void WorkerCaller::CheckTime(Instant now) {
  orders_.CheckTime(now);
  holds_.CheckTime(now);
  looks_.CheckTime(now);
}

void WorkerCaller::Stop() {
  orders_.Close();
  holds_.Close();
  looks_.Close();
}

}  // namespace qs
