#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "held/admission.h"
#include "held/fair_shares.h"
#include "held/waiting_tasks.h"
#include "held/worker_table.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/held_job.h"

namespace qs {

struct BacklogForecastOptions {
  // Late tasks wait while the work that other entries report would take the
  // workers longer than this. About the time between two reports of a guard
  // that frees room.
  Millis others_backlog{25};
  // What the reports say is summed up again after this time, so that a decision
  // does not walk the workers each time. Below the interval of reports.
  Millis view_lifetime{5};
};

// What an entry expects of the fleet, from its own waiting tasks and what the
// guards report: work of other entries by urgency, work queued at guards, and
// free room. Reports that are not recent count as no work; a missing or old
// view of other entries leaves the decision to the entry's own backlog.
// Invariants: a view is at most `view_lifetime` old; free room is not part of
// it and is always looked up. The objects passed must outlive this one.
class BacklogForecast {
 public:
  BacklogForecast(const BacklogForecastOptions& options,
                  const WorkerTable* workers, const WaitingTasks* waiting,
                  const FairShares* shares)
      : options_(options),
        workers_(workers),
        waiting_(waiting),
        shares_(shares) {}

  // What admission needs to know about a job that has `objective` left and is
  // dispatched in the order of `order_by`.
  AdmissionInput InputFor(const QueueDeclaration& queue, const HeldJob& job,
                          Millis objective, Instant order_by,
                          Instant now) const;
  // Time until the work is done that waits now and can be on time.
  Millis WaitBehindAll(const std::string& service, Instant now) const;
  // Delay after which a caller may submit a refused job again.
  Millis RetryAfter(const std::string& service, Instant now) const;
  // Whether a task of this urgency may wait at a guard: the other entries
  // report no work that is more urgent.
  bool MayQueueAtGuards(const std::string& service, size_t urgency_band,
                        Instant now) const;
  // Whether late tasks may be dispatched: other entries report little work that
  // can still be on time.
  bool MayServeLate(const std::string& service, Instant now) const;

 private:
  // Sums over the workers of a service that reported recently.
  struct View {
    Instant at;
    int64_t delivered_cpu = 0;
    int64_t used_cpu = 0;
    uint64_t queued_work = 0;
    WorkByUrgency others{};  // Work that waits at other entries.
  };

  const View& ViewOf(const std::string& service, Instant now) const;
  // Work at all entries and guards that is dispatched before a task with this
  // `order_by`. Late tasks are no such work.
  uint64_t WorkAhead(const std::string& service, Instant order_by,
                     Instant now) const;
  // Estimated work that waits in a queue at all entries and guards. Other
  // entries report no queues, so the part that the queue has at this entry is
  // taken for theirs.
  uint64_t QueueWork(const QueueDeclaration& queue, Instant now) const;
  // The work that overtakes a job, judged by the queues' parts of the core-time
  // at this entry.
  std::vector<OvertakingWork> OvertakingOf(const std::string& service,
                                           Millis horizon, Instant now) const;
  uint64_t WorkInAll(const std::string& service, Instant now) const;
  // Whether the tasks that can start at once all fit into the free room.
  bool CanStartNow(const std::string& service, const std::string& queue,
                   const HeldJob& job, Millis objective, Instant now) const;

  BacklogForecastOptions options_;
  const WorkerTable* workers_;
  const WaitingTasks* waiting_;
  const FairShares* shares_;
  mutable std::map<std::string, View> views_;
};

}  // namespace qs
