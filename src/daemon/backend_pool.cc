#include "daemon/backend_pool.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "http/http_client.h"

namespace qs {
namespace {

// Minimum timeout of an attempt, even if the job's deadline is nearer. A
// backend server may answer after the deadline, so the attempt occupies its
// slot until the answer or the timeout.
constexpr Millis kMinTimeout{1000};

// HTTP status classes.
constexpr int kStatusSuccess = 2;
constexpr int kStatusClientError = 4;

std::string TaskName(const GrantKey& key) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%016llx-%llu",
                static_cast<unsigned long long>(key.home.value),
                static_cast<unsigned long long>(key.number));
  return text.data();
}

TaskResult FromFault(ExchangeFault fault) {
  switch (fault) {
    case ExchangeFault::kNotSent:
      return {Outcome::kNotRun, Reason::kBackendUnreachable, {}};
    case ExchangeFault::kTimeout:
      return {Outcome::kUnknown, Reason::kBackendTimeout, {}};
    case ExchangeFault::kDisconnected:
      break;
  }
  return {Outcome::kUnknown, Reason::kBackendDisconnected, {}};
}

TaskResult FromResponse(HttpClient::Response response) {
  switch (response.status / 100) {
    case kStatusSuccess:
      return {Outcome::kDone, Reason::kNone, std::move(response.body)};
    case kStatusClientError:
      return {Outcome::kFailed, Reason::kBackendRejected, {}};
    default:
      return {Outcome::kFailed, Reason::kBackendFailed, {}};
  }
}

}  // namespace

BackendPool::BackendPool(Millis idle_limit, EndCallback on_end)
    : idle_limit_(idle_limit), on_end_(std::move(on_end)) {}

BackendPool::~BackendPool() { Stop(); }

void BackendPool::Reserve(uint32_t slots) {
  const std::lock_guard lock(mutex_);
  while (threads_.size() < slots) {
    threads_.emplace_back([this] { Run(); });
  }
}

void BackendPool::Submit(StartTask task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  has_work_.notify_one();
}

void BackendPool::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  has_work_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void BackendPool::Run() {
  std::unique_ptr<HttpClient> client;
  uint64_t cut_off_before = 0;  // Value of `cut_off_` when `client` was made.
  while (true) {
    StartTask task;
    {
      std::unique_lock lock(mutex_);
      has_work_.wait(lock, [&] { return stopped_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    const uint64_t cut_off = cut_off_;
    if (client == nullptr || client->server() != task.backend ||
        cut_off != cut_off_before) {
      cut_off_before = cut_off;
      client = std::make_unique<HttpClient>(task.backend, idle_limit_);
    }
    const Instant start = Clock::now();
    TaskResult result = Attempt(client.get(), task);
    on_end_({task.key, std::move(result), Clock::now() - start});
  }
}

TaskResult BackendPool::Attempt(HttpClient* client, const StartTask& task) {
  HttpClient::Request request;
  request.target = "/tasks/" + task.service;
  request.headers.emplace_back("Task-Attempt", TaskName(task.key));
  request.body = task.payload;
  request.timeout = std::max(task.remaining, kMinTimeout);
  auto response = client->Exchange(request);
  if (!response) {
    if (response.error() != ExchangeFault::kTimeout) ++cut_off_;
    return FromFault(response.error());
  }
  return FromResponse(std::move(*response));
}

}  // namespace qs
