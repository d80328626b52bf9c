#include "daemon/worker_caller.h"

#include <utility>

#include "http/http_caller.h"

namespace qs {
namespace {

// Orders in flight at a time. One that gets no answer occupies a thread until
// its timeout, and the others must go on meanwhile.
constexpr int kOrderThreads = 4;

struct Caller {
  HttpCaller* http;
  const WorkerProtocol* protocol;

  WorkerAnswer operator()(MakeStart start) const {
    WorkerReply reply =
        protocol->DecodeReply(http->Exchange(protocol->Encode(start.call)));
    return StartAnswer{std::move(start), reply};
  }
  WorkerAnswer operator()(MakeStop stop) const {
    WorkerReply reply =
        protocol->DecodeReply(http->Exchange(protocol->Encode(stop.call)));
    return StopAnswer{std::move(stop), reply};
  }
  WorkerAnswer operator()(MakeHold hold) const {
    const Instant sent = Clock::now();
    HoldReply reply =
        protocol->DecodeHold(http->Exchange(protocol->Encode(hold.call)));
    return HoldAnswer{std::move(hold), std::move(reply), sent};
  }
};

}  // namespace

WorkerCaller::WorkerCaller(Address worker, const WorkerProtocol* protocol,
                           Callback on_answer)
    : worker_(worker), protocol_(protocol), on_answer_(std::move(on_answer)) {
  threads_.emplace_back([this] { Run(&holds_); });
  threads_.emplace_back([this] { Run(&looks_); });
  for (int i = 0; i < kOrderThreads; ++i) {
    threads_.emplace_back([this] { Run(&orders_); });
  }
}

WorkerCaller::~WorkerCaller() { Stop(); }

void WorkerCaller::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  orders_.has_call.notify_all();
  holds_.has_call.notify_all();
  looks_.has_call.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void WorkerCaller::Push(Lane* lane, Call call) {
  {
    const std::lock_guard lock(mutex_);
    lane->calls.push_back(std::move(call));
  }
  lane->has_call.notify_one();
}

void WorkerCaller::Run(Lane* lane) {
  HttpCaller http(worker_);
  while (true) {
    std::unique_lock lock(mutex_);
    lane->has_call.wait(lock, [&] { return stopped_ || !lane->calls.empty(); });
    if (stopped_) return;
    Call call = std::move(lane->calls.front());
    lane->calls.pop_front();
    lock.unlock();
    on_answer_(std::visit(Caller{&http, protocol_}, std::move(call)));
  }
}

}  // namespace qs
