// qsctl: the operators' command-line tool for queries and commands.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include "base/version.h"
#include "ctl/row_filter.h"
#include "ctl/table.h"
#include "http/http_client.h"
#include "settings/declarations_text.h"

namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitIncomplete = 4;  // Some processes did not answer.
constexpr qs::Millis kTimeout{20'000};
constexpr qs::Millis kInForceTimeout{20'000};
constexpr qs::Millis kInForcePoll{50};

struct Options {
  std::string entry;
  bool as_json = false;
  std::string view_name;
  std::string target;
  std::vector<std::string> conditions;
  std::string author;
  std::string change_id;
  uint64_t base_version = 0;
};

// A table that `show` can list: the path at the entry that returns its rows,
// and the columns to print.
struct View {
  std::string path;
  std::vector<std::string> columns;
};

const std::map<std::string, View>& Views() {
  static const std::map<std::string, View> views = {
      {"jobs",
       {"/v1/admin/jobs",
        {"id", "team", "service", "label", "state", "reason", "age_ms", "tasks",
         "waiting", "granted", "done", "failed", "not_run", "unknown"}}},
      {"tasks",
       {"/v1/admin/tasks/", {"task", "state", "reason", "attempts", "guard"}}},
      {"guards",
       {"/v1/admin/members",
        {"address", "role", "zone", "live", "state", "slots", "running",
         "queued", "config_version"}}},
      {"backends",
       {"/v1/admin/backends",
        {"backend", "guard", "zone", "services", "state", "slots", "running",
         "queued"}}},
      {"config", {"/v1/admin/config", {"section", "key", "value"}}},
      {"refusals",
       {"/v1/admin/refusals", {"process", "kind", "reason", "count"}}},
  };
  return views;
}

// Sends one request to the entry and stores the JSON document of the response
// in `*document`. Returns kExitOk if the request succeeded. Otherwise prints
// the problem and returns another exit code; a refusal whose document has a
// "state" is not printed but left to the caller.
int Request(const Options& options, const std::string& method,
            const std::string& target, json* document,
            const std::string& body = "") {
  const auto entry = qs::Address::Parse(options.entry);
  if (!entry) {
    std::cerr << "--entry: must be IP:port\n";
    return kExitUsage;
  }
  qs::HttpClient client(*entry, qs::Millis(0));
  qs::HttpClient::Request request;
  request.method = method;
  request.target = target;
  request.timeout = kTimeout;
  request.body = body;
  const auto response = client.Exchange(request);
  if (!response) {
    std::cerr << options.entry << ": no response\n";
    return kExitUnreachable;
  }
  *document = json::parse(response->body, nullptr, false);
  if (response->status < 300 && document->is_object()) return kExitOk;
  if (document->is_object() && document->contains("state")) {
    return kExitRefused;
  }
  if (document->is_object()) {
    std::cerr << document->value("reason", "") << ": "
              << document->value("title", "") << "\n";
    for (const json& finding : document->value("findings", json::array())) {
      std::cerr << "  " << finding.value("place", "") << ": "
                << finding.value("text", "") << "\n";
    }
  } else {
    std::cerr << options.entry << ": status " << response->status << "\n";
  }
  return kExitRefused;
}

int Print(const Options& options, const json& document, const json& rows,
          const std::vector<std::string>& columns) {
  const json unreachable = document.value("unreachable", json::array());
  if (options.as_json) {
    std::cout << json{{"rows", rows}, {"unreachable", unreachable}}.dump(2)
              << "\n";
  } else {
    std::cout << qs::FormatTable(rows, columns);
  }
  for (const json& address : unreachable) {
    std::cerr << "no answer from " << address.get<std::string>() << "\n";
  }
  return unreachable.empty() ? kExitOk : kExitIncomplete;
}

int Show(const Options& options) {
  const View& view = Views().at(options.view_name);
  std::vector<std::string> words = options.conditions;
  std::string path = view.path;
  if (options.view_name == "tasks") {
    if (words.empty()) {
      std::cerr << "show tasks: needs the id of a submission\n";
      return kExitUsage;
    }
    path += words.front();
    words.erase(words.begin());
  }
  const auto filter = qs::RowFilter::Parse(words);
  if (!filter) {
    std::cerr << filter.error().ToText();
    return kExitUsage;
  }
  json document;
  const int code = Request(options, "GET", path, &document);
  if (code != kExitOk) return code;
  json rows = json::array();
  for (const json& row : document.value("rows", json::array())) {
    if (filter->Passes(row)) rows.push_back(row);
  }
  return Print(options, document, rows, view.columns);
}

int Command(const Options& options, const std::string& verb) {
  json document;
  const int code = Request(
      options, "POST", "/v1/admin/" + verb + "/" + options.target, &document);
  if (code != kExitOk) return code;
  return Print(options, document, document.value("rows", json::array()),
               Views().at("backends").columns);
}

// Reads and parses a file of declarations. If there are faults, prints all of
// them and returns false.
bool ReadDeclarations(const std::string& path, std::string* text,
                      qs::Declarations* declarations) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file.good()) {
    std::cerr << path << ": cannot be read\n";
    return false;
  }
  *text = content.str();
  auto parsed = qs::ParseDeclarations(path, *text);
  if (!parsed) {
    std::cerr << parsed.error().ToText();
    return false;
  }
  *declarations = std::move(*parsed);
  return true;
}

