#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "quetzalspindle/held_job.h"
#include "quetzalspindle/http_message.h"
#include "quetzalspindle/result.h"

namespace qs {

// What an entry knows of a job whose caller cancelled it.
enum class CancelResult : uint8_t {
  kCancelled,  // It was held and is ended.
  kNoSuchJob,  // No entry held it. It does not run when it is submitted later.
  kPassedOn    // As before, but not all entries have confirmed it yet.
};

// Translates held jobs and their answers from and to HTTP. Stateless; may be
// used from any thread.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Path of the health check by which a load balancer learns whether this
  // process accepts connections.
  virtual std::string readiness_path() const = 0;

  // `id` is the part of the request path after the queue's prefix.
  // `caller_timeout` is the queue's default timeout, used where the caller
  // states none. On failure, reports every fault found in the request. A job
  // whose caller does not wait for the answer, or that uses features which held
  // jobs do not have, is decoded with `is_unsupported` set.
  Checked<HeldJob> DecodeJob(const std::string& id, const HttpRequest& request,
                             Millis caller_timeout) const {
    return OnDecodeJob(id, request, caller_timeout);
  }
  HttpResponse EncodeAnswer(const HeldAnswer& answer) const {
    return OnEncodeAnswer(answer);
  }
  // Response to a query for the number of jobs of a queue none of whose tasks
  // has started yet.
  HttpResponse EncodePending(size_t jobs) const {
    return OnEncodePending(jobs);
  }
  // Response to a query for a job id that this process does not hold.
  HttpResponse EncodeNoSuchJob() const { return OnEncodeNoSuchJob(); }
  // Returns the id of the job that a request for this path cancels, or nothing
  // if the path ends in no id.
  std::string CancelledJob(const std::string& path) const {
    return OnCancelledJob(path);
  }
  HttpResponse EncodeCancelled(CancelResult result) const {
    return OnEncodeCancelled(result);
  }

 private:
  virtual Checked<HeldJob> OnDecodeJob(const std::string& id,
                                       const HttpRequest& request,
                                       Millis caller_timeout) const = 0;
  virtual HttpResponse OnEncodeAnswer(const HeldAnswer& answer) const = 0;
  virtual HttpResponse OnEncodePending(size_t jobs) const = 0;
  virtual HttpResponse OnEncodeNoSuchJob() const = 0;
  virtual std::string OnCancelledJob(const std::string& path) const = 0;
  virtual HttpResponse OnEncodeCancelled(CancelResult result) const = 0;
};

}  // namespace qs
