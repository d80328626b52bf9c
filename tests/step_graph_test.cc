// Tests that a job with empty steps is admitted and run as the same job without
// these steps.

#include "quetzalspindle/step_graph.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "held/job_budget.h"
#include "held_harness.h"

namespace qs::test {
namespace {

constexpr Incarnation kGuard{101};
constexpr uint64_t kBusyCaller = 1;
constexpr uint64_t kCaller = 2;

template <typename Integer>
Integer Draw(Integer min, Integer max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
}

HeldJob DrawJob() {
  HeldJob job = MakeJob("a", 0);
  job.steps.clear();
  const auto steps = Draw<uint32_t>(0, 7);
  for (uint32_t i = 0; i < steps; ++i) {
    HeldStep step = MakeJob("a", Draw<uint32_t>(0, 4)).steps[0];
    if (Draw(0, 2) == 0) step.tasks = 0;
    if (step.tasks == 0 && Draw(0, 3) == 0) step.required_label = "none";
    step.task_resources.cpu_millis = Draw<int64_t>(0, 9000);
    step.estimate = Millis(Draw<int64_t>(0, 300));
    for (uint32_t earlier = 0; earlier < i; ++earlier) {
      if (Draw(0, 2) == 0) step.depends_on.push_back(earlier);
    }
    job.steps.push_back(std::move(step));
  }
  return job;
}

// The steps with tasks that step `i` depends on, also through empty steps.
std::set<uint32_t> StepsBefore(const HeldJob& job, uint32_t i) {
  std::set<uint32_t> before;
  for (const uint32_t earlier : job.steps[i].depends_on) {
    if (job.steps[earlier].tasks > 0) {
      before.insert(earlier);
    } else {
      before.merge(StepsBefore(job, earlier));
    }
  }
  return before;
}

// The job without its empty steps. `number_of` gets the new number of each step
// that stays.
HeldJob WithoutEmptySteps(const HeldJob& job,
                          std::map<uint32_t, uint32_t>* number_of) {
  HeldJob reduced = job;
  reduced.steps.clear();
  for (uint32_t i = 0; i < job.steps.size(); ++i) {
    if (job.steps[i].tasks == 0) continue;
    (*number_of)[i] = static_cast<uint32_t>(reduced.steps.size());
    HeldStep step = job.steps[i];
    step.depends_on.clear();
    for (const uint32_t earlier : StepsBefore(job, i)) {
      step.depends_on.push_back(number_of->at(earlier));
    }
    reduced.steps.push_back(std::move(step));
  }
  return reduced;
}

// A scheduler with one worker.
class Entry {
 public:
  explicit Entry(int64_t capacity_cpu) : capacity_cpu_(capacity_cpu) {
    scheduler_.SetCatalog(MakeCatalog(), At(0));
    scheduler_.OnEvacuations(MakeEvacuations({}), At(0));
    scheduler_.SetHasSeenAllWorkers(true, At(0));
    scheduler_.OnGuardUp(Address{1, 1}, kGuard, At(0));
    scheduler_.OnReport(kGuard, MakeReport(1, 0, capacity_cpu_), At(0));
  }

  void Submit(uint64_t caller, const HeldJob& job) {
    scheduler_.OnJob(caller, job, At(now_), At(now_));
    TakeActions();
  }

  // Reports that the run with this index among `orders` is done.
  void EndRun(size_t index) {
    ++now_;
    RunReport report =
        MakeReport(static_cast<uint64_t>(now_), 0, capacity_cpu_);
    report.seen_order = orders.back().number;
    report.ends = {
        {orders[index].number, RunOutcome::kDone, Reason::kNone, Millis(1)}};
    scheduler_.OnReport(kGuard, report, At(now_));
    TakeActions();
  }

  std::vector<RunOrder> orders;
  std::map<uint64_t, HeldAnswer> answers;

 private:
  void TakeActions() {
    for (const SchedulerAction& action : scheduler_.TakeActions(At(now_))) {
      if (const auto* sent = std::get_if<SendOrders>(&action)) {
        const std::vector<RunOrder>& news = sent->orders.orders;
        orders.insert(orders.end(), news.begin(), news.end());
      } else {
        const auto& answer = std::get<SendHeldAnswer>(action);
        answers[answer.caller] = answer.answer;
      }
    }
  }

