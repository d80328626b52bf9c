#pragma once

#include <cstddef>
#include <string>

#include "quetzalspindle/held_job.h"
#include "quetzalspindle/http_message.h"
#include "quetzalspindle/result.h"

namespace qs {

// Translates held jobs and their answers from and to HTTP. Stateless, for any
// thread.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Where a balancer asks whether this process takes connections.
  virtual std::string readiness_path() const = 0;

  // `id` is the path behind the queue's prefix, `patience` what the queue
  // declares for callers that state none. Fails with every fault of the
  // request. A job whose answer is not awaited, or with features that held jobs
  // lack, decodes to one with `is_unsupported` set.
  Checked<HeldJob> DecodeJob(const std::string& id, const HttpRequest& request,
                             Millis caller_timeout) const {
    return OnDecodeJob(id, request, caller_timeout);
  }
  HttpResponse EncodeAnswer(const HeldAnswer& answer) const {
    return OnEncodeAnswer(answer);
  }
  // How many jobs of a queue wait for their first start.
  HttpResponse EncodePending(size_t jobs) const {
    return OnEncodePending(jobs);
  }
  // No job stands under the id that was asked for.
  HttpResponse EncodeNoSuchJob() const { return OnEncodeNoSuchJob(); }

 private:
  virtual Checked<HeldJob> OnDecodeJob(const std::string& id,
                                       const HttpRequest& request,
                                       Millis caller_timeout) const = 0;
  virtual HttpResponse OnEncodeAnswer(const HeldAnswer& answer) const = 0;
  virtual HttpResponse OnEncodePending(size_t jobs) const = 0;
  virtual HttpResponse OnEncodeNoSuchJob() const = 0;
};

}  // namespace qs
