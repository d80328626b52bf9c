#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "core/observer.h"

namespace qs {

// The process's metrics. Counting is safe from any thread and takes no lock.
class Metrics final : public Observer {
 public:
  Metrics();

  // The text exposition format of Prometheus.
  std::string Serialize() const;
  // A counter above zero: the number of refusals, retries or failed tasks with
  // one reason. `kind` is "refusal", "retry" or "task".
  struct ReasonCount {
    std::string kind;
    std::string reason;
    uint64_t count = 0;
  };
  std::vector<ReasonCount> ReasonCounts() const;

  // Counts a client that was refused before its request was handled.
  void ClientRefused(std::string_view reason);

  prometheus::Gauge& gauge(const std::string& name, const std::string& help);
  prometheus::Counter& counter(const std::string& name,
                               const std::string& help);

 private:
  static constexpr size_t kReasonValues = 256;
  using ReasonTable = std::array<prometheus::Counter*, kReasonValues>;

  void OnRefused(Reason reason) override;
  void OnRetried(Reason reason) override;
  void OnTaskEnded(Outcome outcome, Reason reason) override;
  void OnJobEnded(JobState state, Millis age) override;
  void OnTaskStarted(Clock::duration queued) override;
  void OnTaskRan(Clock::duration run_time) override;
  void OnTaskPlaced(PlacementChoice choice) override;
  void OnSpeedReportIgnored() override;
  void OnBreakerChanged(bool open) override;
  void OnInterferenceSumsIgnored() override { ignored_sums_->Increment(); }
  void OnInterferenceChanged(const std::string& queue,
                             const std::string& neighbour, double effect,
                             double standard_error) override;
  void OnJobGaveWay() override { gave_way_->Increment(); }
  void OnWeightsRejected(size_t queues) override {
    rejected_weights_->Increment(static_cast<double>(queues));
  }

  ReasonTable MakeReasonTable(const std::string& name, const std::string& help);
  prometheus::Histogram* MakeHistogram(const std::string& name,
                                       const std::string& help);

  std::shared_ptr<prometheus::Registry> registry_;
  ReasonTable refusals_{};
  ReasonTable retries_{};
  ReasonTable failures_{};
  prometheus::Family<prometheus::Counter>* clients_refused_ = nullptr;
  std::array<prometheus::Counter*, 4> outcomes_{};
  std::array<prometheus::Counter*, 4> job_states_{};
  std::array<prometheus::Counter*, kPlacementChoices> placements_{};
  prometheus::Counter* speed_reports_ignored_ = nullptr;
  prometheus::Histogram* queue_seconds_ = nullptr;
  prometheus::Histogram* run_seconds_ = nullptr;
  prometheus::Histogram* job_seconds_ = nullptr;
  prometheus::Counter* breaker_opened_ = nullptr;
  prometheus::Counter* breaker_closed_ = nullptr;
  prometheus::Counter* gave_way_ = nullptr;
  prometheus::Counter* rejected_weights_ = nullptr;
  prometheus::Counter* ignored_sums_ = nullptr;
  prometheus::Family<prometheus::Gauge>* interference_ = nullptr;
  prometheus::Family<prometheus::Gauge>* interference_error_ = nullptr;
};

}  // namespace qs