  int64_t capacity_cpu_;
  int64_t now_ = 0;
  Observer observer_;
  DecisionLog log_;
  JobScheduler scheduler_{JobSchedulerOptions(), &observer_, &log_, 7,
                          At(-10'000)};
};

// Guards against starts of tasks that no caller submitted, against a step that
// starts before what it depends on, and against a job that nothing ends.
RC_GTEST_PROP(StepGraphTest, StartsExactlyTheTasksWhoseDependenciesAreDone,
              ()) {
  const HeldJob job = DrawJob();
  Entry entry(1'000'000);
  entry.Submit(kCaller, job);
  std::map<uint32_t, uint32_t> done_in_step;
  size_t tasks = 0;
  for (const HeldStep& step : job.steps) tasks += step.tasks;
  const auto check = [&] {
    std::set<std::string> due;
    for (uint32_t i = 0; i < job.steps.size(); ++i) {
      const std::set<uint32_t> before = StepsBefore(job, i);
      const bool is_due =
          std::all_of(before.begin(), before.end(), [&](uint32_t earlier) {
            return done_in_step[earlier] == job.steps[earlier].tasks;
          });
      if (!is_due) continue;
      for (uint32_t index = 0; index < job.steps[i].tasks; ++index) {
        due.insert("a.0." + std::to_string(i) + "." + std::to_string(index));
      }
    }
    std::set<std::string> started;
    for (const RunOrder& order : entry.orders) started.insert(order.task);
    RC_ASSERT(started == due);
    RC_ASSERT(entry.orders.size() == due.size());
  };
  check();
  std::set<size_t> ended;
  while (ended.size() < entry.orders.size()) {
    RC_ASSERT(!entry.answers.contains(kCaller));
    size_t index = Draw<size_t>(0, entry.orders.size());
    while (ended.contains(index)) index = (index + 1) % entry.orders.size();
    ended.insert(index);
    const std::string& task = entry.orders[index].task;
    ++done_in_step[static_cast<uint32_t>(std::stoul(task.substr(4)))];
    entry.EndRun(index);
    check();
  }
  RC_ASSERT(ended.size() == tasks);
  RC_ASSERT(entry.answers.contains(kCaller));
  RC_ASSERT(entry.answers[kCaller].state == HeldState::kComplete);
}

// Guards against an objective or an admission that counts what does not run.
RC_GTEST_PROP(StepGraphTest, EmptyStepsDoNotCountForAdmission, ()) {
  const HeldJob job = DrawJob();
  std::map<uint32_t, uint32_t> number_of;
  const HeldJob reduced = WithoutEmptySteps(job, &number_of);
  RC_ASSERT(CriticalPathEstimate(job) == CriticalPathEstimate(reduced));
  const std::vector<Millis> after = EstimatesAfterSteps(job);
  const std::vector<Millis> expected = EstimatesAfterSteps(reduced);
  for (const auto& [step, number] : number_of) {
    RC_ASSERT(after[step] == expected[number]);
  }
  // Tasks wait at the entry, beside room for smaller ones at the worker.
  const HeldJob busy =
      MakeJob("busy", Draw<uint32_t>(1, 12), Draw<int64_t>(3000, 8000));
  const auto answer_to = [&](const HeldJob& submitted) {
    Entry entry(8000);
    entry.Submit(kBusyCaller, busy);
    entry.Submit(kCaller, submitted);
    return entry.answers[kCaller];
  };
  const HeldAnswer answer = answer_to(job);
  const HeldAnswer reference = answer_to(reduced);
  RC_ASSERT(answer.state == reference.state);
  RC_ASSERT(answer.reason == reference.reason);
  RC_ASSERT(answer.retry_after == reference.retry_after);
}

// Guards against a job whose steps take an entry's time without end: they are
// bounded as tasks are.
TEST(StepGraphTest, EmptyStepsCountForTheSizeOfAJob) {
  HeldJob job = MakeJob("a", 0);
  job.steps.resize(10, job.steps[0]);
  JobBudget nine({9, size_t{1} << 20U});
  EXPECT_EQ(nine.Admit(job).refusal, Reason::kTooManyTasks);
  JobBudget ten({10, size_t{1} << 20U});
  EXPECT_EQ(ten.Admit(job).refusal, Reason::kNone);
}

}  // namespace
}  // namespace qs::test
