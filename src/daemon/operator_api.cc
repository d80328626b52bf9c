#include "daemon/operator_api.h"

#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/admin_json.h"
#include "daemon/call_table.h"
#include "http/job_json.h"
#include "kernel/kernel.h"

namespace qs {
namespace {

using nlohmann::json;

constexpr Millis kGuardTimeout{3000};

HttpResponse JsonResponse(const json& document) {
  HttpResponse response;
  response.body = document.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

// Appends the rows of a guard's reply. Returns false if the call failed or the
// reply has no rows.
bool AppendRows(const CallResult& result, json* rows) {
  const auto* reply = std::get_if<AdminReply>(&result.reply);
  if (result.fault != Reason::kNone || reply == nullptr) return false;
  if (reply->reason != Reason::kNone) return false;
  const json part = json::parse(reply->document, nullptr, false);
  if (!part.is_array()) return false;
  rows->insert(rows->end(), part.begin(), part.end());
  return true;
}

}  // namespace

OperatorApi::OperatorApi(Kernel* kernel, CallTable* calls,
                         const RcuCell<GuardView>* view)
    : kernel_(kernel), calls_(calls), view_(view) {}

void OperatorApi::AddRoutes(std::vector<HttpServer::Route>* routes) {
  for (const std::string verb : {"jobs", "backends", "refusals"}) {
    routes->push_back(
        {"GET", "/v1/admin/" + verb,
         [this, verb](const HttpRequest&) { return OnList(verb); }});
  }
  routes->push_back({"GET", "/v1/admin/members",
                     [this](const HttpRequest&) { return OnMembers(); }});
  routes->push_back(
      {"GET", "/v1/admin/tasks/",
       [this](const HttpRequest& request) { return OnTasks(request); }});
  for (const std::string verb : {"drain", "undrain"}) {
    routes->push_back({"POST", "/v1/admin/" + verb + "/",
                       [this, verb](const HttpRequest& request) {
                         return OnDrain(verb, request);
                       }});
  }
}

HttpResponse OperatorApi::OnList(const std::string& verb) {
  const auto guards = view_->Read([](const GuardView& view) {
    std::vector<GuardView::Guard> all = view.local;
    all.insert(all.end(), view.remote.begin(), view.remote.end());
    return all;
  });
  std::vector<std::future<CallResult>> results;
  results.reserve(guards.size());
  for (const GuardView::Guard& guard : guards) {
    const uint64_t request = calls_->NextRequest();
    results.push_back(calls_->Begin(guard.address, std::nullopt, request,
                                    AdminRequest{request, verb, ""},
                                    kGuardTimeout));
  }
  json rows = json::array();
  json unreachable = json::array();
  for (size_t i = 0; i < guards.size(); ++i) {
    if (!AppendRows(results[i].get(), &rows)) {
      unreachable.push_back(guards[i].address.ToString());
    }
  }
  if (verb == "refusals") {
    const std::string own = ReasonsDocument(kernel_->metrics.ReasonCounts(),
                                            kernel_->settings.listen);
    const json part = json::parse(own);
    rows.insert(rows.end(), part.begin(), part.end());
  }
  return JsonResponse({{"rows", rows}, {"unreachable", unreachable}});
}

HttpResponse OperatorApi::OnMembers() {
  json rows = json::array();
  view_->Read([&](const GuardView& view) {
    for (size_t i = 0; i < view.members.size(); ++i) {
      const MemberRecord& member = view.members[i];
      const bool is_guard = member.role == Role::kGuard;
      const std::string state =
          is_guard ? std::string(ServingStateName(member.load.state)) : "-";
      rows.push_back({{"address", member.address.ToString()},
                      {"role", is_guard ? "guard" : "entry"},
                      {"zone", member.zone},
                      {"live", static_cast<bool>(view.is_live[i])},
                      {"state", state},
                      {"slots", member.load.slots},
                      {"running", member.load.running},
                      {"queued", member.load.queued},
                      {"config_version", member.config_version}});
    }
  });
  return JsonResponse({{"rows", rows}, {"unreachable", json::array()}});
}

HttpResponse OperatorApi::OnTasks(const HttpRequest& request) {
  const Result<SubmissionId> id = SubmissionId::Parse(request.suffix);
  if (!id) return ProblemResponse(Reason::kIdMalformed);
  const uint64_t number = calls_->NextRequest();
  const CallResult result = calls_->Call(
      id->home, id->incarnation, number,
      AdminRequest{number, "tasks", request.suffix}, kGuardTimeout);
  if (result.fault != Reason::kNone) return ProblemResponse(result.fault);
  json rows = json::array();
  if (!AppendRows(result, &rows)) return ProblemResponse(Reason::kHomeLost);
  return JsonResponse({{"rows", rows}, {"unreachable", json::array()}});
}

HttpResponse OperatorApi::OnDrain(const std::string& verb,
                                  const HttpRequest& request) {
  const Result<Address> guard = Address::Parse(request.suffix);
  if (!guard) {
    return ProblemResponse(Reason::kMalformedRequest,
                           Findings("path", "must end in the guard's IP:port"));
  }
  const bool is_known = view_->Read(
      [&](const GuardView& view) { return view.HasMember(*guard); });
  if (!is_known) return ProblemResponse(Reason::kNotFound);
  const uint64_t number = calls_->NextRequest();
  const CallResult result =
      calls_->Call(*guard, std::nullopt, number, AdminRequest{number, verb, ""},
                   kGuardTimeout);
  json rows = json::array();
  if (!AppendRows(result, &rows)) {
    return ProblemResponse(Reason::kHomeUnreachable);
  }
  return JsonResponse({{"rows", rows}, {"unreachable", json::array()}});
}

}  // namespace qs
