#include "held/loss_recorder.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "held/decision_log.h"

namespace qs {
namespace {

std::string_view LossEvidenceName(LossEvidence evidence) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "connection_refused", "other_incarnation", "other_answered",
      "answered_again",     "draining",          "withdrawn"};
  return kNames.at(static_cast<size_t>(evidence));
}

std::string JoinTasks(const std::vector<std::string>& tasks) {
  std::string text;
  for (const std::string& task : tasks) {
    if (!text.empty()) text += ',';
    text += task;
  }
  return text;
}

}  // namespace

LossRecorder::LossRecorder(const LossRecorderOptions& options, DecisionLog* log)
    : options_(options), log_(log) {}

void LossRecorder::Suspect(const WorkerIncarnation& worker,
                           const std::vector<LostRun>& runs,
                           LossEvidence evidence, Instant now) {
  if (runs.empty() || worker.started_at == 0) return;
  auto suspicion = std::find_if(
      suspicions_.begin(), suspicions_.end(),
      [&](const Suspicion& other) { return other.worker == worker; });
  if (suspicion == suspicions_.end()) {
    if (suspicions_.size() >= options_.max_losses) suspicions_.pop_front();
    suspicions_.push_back({worker, now, {}, {}, {}});
    suspicion = std::prev(suspicions_.end());
  }
  const size_t known = suspicion->runs.size();
  for (const auto& [run, is_confirmed] : runs) {
    if (std::find(suspicion->runs.begin(), suspicion->runs.end(), run) !=
        suspicion->runs.end()) {
      continue;
    }
    suspicion->runs.push_back(run);
    suspicion->open_runs.push_back(run);
    if (is_confirmed) suspicion->confirmed_runs.push_back(run);
  }
  if (suspicion->runs.size() == known) return;
  log_->Record("worker_loss_suspected",
               {{"worker", worker.id},
                {"started_at", Text(worker.started_at)},
                {"tasks", JoinTasks(TasksOf(suspicion->runs))},
                {"evidence", std::string(LossEvidenceName(evidence))}});
}

bool LossRecorder::IsSuspected(const WorkerIncarnation& worker) const {
  return std::any_of(
      suspicions_.begin(), suspicions_.end(),
      [&](const Suspicion& other) { return other.worker == worker; });
}

void LossRecorder::RemoveRun(const TaskAttempt& run) {
  for (Suspicion& suspicion : suspicions_) {
    std::erase(suspicion.runs, run);
    std::erase(suspicion.confirmed_runs, run);
    std::erase(suspicion.open_runs, run);
  }
  std::erase_if(suspicions_,
                [](const Suspicion& other) { return other.runs.empty(); });
}

void LossRecorder::OnRunEnded(const TaskAttempt& run) {
  for (Suspicion& suspicion : suspicions_) {
    std::erase(suspicion.open_runs, run);
  }
}

void LossRecorder::OnAnswer(uint64_t started_at, Instant sent, Instant now) {
  if (started_at == 0) return;
  std::erase_if(suspicions_, [&](const Suspicion& suspicion) {
    const bool is_other = suspicion.worker.started_at != started_at;
    // An answer that was under way when the loss began does not refute it.
    const bool is_resolved =
        is_other ? suspicion.open_runs.empty() : sent >= suspicion.began_at;
    if (is_resolved) {
      Resolve(suspicion, is_other,
              is_other ? LossEvidence::kOtherAnswered
                       : LossEvidence::kAnsweredAgain,
              now);
    }
    return is_resolved;
  });
}

void LossRecorder::OnLeave(const WorkerIncarnation& worker,
                           LossEvidence evidence, Instant now) {
  std::erase_if(suspicions_, [&](const Suspicion& suspicion) {
    const bool is_same = suspicion.worker.id == worker.id &&
                         (worker.started_at == 0 ||
                          suspicion.worker.started_at == worker.started_at);
    if (is_same) Resolve(suspicion, false, evidence, now);
    return is_same;
  });
}

void LossRecorder::Expire(Instant now) {
  std::erase_if(resolved_, [&](const Resolved& resolved) {
    return now - resolved.resolved_at > options_.lifetime;
  });
  std::erase_if(suspicions_, [&](const Suspicion& suspicion) {
    const bool is_expired = now - suspicion.began_at > options_.lifetime;
    if (is_expired) {
      log_->Record("worker_loss_unresolved",
                   {{"worker", suspicion.worker.id},
                    {"started_at", Text(suspicion.worker.started_at)},
                    {"age_ms", Text(Elapsed(suspicion.began_at, now))}});
    }
    return is_expired;
  });
}

std::vector<WorkerLoss> LossRecorder::ResolvedAfter(uint64_t number) const {
  std::vector<WorkerLoss> losses;
  for (const Resolved& resolved : resolved_) {
    if (resolved.number > number) losses.push_back(resolved.loss);
  }
  return losses;
}

std::vector<std::string> LossRecorder::TasksOf(
    const std::vector<TaskAttempt>& runs) {
  std::vector<std::string> tasks;
  tasks.reserve(runs.size());
  for (const auto& [task, attempt] : runs) tasks.push_back(task);
  std::sort(tasks.begin(), tasks.end());
  tasks.erase(std::unique(tasks.begin(), tasks.end()), tasks.end());
  return tasks;
}

void LossRecorder::Resolve(const Suspicion& suspicion, bool has_crashed,
                           LossEvidence evidence, Instant now) {
  WorkerLoss loss{suspicion.worker.started_at,
                  has_crashed,
                  TasksOf(suspicion.confirmed_runs),
                  {},
                  ++last_number_};
  const std::vector<std::string> all = TasksOf(suspicion.runs);
  std::set_difference(all.begin(), all.end(), loss.tasks.begin(),
                      loss.tasks.end(),
                      std::back_inserter(loss.unconfirmed_tasks));
  log_->Record("worker_loss_resolved",
               {{"worker", suspicion.worker.id},
                {"started_at", Text(loss.started_at)},
                {"tasks", JoinTasks(loss.tasks)},
                {"unconfirmed", JoinTasks(loss.unconfirmed_tasks)},
                {"has_crashed", has_crashed ? "yes" : "no"},
                {"evidence", std::string(LossEvidenceName(evidence))},
                {"age_ms", Text(Elapsed(suspicion.began_at, now))}});
  if (resolved_.size() >= options_.max_losses) resolved_.pop_front();
  resolved_.push_back({last_number_, now, std::move(loss)});
}

}  // namespace qs
