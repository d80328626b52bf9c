// Measures the processor time of one admission and of one dispatch decision of
// an entry, by the number of workers, while jobs wait. Figures belong to the
// machine; compare ratios and builds of one run.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <vector>

#include "held/decision_log.h"
#include "held/job_scheduler.h"

namespace {

using qs::Instant;
using qs::Millis;

constexpr int64_t kWorkerCpu = 16'000;
constexpr int64_t kTaskCpu = 4'000;
constexpr int kDecisions = 400;

Instant At(int64_t ms) {
  return Instant() + std::chrono::hours(1) + Millis(ms);
}

class DispatchBench {
 public:
  DispatchBench(uint32_t workers, uint32_t waiting)
      : scheduler_(Options(), &observer_, &log_, 7, At(-10'000)) {
    qs::Catalog catalog;
    catalog.version = 1;
    qs::QueueDeclaration queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.service = "svc";
    queue.max_attempts = 3;
    queue.latency_target = Millis(100'000);
    catalog.queues.push_back(queue);
    scheduler_.SetCatalog(std::make_shared<const qs::Catalog>(catalog), At(0));
    scheduler_.OnEvacuations(qs::Evacuations(1, {}), At(0));
    scheduler_.SetHasSeenAllWorkers(true, At(0));
    for (uint32_t i = 0; i < workers; ++i) {
      const qs::Incarnation guard{1000 + i};
      scheduler_.OnGuardUp({1, static_cast<uint16_t>(1000 + i)}, guard, At(0));
      scheduler_.OnReport(guard, Report(kWorkerCpu), At(0));
      guards_.push_back(guard);
    }
    scheduler_.TakeActions(At(0));
    for (uint32_t i = 0; i < waiting; ++i) Submit();
  }

  // Mean time of the admission of a job that waits, in microseconds.
  double MeasureAdmission() {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kDecisions; ++i) Submit();
    return MicrosPerDecision(begin);
  }

  // Mean time from the report of a worker with free capacity for one task until
  // the order to it, in microseconds.
  double MeasureDispatch() {
    size_t orders = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      const qs::Incarnation guard =
          guards_[static_cast<size_t>(i) * 7919 % guards_.size()];
      scheduler_.OnReport(guard, Report(kWorkerCpu - kTaskCpu), At(0));
      for (const qs::SchedulerAction& action : scheduler_.TakeActions(At(0))) {
        const auto* sent = std::get_if<qs::SendOrders>(&action);
        if (sent != nullptr) orders += sent->orders.orders.size();
      }
    }
    const double micros = MicrosPerDecision(begin);
    if (orders < kDecisions / 2) std::printf("only %zu orders\n", orders);
    return micros;
  }

 private:
  static qs::JobSchedulerOptions Options() {
    qs::JobSchedulerOptions options;
    options.max_jobs = 100'000;
    return options;
  }

  static double MicrosPerDecision(std::chrono::steady_clock::time_point begin) {
    const std::chrono::duration<double, std::micro> passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count() / kDecisions;
  }

  qs::RunReport Report(int64_t used_cpu) {
    qs::RunReport report;
    report.stamp = ++stamp_;
    report.state = qs::ServingState::kServing;
    report.service = "svc";
    report.capacity = {kWorkerCpu, 65'536, 0};
    report.used = {used_cpu, 0, 0};
    report.queued_work = used_cpu < kWorkerCpu ? 0 : 1'000'000;
    report.seen_order = ~uint64_t{0};
    report.is_settled = true;
    return report;
  }

  void Submit() {
    qs::HeldJob job;
    job.id = std::to_string(++jobs_);
    job.queue = "q";
    job.payload = "p";
    job.caller_timeout = Millis(200'000);
    qs::HeldStep step;
    step.tasks = 2;
    step.task_resources = {kTaskCpu, 64, 0};
    step.estimate = Millis(100);
    job.steps.push_back(step);
    scheduler_.OnJob(jobs_, std::move(job), At(0), At(0));
    scheduler_.TakeActions(At(0));
  }

  qs::Observer observer_;
  qs::DecisionLog log_;
  qs::JobScheduler scheduler_;
  std::vector<qs::Incarnation> guards_;
  uint64_t stamp_ = 0;
  uint64_t jobs_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures admissions and dispatch decisions of an entry");
  uint32_t waiting = 2000;
  app.add_option("--waiting", waiting, "jobs that wait meanwhile");
  CLI11_PARSE(app, argc, argv);
  std::printf("%8s %14s %14s\n", "workers", "admission us", "dispatch us");
  for (const uint32_t workers : {50U, 300U, 1200U}) {
    DispatchBench bench(workers, waiting);
    const double admission = bench.MeasureAdmission();
    const double dispatch = bench.MeasureDispatch();
    std::printf("%8u %14.1f %14.1f\n", workers, admission, dispatch);
  }
  return 0;
}
