#include "held/admission.h"

#include <algorithm>

#include "quetzalspindle/held_job.h"

namespace qs {
namespace {

constexpr Millis kShortestRetry{1000};  // Retry-After is in whole seconds.
constexpr Millis kLongestRetry{30'000};
constexpr Millis kNoWorkerRetry{2000};  // About one heartbeat of a worker.
// Share of the slack that the predicted wait may use. The rest covers estimates
// of work that are off by about ten percent, and capacity that becomes free in
// pieces.
constexpr int kSlackPercent = 70;
constexpr int kForecastRounds = 6;

// More urgent work arrives while a job waits, the more the longer it waits. The
// forecast starts from the most that can overtake the job and approaches the
// fixed point from above.
Millis WaitByUrgency(const AdmissionInput& input) {
  const uint64_t own = input.work_ahead + input.job_work;
  Millis wait = Millis::max();
  for (int round = 0; round < kForecastRounds; ++round) {
    uint64_t work = own;
    for (const OvertakingWork& other : input.overtaking) {
      const Millis span = std::min(wait, other.lead);
      work +=
          static_cast<uint64_t>(other.cpu * span.count()) / kCpuMillisPerCore;
    }
    wait = TimeToDo(work, input.delivered_cpu);
  }
  return wait;
}

Millis PredictedWait(const AdmissionInput& input) {
  const Millis by_urgency = WaitByUrgency(input);
  const auto guaranteed_cpu = static_cast<int64_t>(
      static_cast<double>(input.delivered_cpu) * input.guarantee);
  if (guaranteed_cpu <= 0) return by_urgency;
  return std::min(by_urgency,
                  TimeToDo(input.queue_work + input.job_work, guaranteed_cpu));
}

}  // namespace

Millis TimeToDo(uint64_t work, int64_t cpu_millis) {
  if (cpu_millis <= 0) return Millis(0);
  // Bounded so that the product stays in range.
  const uint64_t bounded = std::min(work, kMaxReportedWork);
  return Millis(static_cast<int64_t>(bounded) * kCpuMillisPerCore / cpu_millis);
}

Millis RetryAfterBacklog(uint64_t work, int64_t cpu_millis) {
  if (cpu_millis <= 0) return kNoWorkerRetry;
  const Millis time = TimeToDo(work, cpu_millis);
  const auto whole = std::chrono::ceil<std::chrono::seconds>(time);
  return std::clamp<Millis>(whole, kShortestRetry, kLongestRetry);
}

AdmissionVerdict JudgeAdmission(const AdmissionInput& input) {
  AdmissionVerdict verdict;
  if (input.delivered_cpu <= 0) {
    verdict.refusal = Reason::kNoGuardAvailable;
    verdict.retry_after = kNoWorkerRetry;
    return verdict;
  }
  if (input.can_start_now) return verdict;
  verdict.predicted_wait = PredictedWait(input);
  const Millis slack =
      std::max(input.objective - input.critical_path, Millis(0));
  if (verdict.predicted_wait <= slack * kSlackPercent / 100) return verdict;
  verdict.refusal = Reason::kWouldEndTooLate;
  verdict.retry_after =
      RetryAfterBacklog(input.work_total, input.delivered_cpu);
  return verdict;
}

}  // namespace qs
