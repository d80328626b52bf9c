#include "daemon/worker_client.h"

#include <asio/post.hpp>
#include <memory>
#include <utility>

namespace qs {
namespace {

// Starts and stops in flight at a time. One without an answer occupies its
// connection until its timeout, and the others must not wait for it.
constexpr size_t kCommandConnections = 4;

// A start time of zero was not reported.
bool MayBeSame(const WorkerIncarnation& a, const WorkerIncarnation& b) {
  return a.id == b.id && (a.started_at == b.started_at || a.started_at == 0 ||
                          b.started_at == 0);
}

}  // namespace

WorkerClient::WorkerClient(asio::io_context* io, Address worker,
                           const WorkerProtocol* protocol, Callback on_answer,
                           std::function<void()> needs_poll,
                           size_t max_answer_bytes)
    : io_(io),
      protocol_(protocol),
      on_answer_(std::move(on_answer)),
      commands_(io, worker, kCommandConnections, max_answer_bytes),
      polls_(io, worker, 1, max_answer_bytes),
      immediate_polls_(io, worker, 1, max_answer_bytes) {
  commands_.OnOpened(std::move(needs_poll));
}

void WorkerClient::Submit(SendStart start) {
  if (!confirmed_ || !MayBeSame(*confirmed_, start.call.incarnation)) {
    return PostAnswer(
        StartAnswer{std::move(start), {WorkerVerdict::kNotSent, std::nullopt}});
  }
  HttpExchange exchange = protocol_->Encode(start.call);
  exchange.needs_confirmed_connection = true;
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
  EventHttpClient& client = poll.is_immediate ? immediate_polls_ : polls_;
  const bool is_confirmed = client.HasConfirmedConnection() && confirmed_ &&
                            MayBeSame(*confirmed_, poll.call.incarnation);
  if (!is_confirmed && poll.call.deadline) {
    poll.call.deadline.reset();
    poll.call.wait = Millis(0);
  }
  HttpExchange exchange = protocol_->Encode(poll.call);
  exchange.needs_confirmed_connection = poll.call.deadline.has_value();
  // A poll of the worker's previous incarnation may still occupy the
  // connection, so this one may be sent later than `sent` says. That is safe:
  // the supervisor concludes less from an answer to an earlier poll.
  client.Exchange(std::move(exchange),
                  [this, request = std::move(poll), sent = Clock::now(),
                   &client](const HttpOutcome& outcome) {
                    PollReply reply = protocol_->DecodePoll(outcome);
                    if (reply.verdict == WorkerVerdict::kAccepted) {
                      OnPolled(request.call.incarnation, reply, sent, &client);
                    }
                    PostAnswer(PollAnswer{request, std::move(reply), sent});
                  });
}

void WorkerClient::OnPolled(const WorkerIncarnation& named,
                            const PollReply& reply, Instant sent,
                            EventHttpClient* client) {
  const WorkerIncarnation answering{named.id, reply.started_at};
  if (!confirmed_ || !MayBeSame(*confirmed_, answering)) {
    commands_.FailUnconfirmed();
    confirmed_ = answering;
  }
  commands_.ConfirmConnections(sent);
  // The answer came over this one's only connection.
  client->ConfirmConnections(Clock::now());
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
