#include "core_harness.h"

#include <algorithm>
#include <utility>

namespace qs::test {
namespace {

constexpr const char* kService = "sketch";
constexpr Millis kWait{3'600'000};

}  // namespace

JobSpec MakeJob(const std::string& prefix, int tasks, OnFailure on_failure) {
  JobSpec job;
  job.team = "club";
  job.service = kService;
  job.on_failure = on_failure;
  for (int i = 0; i < tasks; ++i) {
    job.payloads.push_back(prefix + "-" + std::to_string(i));
  }
  return job;
}

CoreHarness::CoreHarness(int executors)
    : now_(Instant(std::chrono::hours(1))), executors_(Index(executors)) {
  HomeOptions options;
  options.self = home_incarnation_;
  home_ = Home::Make(options, PlacementRegistry::Instance().Make("two_choices"),
                     &observer_, 7);
  for (int i = 0; i < executors; ++i) StartExecutor(i);
  for (int i = 0; i < executors; ++i) {
    Announce(i);
    executors_[Index(i)].known_incarnation = executors_[Index(i)].incarnation;
    home_->OnMember(RecordOf(i), true, now_);
    home_->OnExecutorConnected(AddressOf(i), executors_[Index(i)].incarnation,
                               now_);
  }
  home_->SetMembersKnown();
  RouteActions();
}

Address CoreHarness::AddressOf(int i) const {
  return {0x0A000001U + static_cast<uint32_t>(i), 7000};
}

MemberRecord CoreHarness::RecordOf(int i) const {
  const Node& node = executors_[Index(i)];
  MemberRecord record;
  record.address = AddressOf(i);
  record.incarnation = node.incarnation;
  record.role = Role::kGuard;
  record.services = {kService};
  record.load = node.core->load(now_);
  return record;
}

void CoreHarness::StartExecutor(int i) {
  Node& node = executors_[Index(i)];
  node.incarnation = {next_incarnation_++};
  node.core = std::make_unique<Executor>(ExecutorOptions(), node.incarnation,
                                         &observer_);
}

void CoreHarness::Announce(int executor) {
  Announcement announcement;
  announcement.address = AddressOf(executor);
  announcement.services = {kService};
  announcement.slots = executors_[Index(executor)].slots;
  executors_[Index(executor)].core->OnAnnouncement(announcement, now_);
  RouteActions();
}

uint64_t CoreHarness::Mint() { return home_->OnMint({0, 1}, now_).first; }

void CoreHarness::Submit(uint64_t sequence, const JobSpec& job) {
  const uint64_t request = next_request_++;
  requests_[request] = sequence;
  home_->OnSubmit(1, {request, sequence, kWait, job}, now_);
  RouteActions();
}

void CoreHarness::Cancel(uint64_t sequence) {
  const uint64_t request = next_request_++;
  requests_[request] = sequence;
  home_->OnCancel(1, {request, sequence, kWait}, now_);
  RouteActions();
}

void CoreHarness::RouteActions() {
  for (HomeAction& action : home_->TakeActions()) Route(std::move(action));
  for (size_t i = 0; i < executors_.size(); ++i) {
    for (ExecutorAction& action : executors_[i].core->TakeActions()) {
      Route(static_cast<int>(i), std::move(action));
    }
  }
}

void CoreHarness::Route(HomeAction action) {
  if (auto* answer = std::get_if<SendAnswer>(&action)) {
    answers_[requests_.at(answer->reply.request)].push_back(
        std::move(answer->reply.answer));
    return;
  }
  const auto* grants = std::get_if<SendGrants>(&action);
  const Incarnation target =
      grants != nullptr ? grants->executor : std::get<SendAsk>(action).executor;
  for (Node& node : executors_) {
    if (node.known_incarnation == target && node.is_connected) {
      node.to_executor.push_back(std::move(action));
      return;
    }
  }
}

void CoreHarness::Route(int executor, ExecutorAction action) {
  Node& node = executors_[Index(executor)];
  if (auto* start = std::get_if<StartTask>(&action)) {
    ++starts_[start->payload];
    node.running.push_back(std::move(*start));
    if (node.running.size() > node.slots) {
      max_excess_ = std::max(max_excess_, node.running.size() - node.slots);
    }
    return;
  }
  if (!node.is_connected) return;
  node.to_home.emplace_back(node.incarnation,
                            std::move(std::get<SendReplies>(action).replies));
}

size_t CoreHarness::InFlightTo(int executor) const {
  return executors_[Index(executor)].to_executor.size();
}

size_t CoreHarness::InFlightFrom(int executor) const {
  return executors_[Index(executor)].to_home.size();
}

void CoreHarness::DeliverTo(int executor, size_t index, bool keep) {
  Node& node = executors_[Index(executor)];
  const HomeAction action = node.to_executor[index];
  if (!keep) {
    node.to_executor.erase(node.to_executor.begin() +
                           static_cast<ptrdiff_t>(index));
  }
  if (const auto* grants = std::get_if<SendGrants>(&action)) {
    node.core->OnGrants(home_incarnation_, grants->batch, now_);
  } else {
    node.core->OnAsk(home_incarnation_, std::get<SendAsk>(action).ask, now_);
  }
  RouteActions();
}

void CoreHarness::DeliverFrom(int executor, size_t index, bool keep) {
  Node& node = executors_[Index(executor)];
  const auto [incarnation, replies] = node.to_home[index];
  if (!keep) {
    node.to_home.erase(node.to_home.begin() + static_cast<ptrdiff_t>(index));
  }
  home_->OnReplies(incarnation, replies, now_);
  RouteActions();
}

void CoreHarness::LoseTo(int executor, size_t index) {
  auto& to_executor = executors_[Index(executor)].to_executor;
  to_executor.erase(to_executor.begin() + static_cast<ptrdiff_t>(index));
}

void CoreHarness::LoseFrom(int executor, size_t index) {
  auto& to_home = executors_[Index(executor)].to_home;
  to_home.erase(to_home.begin() + static_cast<ptrdiff_t>(index));
}

void CoreHarness::Disconnect(int executor) {
  Node& node = executors_[Index(executor)];
  if (!node.is_connected) return;
  node.is_connected = false;
  node.to_executor.clear();
  node.to_home.clear();
  home_->OnExecutorDisconnected(node.known_incarnation, now_);
  node.core->OnHomeUnreachable(home_incarnation_, now_);
  RouteActions();
}

void CoreHarness::Reconnect(int executor) {
  Node& node = executors_[Index(executor)];
  if (node.is_connected) return;
  node.is_connected = true;
  DetectCrash(executor);
  home_->OnExecutorConnected(AddressOf(executor), node.incarnation, now_);
  RouteActions();
}

void CoreHarness::CrashExecutor(int executor) {
  Disconnect(executor);
  StartExecutor(executor);
  executors_[Index(executor)].running.clear();
  Announce(executor);
}

void CoreHarness::DetectCrash(int executor) {
  Node& node = executors_[Index(executor)];
  if (node.known_incarnation == node.incarnation) return;
  const Incarnation old =
      std::exchange(node.known_incarnation, node.incarnation);
  home_->OnExecutorTerminated(old, now_);
  home_->OnMember(RecordOf(executor), true, now_);
  RouteActions();
}

size_t CoreHarness::Running(int executor) const {
  return executors_[Index(executor)].running.size();
}

void CoreHarness::EndTask(int executor, size_t index, TaskResult result) {
  Node& node = executors_[Index(executor)];
  if (IsDeadly(node.running[index].payload)) {
    CrashBackend(executor);
    return;
  }
  const StartTask task = node.running[index];
  node.running.erase(node.running.begin() + static_cast<ptrdiff_t>(index));
  if (result.outcome == Outcome::kDone) result.output = "done:" + task.payload;
  node.core->OnTaskEnded(task.key, std::move(result), now_);
  RouteActions();
}

void CoreHarness::CrashBackend(int executor) {
  Node& node = executors_[Index(executor)];
  const std::vector<StartTask> ended = std::exchange(node.running, {});
  std::set<std::string>& payloads = crashes_.emplace_back();
  for (const StartTask& task : ended) {
    payloads.insert(task.payload);
    node.core->OnTaskEnded(
        task.key, {Outcome::kUnknown, Reason::kBackendDisconnected, {}}, now_);
  }
  RouteActions();
}

void CoreHarness::SetSlots(int executor, uint32_t slots) {
  executors_[Index(executor)].slots = slots;
  Announce(executor);
}

void CoreHarness::Advance(Millis duration) {
  constexpr Millis kStep{1000};
  for (Millis left = duration; left > Millis(0); left -= kStep) {
    now_ += std::min(left, kStep);
    for (size_t i = 0; i < executors_.size(); ++i) {
      Announce(static_cast<int>(i));
      executors_[i].core->OnTimer(now_);
      const Node& node = executors_[i];
      const bool gossips =
          node.is_connected && node.known_incarnation == node.incarnation;
      if (gossips) home_->OnMember(RecordOf(static_cast<int>(i)), true, now_);
    }
    home_->OnTimer(now_);
    RouteActions();
  }
}

void CoreHarness::Settle() {
  const int count = static_cast<int>(executors_.size());
  for (int i = 0; i < count; ++i) Reconnect(i);
  constexpr int kRounds = 100;
  for (int round = 0; round < kRounds; ++round) {
    bool moved = false;
    for (int i = 0; i < count; ++i) {
      while (InFlightTo(i) > 0) DeliverTo(i, 0, false);
      while (Running(i) > 0) {
        EndTask(i, 0, {Outcome::kDone, Reason::kNone, {}});
        moved = true;
      }
      while (InFlightFrom(i) > 0) {
        DeliverFrom(i, 0, false);
        moved = true;
      }
    }
    Advance(Millis(1000));
    if (!moved && home_->running_jobs() == 0) return;
  }
}

}  // namespace qs::test
