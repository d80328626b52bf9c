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
#include "core/minter.h"
#include "core/placement_policy.h"
#include "quetzalspindle/ids.h"
#include "wire/messages.h"

namespace qs {

class Observer;

struct HomeOptions {
  Incarnation self;  // Of the executor in the same process.
  std::string zone;
  uint32_t queue_per_slot = 0;  // Grants beyond the slots of an executor.
  uint32_t max_waiting_tasks = 20'000;  // Further jobs are refused.
  uint32_t max_jobs = 20'000;
  uint32_t max_mint = 10'000;  // Sequences in one request.
  Millis max_deadline{600'000};
  Millis id_lifetime{600'000};
  Millis answer_retention{60'000};
  uint64_t max_answer_bytes = 64ULL << 20U;  // Kept answers, oldest go first.
  Millis final_reply_grace{
      500};                 // For replies after a deadline or cancellation.
  Millis lost_after{5000};  // A cut-off executor's grants become unknown.
  Millis status_request_interval{5000};  // An unanswered grant is asked for.
  Millis retry_after{1000};              // Told to callers with a refusal.
  bool needs_configuration = false;      // Refuses jobs until one is known.
  Millis service_retention{
      600'000};  // A vanished service counts as coming back.
};

// Who waits for the answer of a submission.
struct Waiter {
  uint64_t session = 0;  // The connection that the request came by.
  uint64_t request = 0;
  Instant reply_at;  // A progress report goes out then.
};

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
  std::string state;  // waiting, granted, or the outcome.
  Reason reason = Reason::kNone;
  uint32_t attempts = 0;
  Address executor;  // Of the open grant.
};

// Owns the submissions minted by this process incarnation. It alone grants
// their tasks, to one executor incarnation at a time, and grants a task again
// only after that executor answered "not run". No I/O, no threads: events in,
// actions out through TakeActions.
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

  // The members changed or a load report came by gossip.
  void OnMember(const MemberRecord& record, bool is_live, Instant now);
  // A connection to an executor stands; it answered with this incarnation.
  void OnExecutorUp(Address address, Incarnation executor, Instant now);
  // The connection broke. Nothing is decided by that.
  void OnExecutorCutOff(Incarnation executor, Instant now);
  // The incarnation has ended for certain.
  void OnExecutorGone(Incarnation executor, Instant now);
  void OnReplies(Incarnation executor, GrantReplies replies, Instant now);

  // Puts the operators' declarations in force, for jobs from now on.
  void SetDeclarations(Declarations declarations);
  // The members were read at least once, so an absent service is a fact.
  void SetWarm() { is_warm_ = true; }
  // Takes no new submissions; those accepted run on.
  void Stop() { stopping_ = true; }
  void OnTimer(Instant now);

  std::vector<HomeAction> TakeActions();

  size_t waiting_tasks() const { return waiting_tasks_; }
  size_t running_jobs() const { return running_jobs_; }
  // Whether every answer was sent to somebody who waited for it.
  bool AllDelivered() const { return undelivered_ == 0; }
  std::vector<JobRow> Jobs(Instant now) const;
  std::vector<TaskRow> Tasks(uint64_t sequence) const;

 private:
  enum class Phase : uint8_t { kWaiting, kGranted, kEnded };

  struct Task {
    Phase phase = Phase::kWaiting;
    bool reported_running = false;  // The executor said so of the open grant.
    uint32_t attempts = 0;
    GrantNumber grant = 0;
    TaskResult result;
  };

  struct Job {
    uint64_t sequence = 0;
    uint64_t digest = 0;
    JobSpec spec;
    std::vector<Task> tasks;
    uint32_t open_tasks = 0;  // Tasks that have not ended.
    JobState state = JobState::kRunning;
    Reason reason = Reason::kNone;
    Reason stop_reason = Reason::kNone;  // Why no more tasks start.
    Instant accepted;
    Instant deadline;
    Instant finish_by;  // When stopping: open tasks become unknown then.
    Instant ended;
    bool delivered = false;
    uint64_t answer_bytes = 0;
    std::vector<Waiter> waiters;
  };

  struct OpenGrant {
    TaskRef task;
    Incarnation executor;
    Instant granted;
    Instant last_status_request;  // When granted or last asked for.
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
  bool is_warm_ = false;
  bool is_configured_ = false;
  Declarations declarations_;
  std::map<std::string, size_t> open_tasks_;  // Of each team.
  bool stopping_ = false;
  GrantNumber next_grant_ = 1;
  size_t waiting_tasks_ = 0;
  size_t running_jobs_ = 0;
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
