#include "daemon/admin_json.h"

#include <nlohmann/json.hpp>

namespace qs {
namespace {

using nlohmann::json;

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string JobsDocument(const std::vector<JobRow>& rows, const Address& home,
                         Incarnation incarnation) {
  json document = json::array();
  for (const JobRow& row : rows) {
    const SubmissionId id{home, incarnation, row.sequence};
    document.push_back({{"id", id.ToString()},
                        {"home", home.ToString()},
                        {"team", row.team},
                        {"service", row.service},
                        {"label", row.label},
                        {"state", JobStateName(row.state)},
                        {"reason", ReasonName(row.reason)},
                        {"age_ms", row.age.count()},
                        {"tasks", row.tasks},
                        {"waiting", row.waiting},
                        {"granted", row.granted},
                        {"done", row.done},
                        {"failed", row.failed},
                        {"not_run", row.not_run},
                        {"unknown", row.unknown}});
  }
  return Dump(document);
}

std::string TasksDocument(const std::vector<TaskRow>& rows) {
  json document = json::array();
  for (const TaskRow& row : rows) {
    const bool is_placed = row.executor.port != 0;
    document.push_back(
        {{"task", row.task},
         {"state", row.state},
         {"reason", ReasonName(row.reason)},
         {"attempts", row.attempts},
         {"guard", is_placed ? row.executor.ToString() : std::string()}});
  }
  return Dump(document);
}

std::string BackendDocument(const Executor& executor, const Address& guard,
                            const std::string& zone, Instant now) {
  const Announcement& announcement = executor.announcement();
  std::string services;
  for (const std::string& service : announcement.services) {
    services += (services.empty() ? "" : ",") + service;
  }
  const Load load = executor.load(now);
  const bool is_known = announcement.address.port != 0;
  const json row = {
      {"guard", guard.ToString()},
      {"backend", is_known ? announcement.address.ToString() : std::string()},
      {"zone", zone},
      {"services", services},
      {"state", ServingStateName(load.state)},
      {"slots", load.slots},
      {"running", load.running},
      {"queued", load.queued}};
  return Dump(json::array({row}));
}

std::string ReasonsDocument(const std::vector<Metrics::ReasonCount>& counts,
                            const Address& process) {
  json document = json::array();
  for (const Metrics::ReasonCount& count : counts) {
    document.push_back({{"process", process.ToString()},
                        {"kind", count.kind},
                        {"reason", count.reason},
                        {"count", count.count}});
  }
  return Dump(document);
}

}  // namespace qs
