#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "held/run_keeper.h"
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

// Makes the calls of a RunKeeper to the worker, on threads of its own. Holds
// and looks have a thread each, since a hold waits.
class WorkerCaller {
 public:
  using Callback = std::function<void(WorkerAnswer)>;

  // `protocol` must outlive the object; `on_answer` is called on its threads.
  WorkerCaller(Address worker, const WorkerProtocol* protocol,
               Callback on_answer);
  ~WorkerCaller();
  WorkerCaller(const WorkerCaller&) = delete;
  WorkerCaller& operator=(const WorkerCaller&) = delete;

  void Submit(MakeStart start) { Push(&orders_, std::move(start)); }
  void Submit(MakeStop stop) { Push(&orders_, std::move(stop)); }
  void Submit(MakeHold hold) {
    Push(hold.is_look ? &looks_ : &holds_, std::move(hold));
  }
  // Drops what waits and ends after the calls in progress.
  void Stop();

 private:
  using Call = std::variant<MakeStart, MakeStop, MakeHold>;
  struct Lane {
    std::deque<Call> calls;
    std::condition_variable has_call;
  };

  void Push(Lane* lane, Call call);
  void Run(Lane* lane);

  Address worker_;
  const WorkerProtocol* protocol_;
  Callback on_answer_;
  std::mutex mutex_;
  bool stopped_ = false;
  Lane orders_;
  Lane holds_;
  Lane looks_;
  std::vector<std::thread> threads_;
};

}  // namespace qs
