#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/backlog.h"
#include "core/declarations.h"
#include "core/demand.h"
#include "core/executor_table.h"
#include "core/memory_budget.h"
#include "core/minter.h"
#include "core/placement_policy.h"
#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

class Observer;

struct HomeOptions {
  Incarnation self;  // Incarnation of this process, home and executor alike.
  std::string zone;
  // Grants that may be queued at an executor for each of its slots.
  uint32_t queue_per_slot = 0;
  // A job is refused if it would exceed the limit on waiting tasks or on
  // running jobs.
  uint32_t max_waiting_tasks = 20'000;
  uint32_t max_jobs = 20'000;
  // Memory of the running jobs, by an upper estimate of each before it is held.
  size_t max_job_bytes = size_t{64} << 20U;
  uint32_t max_mint = 10'000;    // Submission ids given out per request.
  Millis max_deadline{600'000};  // Longer job deadlines are shortened to this.
  // An id under which no job is submitted for this time is retired.
  Millis id_lifetime{600'000};
  // Answers of ended jobs are kept for this time. When they exceed
  // `max_answer_bytes` in total, the oldest are dropped earlier.
  Millis answer_retention{60'000};
  uint64_t max_answer_bytes = 64ULL << 20U;
  // After a deadline or a cancellation, executors have this time to reply.
  // Tasks that are still open then end as unknown.
  Millis final_reply_grace{500};
  // The open grants of an executor that has been unreachable for this time end
  // as unknown.
  Millis unreachable_executor_timeout{5000};
  // The state of a grant is requested when it has been open for this time, and
  // again after each further such time.
  Millis status_request_interval{5000};
  Millis retry_after{1000};  // Sent to callers with temporary refusals.
  // Whether jobs are refused until a configuration has been received.
  bool needs_configuration = false;
  Millis service_retention{600'000};  // See ExecutorTableOptions.
};

// A caller's request that waits for the answer of a submission.
struct Waiter {
  uint64_t session = 0;  // The connection of the request.
  uint64_t request = 0;
  Instant reply_at;  // When to reply if the job still runs then.
};

// Actions of a home: send grants to an executor, request the state of grants
// from it or withdraw them, and reply to a caller.
struct SendGrants {
  Incarnation executor;
  GrantBatch batch;
};
struct SendAsk {
  Incarnation executor;
  AskBatch ask;
};
struct SendAnswer {
  uint64_t session = 0;
  JobReply reply;
};
using HomeAction = std::variant<SendGrants, SendAsk, SendAnswer>;

// One line of an operator's job list.
struct JobRow {
  uint64_t sequence = 0;
  std::string team;
  std::string service;
  std::string label;
  JobState state = JobState::kRunning;
  Reason reason = Reason::kNone;
  Millis age{0};
  uint32_t tasks = 0;
  uint32_t waiting = 0;
  uint32_t granted = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t not_run = 0;
  uint32_t unknown = 0;
};

// One line of an operator's task list.
struct TaskRow {
  uint64_t sequence = 0;
  uint32_t task = 0;
  std::string state;  // waiting, granted, running, or the outcome.
  Reason reason = Reason::kNone;
  uint32_t attempts = 0;
  Address executor;  // Executor of the open grant, if any.
};

// Owns the submissions whose ids this process incarnation gave out, and is the
// only one to grant their tasks to executors. A task is granted to one executor
// incarnation at a time, and is granted again only after that executor answered
// "not run". Does no I/O and uses no threads: callers pass in events and fetch
// the resulting actions with TakeActions.
class Home {
 public:
  // `observer` must outlive the home.
  static std::unique_ptr<Home> Make(const HomeOptions& options,
                                    std::unique_ptr<PlacementPolicy> policy,
                                    Observer* observer, uint32_t seed);

  MintReply OnMint(const MintRequest& request, Instant now);
  void OnSubmit(uint64_t session, SubmitRequest request, Instant now);
  void OnQuery(uint64_t session, const QueryRequest& request, Instant now);
  void OnCancel(uint64_t session, const CancelRequest& request, Instant now);
  void OnSessionClosed(uint64_t session);

  // A member changed, or gossip delivered a new load report of it.
  void OnMember(const MemberRecord& record, bool is_live, Instant now);
  // A connection to an executor was established; the executor identified itself
  // with this incarnation.
  void OnExecutorConnected(Address address, Incarnation executor, Instant now);
  // The connection to an executor broke. Its tasks do not end by this alone: it
  // may reconnect before `unreachable_executor_timeout`.
  void OnExecutorDisconnected(Incarnation executor, Instant now);
  // The incarnation has certainly terminated. Its open grants end as unknown.
  void OnExecutorTerminated(Incarnation executor, Instant now);
  void OnReplies(Incarnation executor, GrantReplies replies, Instant now);

  // Applies the operators' declarations to jobs submitted from now on.
  void SetDeclarations(Declarations declarations);
  // The members have been received at least once. From now on a service that no
  // member offers is known not to exist.
  void SetMembersKnown() { are_members_known_ = true; }
  // Refuses new submissions from now on. Accepted jobs continue.
  void Stop() { stopping_ = true; }
  void OnTimer(Instant now);

  std::vector<HomeAction> TakeActions();

  size_t waiting_tasks() const { return waiting_tasks_; }
  size_t running_jobs() const { return running_jobs_; }
  // Whether the answer of every ended job that is still kept was sent to a
  // caller.
  bool AllDelivered() const { return undelivered_ == 0; }
  std::vector<JobRow> Jobs(Instant now) const;
  std::vector<TaskRow> Tasks(uint64_t sequence) const;

 private:
  enum class Phase : uint8_t { kWaiting, kGranted, kEnded };

  struct Task {
    Phase phase = Phase::kWaiting;
    // Whether the executor last reported the open grant as running.
    bool reported_running = false;
    uint32_t attempts = 0;
    GrantNumber grant = 0;
    TaskResult result;
  };

  struct Job {
    uint64_t sequence = 0;
    uint64_t digest = 0;
    JobSpec spec;
    std::vector<Task> tasks;
    uint32_t open_tasks = 0;  // Tasks not ended.
    JobState state = JobState::kRunning;
    Reason reason = Reason::kNone;
    Reason stop_reason = Reason::kNone;  // If set, no further task starts.
    Instant accepted;
    Instant deadline;
    Instant finish_by;  // Open tasks end as unknown then.
    Instant ended;
    bool delivered = false;
    MemoryBudget::Share memory;  // While it is running.
    uint64_t answer_bytes = 0;
    std::vector<Waiter> waiters;
  };

  struct OpenGrant {
    TaskRef task;
    Incarnation executor;
    Instant granted;
    Instant last_status_request;  // Or the time of the grant.
  };

  Home(const HomeOptions& options, std::unique_ptr<PlacementPolicy> policy,
       Observer* observer, uint32_t seed);

  Reason HomeRefusal() const;
  Reason AdmissionRefusal(const JobSpec& job) const;
  Reason DeclarationRefusal(const JobSpec& job) const;
  Reason MissingJobReason(uint64_t sequence) const;
  static Demand DemandOf(const JobSpec& job);
  void Admit(uint64_t sequence, SubmitRequest request, Instant now);
  void RefusePermanently(uint64_t sequence, const SubmitRequest& request,
                         Reason reason, Instant now);
  void AnswerRefusal(uint64_t session, uint64_t request, Reason reason);
  void AttachWaiter(Job* job, const Waiter& waiter, Instant now);
  void Deliver(Job* job, const Waiter& waiter);
  static JobAnswer AnswerOf(const Job& job);

  void Dispatch(Instant now);
  bool DispatchNext(const Demand& demand, Backlog* backlog, Instant now);
  void GrantTo(Incarnation incarnation, ExecutorEntry* executor, TaskRef ref,
               Instant now);
  GrantNumber WatermarkOf(const ExecutorEntry& executor) const;

  void OnStatus(Incarnation executor, GrantStatus status, Instant now);
  void CloseGrant(GrantNumber number);
  void RequeueTask(TaskRef ref, Reason reason, Instant now);
  void EndTask(Job* job, uint32_t index, TaskResult result, Instant now);
  void StopJob(Job* job, Reason reason, Instant now);
  void AbandonOpenTasks(Job* job, Instant now);
  void FinishJob(Job* job, Instant now);
  void MarkGrantsUnknown(Incarnation executor, Reason reason, Instant now);
  void RequestStatus(Incarnation executor, std::vector<GrantNumber> numbers,
                     bool withdraw);

  void CheckDeadlines(Instant now);
  void CheckWaiters(Instant now);
  void CheckExecutors(Instant now);
  void RetireAnswers(Instant now);

  HomeOptions options_;
  Observer* observer_;
  ExecutorTable executors_;
  Minter minter_;
  bool are_members_known_ = false;
  bool is_configured_ = false;
  Declarations declarations_;
  std::map<std::string, size_t> open_tasks_;  // Tasks not ended, by team.
  bool stopping_ = false;
  GrantNumber next_grant_ = 1;
  size_t waiting_tasks_ = 0;
  size_t running_jobs_ = 0;
  MemoryBudget job_budget_;
  size_t undelivered_ = 0;
  uint64_t kept_answer_bytes_ = 0;
  std::unordered_map<uint64_t, Job> jobs_;
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  std::set<std::pair<Instant, uint64_t>> waiter_timeouts_;
  std::deque<uint64_t> ended_jobs_;  // Oldest first.
  std::map<Demand, Backlog> backlogs_;
  std::unordered_map<GrantNumber, OpenGrant> grants_;
  std::vector<HomeAction> actions_;
};

}  // namespace qs
