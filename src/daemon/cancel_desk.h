#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/ids.h"
#include "quetzalspindle/time.h"
#include "wire/messages.h"

namespace prometheus {
class Counter;
}

namespace qs {

class CallerApi;
class HttpCall;
class JobScheduler;
class Node;
struct Kernel;

// Carries out the cancels of callers. Ends the job here, tells all other
// entries, and answers the caller once they have confirmed it. Used on the core
// thread only.
class CancelDesk {
 public:
  // All must outlive the object. `on_change` is called after a job may have
  // ended, so that its runs are stopped and its callers answered at once.
  CancelDesk(Kernel* kernel, JobScheduler* scheduler, Node* node,
             CallerApi* caller_api, std::function<void()> on_change);

  void OnCancel(const std::shared_ptr<HttpCall>& call, const std::string& job);
  // Another entry has connected, which may have forgotten all cancels.
  void OnEntrySession(uint64_t session, const Hello& hello);
  // Another entry tells of cancels. Returns the confirmation.
  JobCancelsSeen OnCancelsOfEntry(const JobCancels& cancels);
  // Another entry has confirmed cancels of this one.
  void OnConfirmed(Address entry, Incarnation incarnation,
                   const JobCancelsSeen& seen);
  void OnTimer(Instant now);

 private:
  struct OpenCall {
    std::shared_ptr<HttpCall> call;
    std::string job;
    uint64_t number = 0;  // Of the cancel.
    Instant received;
  };

  void TellEntries(Instant now);
  // Answers the calls whose cancel is confirmed or has waited long enough.
  void AnswerCalls(Instant now);

  Kernel* kernel_;
  JobScheduler* scheduler_;
  Node* node_;
  CallerApi* caller_api_;
  std::function<void()> on_change_;
  std::vector<OpenCall> open_calls_;
  prometheus::Counter* cancelled_;
  prometheus::Counter* unknown_;
  prometheus::Counter* unconfirmed_;
  prometheus::Counter* from_entries_;
};

}  // namespace qs
