#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace qs {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,   0.5,   1.0,    2.5,   5.0,  10.0,  30.0};

double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Metrics::Metrics() : registry_(std::make_shared<prometheus::Registry>()) {
  refusals_ = MakeReasonTable("quetzalspindle_refusals_total",
                              "Requests refused as a whole, by reason.");
  retries_ = MakeReasonTable("quetzalspindle_retries_total",
                             "Tasks given back unstarted and granted again.");
  failures_ = MakeReasonTable("quetzalspindle_task_failures_total",
                              "Tasks that did not succeed, by reason.");
  clients_refused_ =
      &prometheus::BuildCounter()
           .Name("quetzalspindle_clients_refused_total")
           .Help("Clients refused before their request was handled.")
           .Register(*registry_);
  auto& outcomes = prometheus::BuildCounter()
                       .Name("quetzalspindle_tasks_total")
                       .Help("Tasks ended, by outcome.")
                       .Register(*registry_);
  auto& states = prometheus::BuildCounter()
                     .Name("quetzalspindle_jobs_total")
                     .Help("Jobs answered, by state.")
                     .Register(*registry_);
  for (uint8_t i = 0; i < 4; ++i) {
    const std::string outcome(OutcomeName(static_cast<Outcome>(i)));
    outcomes_[i] = &outcomes.Add({{"outcome", outcome}});
    const std::string state(JobStateName(static_cast<JobState>(i)));
    job_states_[i] = &states.Add({{"state", state}});
  }
  auto& placements = prometheus::BuildCounter()
                         .Name("quetzalspindle_placements_total")
                         .Help("Decisions where a task goes, by choice.")
                         .Register(*registry_);
  for (size_t i = 0; i < kPlacementChoices; ++i) {
    const auto choice = static_cast<PlacementChoice>(i);
    placements_.at(i) =
        &placements.Add({{"choice", std::string(PlacementChoiceName(choice))}});
  }
  speed_reports_ignored_ =
      &counter("quetzalspindle_speed_reports_ignored_total",
               "Reports of an impossible speed of a worker.");
  queue_seconds_ = MakeHistogram("quetzalspindle_task_queue_seconds",
                                 "Wait of a task at its executor.");
  run_seconds_ = MakeHistogram("quetzalspindle_task_run_seconds",
                               "Run time of a task on the backend server.");
  job_seconds_ = MakeHistogram("quetzalspindle_job_seconds",
                               "Acceptance of a job to its answer.");
  breaker_opened_ = &counter("quetzalspindle_breaker_opened_total",
                             "Times the circuit breaker opened.");
  breaker_closed_ = &counter("quetzalspindle_breaker_closed_total",
                             "Times the circuit breaker closed.");
  gave_way_ = &counter("quetzalspindle_jobs_gave_way_total",
                       "Held jobs that could not be on time any more.");
  rejected_weights_ = &counter("quetzalspindle_weights_rejected_total",
                               "Declared weights of queues not usable.");
  ignored_sums_ =
      &counter("quetzalspindle_interference_sums_ignored_total",
               "Impossible reports of run times beside neighbours.");
  interference_ =
      &prometheus::BuildGauge()
           .Name("quetzalspindle_interference_effect")
           .Help(
               "Logarithm of the slowdown of a queue's tasks beside a worker "
               "full of the neighbour's, while it is believed; otherwise 0.")
           .Register(*registry_);
  interference_error_ = &prometheus::BuildGauge()
                             .Name("quetzalspindle_interference_error")
                             .Help("Standard error of the effect.")
                             .Register(*registry_);
}

Metrics::ReasonTable Metrics::MakeReasonTable(const std::string& name,
                                              const std::string& help) {
  auto& family =
      prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
  ReasonTable table{};
  for (size_t value = 0; value < kReasonValues; ++value) {
    const Reason reason = ReasonFromWire(static_cast<uint8_t>(value));
    table[value] = &family.Add({{"reason", std::string(ReasonName(reason))}});
  }
  return table;
}

prometheus::Histogram* Metrics::MakeHistogram(const std::string& name,
                                              const std::string& help) {
  auto& family =
      prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
  return &family.Add({}, kSecondsBuckets);
}

prometheus::Gauge& Metrics::gauge(const std::string& name,
                                  const std::string& help) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(*registry_)
      .Add({});
}

prometheus::Counter& Metrics::counter(const std::string& name,
                                      const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(*registry_)
      .Add({});
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

std::vector<Metrics::ReasonCount> Metrics::ReasonCounts() const {
  std::vector<ReasonCount> counts;
  const auto collect = [&](const std::string& kind, const ReasonTable& table) {
    for (size_t value = 1; value < kReasonValues; ++value) {
      const Reason reason = ReasonFromWire(static_cast<uint8_t>(value));
      const double count = table[value]->Value();
      if (count == 0 || static_cast<size_t>(reason) != value) continue;
      counts.push_back({kind, std::string(ReasonName(reason)),
                        static_cast<uint64_t>(count)});
    }
  };
  collect("refusal", refusals_);
  collect("retry", retries_);
  collect("task", failures_);
  return counts;
}

void Metrics::ClientRefused(std::string_view reason) {
  clients_refused_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::OnRefused(Reason reason) {
  refusals_[static_cast<size_t>(reason)]->Increment();
}

void Metrics::OnRetried(Reason reason) {
  retries_[static_cast<size_t>(reason)]->Increment();
}

void Metrics::OnTaskEnded(Outcome outcome, Reason reason) {
  outcomes_[static_cast<size_t>(outcome)]->Increment();
  if (outcome != Outcome::kDone) {
    failures_[static_cast<size_t>(reason)]->Increment();
  }
}

void Metrics::OnJobEnded(JobState state, Millis age) {
  job_states_[static_cast<size_t>(state)]->Increment();
  job_seconds_->Observe(Seconds(age));
}

void Metrics::OnTaskStarted(Clock::duration queued) {
  queue_seconds_->Observe(Seconds(queued));
}

void Metrics::OnTaskRan(Clock::duration run_time) {
  run_seconds_->Observe(Seconds(run_time));
}

void Metrics::OnTaskPlaced(PlacementChoice choice) {
  placements_.at(static_cast<size_t>(choice))->Increment();
}

void Metrics::OnSpeedReportIgnored() { speed_reports_ignored_->Increment(); }

void Metrics::OnInterferenceChanged(const std::string& queue,
                                    const std::string& neighbour, double effect,
                                    double standard_error) {
  const prometheus::Labels pair = {{"queue", queue}, {"neighbour", neighbour}};
  interference_->Add(pair).Set(effect);
  interference_error_->Add(pair).Set(standard_error);
}

void Metrics::OnBreakerChanged(bool open) {
  (open ? breaker_opened_ : breaker_closed_)->Increment();
}

}  // namespace qs
