// Runs the real home and executors through random sequences of events and
// faults, and checks every answer to a caller against the recorded starts at
// the backend servers. RapidCheck prints the seed; RC_PARAMS="seed=..." repeats
// a run.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "core_harness.h"

namespace qs::test {
namespace {

constexpr int kExecutors = 3;
constexpr int kJobs = 3;
constexpr int kTasks = 4;
constexpr uint32_t kMaxSlots = 4;
constexpr int kStepKinds = 19;

// The outcome of a task as a reference model states it: a single process that
// never loses any state.
Outcome ReferenceOutcome(int starts, bool ended_done) {
  if (starts == 0) return Outcome::kNotRun;
  return ended_done ? Outcome::kDone : Outcome::kFailed;
}

struct Run {
  CoreHarness harness{kExecutors};
  std::vector<uint64_t> sequences;
  std::vector<JobSpec> jobs;
  std::map<std::string, TaskResult> ended;

  Run() {
    for (int j = 0; j < kJobs; ++j) {
      sequences.push_back(harness.Mint());
      jobs.push_back(MakeJob("j" + std::to_string(j), kTasks));
    }
  }
};

// Applies one random step. `pick` selects one of the possibilities that the
// kind of step has at this point.
void Step(Run* run, int kind, size_t pick) {
  CoreHarness& h = run->harness;
  const int executor = static_cast<int>(pick % kExecutors);
  const size_t index = pick / kExecutors;
  const size_t job = pick % kJobs;
  const auto among = [&](size_t count) { return index % count; };
  switch (kind) {
    case 0:
      h.Submit(run->sequences[job], run->jobs[job]);
      break;
    case 1:
    case 2:
    case 3:
      if (const size_t n = h.InFlightTo(executor)) {
        h.DeliverTo(executor, among(n), kind == 3);
      }
      break;
    case 4:
    case 5:
    case 6:
      if (const size_t n = h.InFlightFrom(executor)) {
        h.DeliverFrom(executor, among(n), kind == 6);
      }
      break;
    case 7:
      if (const size_t n = h.InFlightTo(executor)) {
        h.LoseTo(executor, among(n));
      }
      break;
    case 8:
      if (const size_t n = h.InFlightFrom(executor)) {
        h.LoseFrom(executor, among(n));
      }
      break;
    case 9:
    case 10:
      if (const size_t n = h.Running(executor)) {
        const bool fails = pick % 7 == 0;
        h.EndTask(
            executor, among(n),
            fails ? TaskResult{Outcome::kFailed, Reason::kBackendRejected, {}}
                  : TaskResult{Outcome::kDone, Reason::kNone, {}});
      }
      break;
    case 11:
      h.Disconnect(executor);
      break;
    case 12:
      h.Reconnect(executor);
      break;
    case 13:
      if (pick % 4 == 0) h.CrashExecutor(executor);
      break;
    case 14:
      if (pick % 4 == 0) h.Cancel(run->sequences[job]);
      break;
    case 15:
      h.Advance(Millis(100 + 40 * static_cast<int>(index % 100)));
      break;
    case 16:
      h.executor(executor).SetDraining(pick % 2 == 0, h.now());
      h.Advance(Millis(10));
      break;
    case 17:
    case 18:
      h.SetSlots(executor, static_cast<uint32_t>(index % (kMaxSlots + 1)));
      break;
    default:
      break;
  }
}

// Checks the answer about a task against the crashes of backend servers.
void CheckCrashes(Run* run, const std::string& payload,
                  const TaskResult& result) {
  const auto& crashes = run->harness.crashes();
  const auto count = std::count_if(
      crashes.begin(), crashes.end(),
      [&](const auto& crashed) { return crashed.contains(payload); });
  RC_ASSERT(count <= 1);
  // Only what ran at a server that crashed is said to have been cut off by it,
  // and it is never said to have ended in another way.
  if (result.reason == Reason::kBackendDisconnected) RC_ASSERT(count == 1);
  if (count == 1) RC_ASSERT(result.outcome == Outcome::kUnknown);
  const bool is_deadly = run->harness.IsDeadly(payload);
  RC_ASSERT(!is_deadly || result.outcome != Outcome::kDone);
}

// Checks every answer that callers received for one submission.
void CheckSubmission(Run* run, size_t j) {
  CoreHarness& h = run->harness;
  const auto& answers = h.answers(run->sequences[j]);
  const JobAnswer* final_answer = nullptr;
  for (const JobAnswer& answer : answers) {
    if (answer.state == JobState::kRunning) continue;
    // All callers of one submission receive the same answer.
    if (final_answer != nullptr) {
      RC_ASSERT(answer.state == final_answer->state);
      RC_ASSERT(answer.results == final_answer->results);
    }
    final_answer = &answer;
  }
  if (final_answer == nullptr) return;
  const bool is_refused = final_answer->state == JobState::kRefused;
  const auto& results = final_answer->results;
  if (!is_refused) RC_ASSERT(results.size() == run->jobs[j].payloads.size());
  for (size_t t = 0; t < run->jobs[j].payloads.size(); ++t) {
    const std::string& payload = run->jobs[j].payloads[t];
    const auto found = h.starts().find(payload);
    const int starts = found == h.starts().end() ? 0 : found->second;
    RC_ASSERT(starts <= 1);
    const Outcome reported = is_refused ? Outcome::kNotRun : results[t].outcome;
    if (reported == Outcome::kNotRun) RC_ASSERT(starts == 0);
    CheckCrashes(run, payload,
                 is_refused ? TaskResult{Outcome::kNotRun, Reason::kNone, {}}
                            : results[t]);
    if (reported == Outcome::kDone || reported == Outcome::kFailed) {
      // The reference model gives the same outcome.
      RC_ASSERT(
          reported ==
          ReferenceOutcome(starts, reported == Outcome::kDone && starts == 1));
    }
    if (final_answer->state == JobState::kComplete) {
      RC_ASSERT(results[t].output == "done:" + payload);
    } else if (!is_refused) {
      RC_ASSERT(results[t].output.empty());
    }
  }
}

RC_GTEST_PROP(CorePropertyTest, AnswersAgreeWithTheNaiveVersion, ()) {
  Run run;
  for (const JobSpec& job : run.jobs) {
    run.harness.MakeDeadly(job.payloads.back());
  }
  const auto steps =
      *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
          rc::gen::inRange(0, kStepKinds), rc::gen::inRange(0, 10'000)));
  for (const auto& [kind, pick] : steps) {
    Step(&run, kind, static_cast<size_t>(pick));
    for (size_t j = 0; j < kJobs; ++j) CheckSubmission(&run, j);
    RC_ASSERT(run.harness.max_excess() == 0U);
  }
  // Without further faults, every submission that the home received is
  // answered.
  for (int i = 0; i < kExecutors; ++i) {
    run.harness.executor(i).SetDraining(false, run.harness.now());
    run.harness.SetSlots(i, kMaxSlots);
  }
  run.harness.Settle();
  run.harness.Advance(Millis(40'000));
  size_t unknown = 0;
  for (size_t j = 0; j < kJobs; ++j) {
    CheckSubmission(&run, j);
    for (const JobAnswer& answer : run.harness.answers(run.sequences[j])) {
      RC_ASSERT(answer.state != JobState::kRunning);
      for (const TaskResult& result : answer.results) {
        unknown += result.outcome == Outcome::kUnknown ? 1 : 0;
      }
    }
  }
  RC_CLASSIFY(unknown > 0, "some unknown");
  RC_CLASSIFY(!run.harness.crashes().empty(), "some crash");
  RC_ASSERT(run.harness.max_excess() == 0U);
  RC_ASSERT(run.harness.home().running_jobs() == 0U);
  RC_ASSERT(run.harness.home().waiting_tasks() == 0U);
}

// Without faults every answer must be complete.
RC_GTEST_PROP(CorePropertyTest, CompletesEveryJobWithoutFaults, ()) {
  Run run;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::element(0, 1, 2, 4, 5, 9, 10),
                    rc::gen::map(rc::gen::inRange(0, 1000),
                                 [](int x) { return x * 7 + 1; })));
  for (size_t j = 0; j < kJobs; ++j) {
    run.harness.Submit(run.sequences[j], run.jobs[j]);
  }
  for (const auto& [kind, pick] : steps) {
    if (kind == 9 || kind == 10) continue;  // Settle() ends the tasks.
    Step(&run, kind, static_cast<size_t>(pick));
  }
  run.harness.Settle();
  for (size_t j = 0; j < kJobs; ++j) {
    const auto& answers = run.harness.answers(run.sequences[j]);
    RC_ASSERT(!answers.empty());
    for (const JobAnswer& answer : answers) {
      RC_ASSERT(answer.state == JobState::kComplete);
    }
    CheckSubmission(&run, j);
  }
}

}  // namespace
}  // namespace qs::test
