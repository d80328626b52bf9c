#include "held/admission.h"

#include <algorithm>

#include "quetzalspindle/held_job.h"

namespace qs {
namespace {

constexpr Millis kShortestRetry{1000};  // Retry-After is in whole seconds.
constexpr Millis kNoWorkerRetry{2000};  // About one heartbeat of a worker.
// Share of the slack that the predicted wait may use. The rest covers estimates
// of work that are off by about ten percent, and capacity that becomes free in
// pieces.
constexpr int kSlackPercent = 70;

Millis TimeFor(uint64_t work, int64_t cpu_millis) {
  return Millis(static_cast<int64_t>(work) * kCpuMillisPerCore /
                std::max<int64_t>(cpu_millis, 1));
}

}  // namespace

AdmissionVerdict JudgeAdmission(const AdmissionInput& input) {
  AdmissionVerdict verdict;
  if (input.serving_cpu <= 0) {
    verdict.refusal = Reason::kNoGuardAvailable;
    verdict.retry_after = kNoWorkerRetry;
    return verdict;
  }
  if (input.has_free_capacity) return verdict;
  verdict.predicted_wait =
      TimeFor(input.work_ahead + input.job_work, input.serving_cpu);
  const Millis slack =
      std::max(input.objective - input.critical_path, Millis(0));
  if (verdict.predicted_wait > slack * kSlackPercent / 100) {
    verdict.refusal = Reason::kWouldEndTooLate;
    verdict.retry_after =
        std::max(kShortestRetry, TimeFor(input.work_total, input.serving_cpu));
  }
  return verdict;
}

}  // namespace qs
