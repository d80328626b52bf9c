#include "http/job_json.h"

#include <nlohmann/json.hpp>

#include "http/base64.h"
#include "http/object_reader.h"

namespace qs {
namespace {

using nlohmann::json;

int HttpStatus(Reason reason) {
  switch (reason) {
    case Reason::kMalformedRequest:
    case Reason::kTooManyTasks:
    case Reason::kOneShotNotRepeatable:
    case Reason::kIdMalformed:
      return 400;
    case Reason::kBodyTooLarge:
    case Reason::kJobTooLarge:
      return 413;
    case Reason::kNotFound:
    case Reason::kNotHandedIn:
    case Reason::kIdNotMinted:
      return 404;
    case Reason::kContentConflict:
      return 409;
    case Reason::kIdRetired:
    case Reason::kHomeLost:
      return 410;
    case Reason::kNoSuchService:
    case Reason::kConstraintUnmet:
    case Reason::kUnknownTeam:
    case Reason::kDeadlineTooLong:
    case Reason::kOverQuotaForGood:
      return 422;
    case Reason::kTeamQuota:
      return 429;
    case Reason::kCancelled:
      return 409;
    default:
      return 503;
  }
}

std::string_view OutcomeOfRefusal(Reason reason) {
  switch (DispositionOf(reason)) {
    case Disposition::kUnknown:
      return "unknown";
    case Disposition::kFailed:
      return "failed";
    default:
      return "not_run";
  }
}

void ReadTask(const json& task, size_t index, JobSpec* job,
              ObjectReader* reader) {
  const std::string place = "tasks/" + std::to_string(index);
  if (task.is_string()) {
    job->payloads.push_back(task.get<std::string>());
    return;
  }
  const bool is_encoded = task.is_object() && task.size() == 1 &&
                          task.contains("base64") && task["base64"].is_string();
  if (!is_encoded) {
    reader->Add(place, R"(must be a string or {"base64": "..."})");
    return;
  }
  Result<std::string> bytes = DecodeBase64(task["base64"].get<std::string>());
  if (!bytes) {
    reader->Add(place + "/base64", "is not base64");
    return;
  }
  job->payloads.push_back(std::move(*bytes));
}

void ReadTasks(JobSpec* job, ObjectReader* reader) {
  const json* tasks = reader->Member("tasks");
  if (tasks == nullptr || !tasks->is_array() || tasks->empty()) {
    reader->Add("tasks", "must be an array of at least one task");
    return;
  }
  if (tasks->size() > kMaxTasksPerJob) {
    reader->Add("tasks", "holds " + std::to_string(tasks->size()) +
                             " tasks; the limit is " +
                             std::to_string(kMaxTasksPerJob));
    return;
  }
  job->payloads.reserve(tasks->size());
  for (size_t i = 0; i < tasks->size(); ++i) {
    ReadTask((*tasks)[i], i, job, reader);
  }
}

void ReadOnFailure(JobSpec* job, ObjectReader* reader) {
  const std::string text = reader->Text("on_failure", false);
  if (text.empty() || text == "stop") return;
  if (text == "finish") {
    job->on_failure = OnFailure::kFinish;
  } else {
    reader->Add("on_failure", R"(must be "stop" or "finish")");
  }
}

bool IsUtf8(const std::string& text) {
  // The JSON library checks UTF-8 in its strict serializer, which throws on
  // invalid text.
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

json OutputJson(const std::string& output) {
  if (IsUtf8(output)) return output;
  return {{"base64", EncodeBase64(output)}};
}

json ResultsJson(const JobAnswer& answer) {
  json results = json::array();
  for (const TaskResult& result : answer.results) {
    if (answer.state == JobState::kComplete) {
      results.push_back(OutputJson(result.output));
      continue;
    }
    json row = {{"outcome", OutcomeName(result.outcome)}};
    if (result.reason != Reason::kNone) {
      row["reason"] = ReasonName(result.reason);
    }
    results.push_back(std::move(row));
  }
  return results;
}

}  // namespace

Checked<JobSpec> ParseJob(const std::string& body) {
  const Checked<json> document = ParseObject(body);
  if (!document) return tl::unexpected(document.error());
  Findings findings;
  ObjectReader reader(*document, &findings);
  JobSpec job;
  job.team = reader.Text("team", true);
  job.service = reader.Text("service", true);
  job.label = reader.Text("label", false);
  job.zone = reader.Text("zone", false);
  job.worker_kind = reader.Text("worker_kind", false);
  job.deadline = reader.Duration("deadline_ms", job.deadline);
  job.repeatable = reader.Flag("repeatable");
  ReadOnFailure(&job, &reader);
  ReadTasks(&job, &reader);
  reader.RejectUnknown();
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return job;
}

HttpResponse AnswerResponse(const std::string& id, const JobAnswer& answer) {
  if (answer.state == JobState::kRefused) {
    return ProblemResponse(answer.reason, {}, answer.retry_after);
  }
  json document = {{"id", id}, {"state", JobStateName(answer.state)}};
  if (answer.state != JobState::kRunning) {
    if (answer.reason != Reason::kNone) {
      document["reason"] = ReasonName(answer.reason);
    }
    document["results"] = ResultsJson(answer);
  }
  HttpResponse response;
  response.status = answer.state == JobState::kRunning ? 202 : 200;
  response.body = document.dump();
  return response;
}

HttpResponse ProblemResponse(Reason reason, const Findings& findings,
                             Millis retry_after) {
  const std::string name(ReasonName(reason));
  json document = {{"type", "urn:quetzalspindle:reason:" + name},
                   {"title", ReasonText(reason)},
                   {"status", HttpStatus(reason)},
                   {"reason", name},
                   {"disposition", DispositionName(DispositionOf(reason))},
                   {"outcome", OutcomeOfRefusal(reason)}};
  if (!findings.empty()) {
    json list = json::array();
    for (const Finding& finding : findings.items()) {
      list.push_back({{"place", finding.place}, {"text", finding.text}});
    }
    document["findings"] = std::move(list);
  }
  HttpResponse response;
  response.status = HttpStatus(reason);
  response.content_type = "application/problem+json";
  response.body = document.dump(-1, ' ', false, json::error_handler_t::replace);
  if (retry_after > Millis(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

}  // namespace qs