int Check(const Options& options) {
  std::string text;
  qs::Declarations declarations;
  if (!ReadDeclarations(options.target, &text, &declarations)) {
    return kExitUsage;
  }
  std::cout << options.target << ": ok\n";
  return kExitOk;
}

// Parses the declarations in force from the configuration that the entry
// returned. Returns empty declarations if they are not valid.
qs::Declarations DeclarationsInForce(const json& config) {
  const auto parsed =
      qs::ParseDeclarations("in force", config.value("document", ""));
  return parsed ? *parsed : qs::Declarations{};
}

void PrintDiff(const qs::Declarations& from, const qs::Declarations& to) {
  for (const std::string& line : qs::DiffDeclarations(from, to)) {
    std::cout << line << "\n";
  }
}

// Reads the file and fetches the configuration in force. If either fails,
// prints the fault and returns an exit code other than kExitOk.
int ReadFileAndConfig(const Options& options, std::string* text,
                      qs::Declarations* declarations, json* config) {
  if (!ReadDeclarations(options.target, text, declarations)) {
    return kExitUsage;
  }
  return Request(options, "GET", "/v1/admin/config", config);
}

int Diff(const Options& options) {
  std::string text;
  qs::Declarations declarations;
  json config;
  const int code = ReadFileAndConfig(options, &text, &declarations, &config);
  if (code != kExitOk) return code;
  PrintDiff(DeclarationsInForce(config), declarations);
  return kExitOk;
}

