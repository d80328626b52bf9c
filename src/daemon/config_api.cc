#include "daemon/config_api.h"

#include <nlohmann/json.hpp>

#include "http/job_json.h"
#include "http/object_reader.h"
#include "settings/declarations_text.h"
#include "store/etcd_store.h"

namespace qs {
namespace {

using nlohmann::json;

// Reads a change from a request body and checks its document.
Checked<ConfigChange> ParseChange(const std::string& body) {
  const Checked<json> object = ParseObject(body);
  if (!object) return tl::unexpected(object.error());
  Findings findings;
  ObjectReader reader(*object, &findings);
  ConfigChange change;
  change.change_id = reader.Text("change_id", true);
  change.author = reader.Text("author", true);
  change.base_version =
      reader.Number("base_version", 1, std::numeric_limits<int32_t>::max(), 0);
  if (change.base_version == 0) reader.Add("base_version", "is required");
  const json* document = reader.Member("document");
  if (document != nullptr && document->is_string()) {
    change.document = document->get<std::string>();
    const auto parsed = ParseDeclarations("document", change.document);
    if (!parsed) findings.Add(parsed.error());
  } else {
    reader.Add("document", "must be a string");
  }
  reader.RejectUnknown();
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return change;
}

json ToJson(const StoredConfig& config) {
  return {{"version", config.version},
          {"change_id", config.change_id},
          {"author", config.author},
          {"document", config.document}};
}

}  // namespace

ConfigApi::ConfigApi(Kernel* kernel, const RcuCell<ConfigView>* view)
    : kernel_(kernel), view_(view) {}

void ConfigApi::AddRoutes(std::vector<HttpServer::Route>* routes) {
  routes->push_back({"GET", "/v1/admin/config",
                     [this](const HttpRequest&) { return OnGet(); }});
  routes->push_back(
      {"POST", "/v1/admin/config",
       [this](const HttpRequest& request) { return OnApply(request); }});
}

HttpResponse ConfigApi::OnGet() {
  const ConfigView view = view_->Read([](const ConfigView& v) { return v; });
  HttpResponse response;
  json rows = json::array();
  const auto declarations = ParseDeclarations("document", view.document);
  if (declarations) {
    for (const DeclaredValue& value : ListDeclarations(*declarations)) {
      rows.push_back({{"section", value.section},
                      {"key", value.key},
                      {"value", value.value}});
    }
  }
  response.body = json{
      {"version", view.version},
      {"document", view.document},
      {"rows", rows}}.dump();
  return response;
}

HttpResponse ConfigApi::OnApply(const HttpRequest& request) {
  const Checked<ConfigChange> change = ParseChange(request.body);
  if (!change) {
    return ProblemResponse(Reason::kMalformedRequest, change.error());
  }
  const Settings& settings = kernel_->settings;
  if (settings.platform_endpoint.empty()) {
    return ProblemResponse(Reason::kNoConfiguration);
  }
  const auto store =
      EtcdStore::Make(settings.platform_endpoint, settings.platform_timeout);
  const ChangeOutcome outcome = ConfigStore(store.get()).Apply(*change);
  HttpResponse response;
  const auto answer = [&](int status, const char* state) {
    response.status = status;
    response.body =
        json{{"state", state}, {"current", ToJson(outcome.current)}}.dump();
  };
  switch (outcome.state) {
    case ChangeState::kAccepted:
      answer(200, "accepted");
      break;
    case ChangeState::kLostRace:
      answer(409, "lost_race");
      break;
    case ChangeState::kUnknown:
      answer(503, "unknown");
      break;
  }
  return response;
}

}  // namespace qs