// Waits until the version is in force at every live process. After
// kInForceTimeout, prints the addresses of the processes where it is not.
int WaitInForce(const Options& options, uint64_t version) {
  const qs::Instant start = qs::Clock::now();
  std::vector<std::string> outdated;
  do {
    json members;
    const int code = Request(options, "GET", "/v1/admin/members", &members);
    if (code != kExitOk) return code;
    outdated.clear();
    for (const json& row : members.value("rows", json::array())) {
      const bool is_outdated =
          row.value("live", false) &&
          row.value("config_version", uint64_t{0}) < version;
      if (is_outdated) outdated.push_back(row.value("address", ""));
    }
    if (outdated.empty()) {
      const auto elapsed =
          std::chrono::duration_cast<qs::Millis>(qs::Clock::now() - start);
      std::cout << "version " << version << " is in force everywhere, "
                << elapsed.count() << " ms after it was accepted\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kInForcePoll);
  } while (qs::Clock::now() - start < kInForceTimeout);
  for (const std::string& address : outdated) {
    std::cerr << "not in force at " << address << "\n";
  }
  return kExitIncomplete;
}

std::string NewChangeId() {
  std::random_device device;
  std::ostringstream id;
  for (int i = 0; i < 4; ++i) {
    id << std::hex << std::setw(8) << std::setfill('0') << device();
  }
  return id.str();
}

int ReportApply(const Options& options, const std::string& change_id,
                const qs::Declarations& wanted, const json& answer) {
  const std::string state = answer.value("state", "");
  const json current = answer.value("current", json::object());
  if (state == "accepted") {
    return WaitInForce(options, current.value("version", uint64_t{0}));
  }
  if (state == "lost_race") {
    std::cerr << "refused: version " << current.value("version", uint64_t{0})
              << " by " << current.value("author", "") << " (change "
              << current.value("change_id", "")
              << ") took effect first; differences from it to this file:\n";
    PrintDiff(DeclarationsInForce(current), wanted);
    return kExitRefused;
  }
  std::cerr << "unknown whether the change was accepted; repeat it with "
               "--change-id "
            << change_id << "\n";
  return kExitUnreachable;
}

int Apply(const Options& options) {
  std::string text;
  qs::Declarations declarations;
  json config;
  const int code = ReadFileAndConfig(options, &text, &declarations, &config);
  if (code != kExitOk) return code;
  const std::string change_id =
      options.change_id.empty() ? NewChangeId() : options.change_id;
  const uint64_t base = options.base_version > 0
                            ? options.base_version
                            : config.value("version", uint64_t{0});
  const json body = {{"change_id", change_id},
                     {"author", options.author},
                     {"base_version", base},
                     {"document", text}};
  json answer;
  const int applied =
      Request(options, "POST", "/v1/admin/config", &answer, body.dump());
  if (!answer.contains("state")) return applied;
  return ReportApply(options, change_id, declarations, answer);
}

int Cancel(const Options& options) {
  json document;
  const int code =
      Request(options, "DELETE",
              "/v1/submissions/" + options.target + "?wait=5000", &document);
  if (code != kExitOk) return code;
  std::cout << (options.as_json ? document.dump(2)
                                : document.value("state", ""))
            << "\n";
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "qsctl: asks quetzalspindle what ran, what waits and what failed, and "
      "gives it commands.\n\n"
      "  qsctl show jobs state=failed team=club\n"
      "  qsctl show jobs state=running 'age_ms>5000'\n"
      "  qsctl show tasks SUBMISSION state=unknown\n"
      "  qsctl show guards zone=nitra live=true\n"
      "  qsctl drain 10.1.2.3:7000\n\n"
      "Exit codes: 0 done, 1 refused, 2 bad arguments, 3 entry not reached, 4 "
      "some processes did not answer."};
  Options options;
  app.set_version_flag("--version", qs::kVersion);
  app.require_subcommand(1);
  app.add_option("--entry", options.entry, "HTTP IP:port of an entry host")
      ->envname("QSCTL_ENTRY");
  app.add_flag("--json", options.as_json, "print JSON for scripts");
  auto* show = app.add_subcommand(
      "show", "list rows; conditions are column=value, !=, > and <");
  std::vector<std::string> names;
  for (const auto& [name, view] : Views()) names.push_back(name);
  show->add_option("what", options.view_name)
      ->required()
      ->check(CLI::IsMember(names));
  show->add_option("conditions", options.conditions);
  auto* drain =
      app.add_subcommand("drain", "give a backend server no new work");
  drain->add_option("guard", options.target, "IP:port of its guard")
      ->required();
  auto* undrain = app.add_subcommand("undrain", "end a drain");
  undrain->add_option("guard", options.target, "IP:port of its guard")
      ->required();
  auto* cancel = app.add_subcommand("cancel", "cancel a submission");
  cancel->add_option("id", options.target)->required();
  auto* check = app.add_subcommand("check", "check a file of declarations");
  check->add_option("file", options.target)->required();
  auto* diff = app.add_subcommand(
      "diff", "show what applying a file of declarations would change");
  diff->add_option("file", options.target)->required();
  auto* apply = app.add_subcommand(
      "apply", "put a file of declarations in force, and wait until it is");
  apply->add_option("file", options.target)->required();
  apply->add_option("--author", options.author)->envname("USER")->required();
  apply->add_option("--change-id", options.change_id,
                    "of an earlier try whose outcome is unknown");
  apply->add_option("--base-version", options.base_version,
                    "the version that the file was edited from");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  if (show->parsed()) return Show(options);
  if (check->parsed()) return Check(options);
  if (diff->parsed()) return Diff(options);
  if (apply->parsed()) return Apply(options);
  if (drain->parsed()) return Command(options, "drain");
  if (undrain->parsed()) return Command(options, "undrain");
  return Cancel(options);
}
