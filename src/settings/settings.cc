#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>
#include <variant>

#include "core/placement_policy.h"
#include "settings/ini_items.h"

namespace qs {
namespace {

using Member = std::variant<std::string Settings::*, uint32_t Settings::*,
                            Millis Settings::*, Address Settings::*,
                            std::vector<Address> Settings::*>;

struct Row {
  const char* section;
  const char* key;
  Member member;
  const char* default_value;  // Null for a required key.
  uint32_t min;               // Range of a number or a duration in
  uint32_t max;               // milliseconds; unused for other types.
  const char* meaning;        // Description for the settings reference.
};

constexpr uint32_t kDayMs = 86'400'000;

const std::array kRows = {
    Row{"process", "role", &Settings::role, nullptr, 0, 0,
        "entry, guard, job_entry or job_guard"},
    Row{"process", "listen", &Settings::listen, nullptr, 0, 0,
        "IP:port for the other processes of the system"},
    Row{"process", "http", &Settings::http, nullptr, 0, 0,
        "IP:port for HTTP: callers, operators, announcements, metrics"},
    Row{"process", "zone", &Settings::zone, nullptr, 0, 0,
        "availability zone of this process"},
    Row{"process", "log_level", &Settings::log_level, "info", 0, 0,
        "debug, info, warn or error"},
    Row{"process", "stop_timeout_ms", &Settings::stop_timeout, "900000", 0,
        kDayMs,
        "longest graceful stop; work still in progress is then aborted"},
    Row{"process", "deployment", &Settings::deployment, "", 0, 0,
        "plug-in for the platform's protocols; roles job_entry and job_guard "
        "need one"},
    Row{"callers", "listen", &Settings::callers, "", 0, 0,
        "IP:port for callers of held jobs (job_entry)"},
    Row{"callers", "readiness", &Settings::readiness, "", 0, 0,
        "IP:port for the balancer's readiness checks (job_entry)"},
    Row{"callers", "max_jobs", &Settings::max_held_jobs, "2000", 1, 100'000,
        "jobs held at a time; each occupies a connection"},
    Row{"callers", "stop_accepting_after_ms", &Settings::stop_accepting_after,
        "3000", 0, 60'000,
        "how long a stopping entry still accepts jobs, so that the balancer "
        "can take it out of rotation"},
    Row{"callers", "max_tasks_of_job", &Settings::max_tasks_of_job, "10000",
        640, 100'000, "tasks of one job; a step without tasks counts as one"},
    Row{"limits", "memory_mb", &Settings::memory_mb, "0", 0, 1'048'576,
        "memory of the machine, of which fixed parts bound what clients can "
        "make the process hold; 0 for the least that it runs on"},
    Row{"limits", "max_line_bytes", &Settings::max_line_bytes, "16384", 128,
        65'536, "longest request line of an HTTP request"},
    Row{"limits", "max_header_bytes", &Settings::max_header_bytes, "16384", 512,
        1'048'576,
        "request line with headers; also a chunk's line, and the trailers"},
    Row{"limits", "max_headers", &Settings::max_headers, "4096", 8, 10'000,
        "headers of a request"},
    Row{"limits", "max_other_body_bytes", &Settings::max_other_body_bytes,
        "65536", 1024, 16'777'216,
        "largest body of a request of an operator or a balancer; a caller's is "
        "limited by the configuration"},
    Row{"limits", "max_announcement_bytes", &Settings::max_announcement_bytes,
        "1048576", 1024, 16'777'216, "largest body of a worker's request"},
    Row{"limits", "header_timeout_ms", &Settings::header_timeout, "15000", 100,
        600'000,
        "longest time from a request's first byte to its header's end"},
    Row{"limits", "body_gap_timeout_ms", &Settings::body_gap_timeout, "10000",
        100, 600'000, "longest time between two pieces of a request"},
    Row{"limits", "request_timeout_ms", &Settings::request_timeout, "15000",
        100, 600'000,
        "longest time for a whole request, and for its answer to be read"},
    Row{"limits", "idle_timeout_ms", &Settings::idle_timeout, "30000", 100,
        kDayMs, "longest time that a connection waits for its next request"},
    Row{"limits", "receive_buffer_bytes", &Settings::receive_buffer_bytes,
        "16384", 0, 16'777'216,
        "receive buffer of a client's socket; 0 for the system's default"},
    Row{"limits", "max_intake_kib", &Settings::max_intake_kib, "32768", 64,
        16'777'216,
        "memory that HTTP clients may make the process hold, in requests that "
        "are not complete or not answered and in answers that are not read"},
    Row{"limits", "ordinary_kib", &Settings::ordinary_kib, "16", 4, 16'384,
        "a client that holds no more is an ordinary one"},
    Row{"limits", "ordinary_percent", &Settings::ordinary_percent, "80", 0, 90,
        "share of max_intake_kib that is left to ordinary clients"},
    Row{"limits", "descriptors", &Settings::descriptors, "0", 0, 1'000'000,
        "file descriptors that the process may open; 0 for what the system "
        "says"},
    Row{"limits", "max_connections", &Settings::max_connections, "0", 0,
        1'000'000,
        "connections of HTTP clients; 0 for three quarters of the process's "
        "descriptors"},
    Row{"limits", "max_connections_of_address",
        &Settings::max_connections_of_address, "0", 0, 1'000'000,
        "connections of HTTP clients from one address; 0 for no limit, as a "
        "platform may forward all clients from one"},
    Row{"limits", "max_answer_kib", &Settings::max_answer_kib, "4096", 16,
        1'048'576, "largest answer of a worker or the platform's store"},
    Row{"limits", "max_frame_kib", &Settings::max_frame_kib, "65536", 16,
        65'536, "largest frame of another process"},
    Row{"limits", "max_unsent_kib", &Settings::max_unsent_kib, "131072", 1024,
        1'048'576,
        "frames that wait for another process to read them, a connection"},
    Row{"limits", "max_peers", &Settings::max_peers, "4000", 2, 1'000'000,
        "connections accepted from other processes"},
    Row{"limits", "max_unnamed_peers", &Settings::max_unnamed_peers, "200", 2,
        1'000'000,
        "of those, connections that have not said yet who they are; a "
        "sixteenth of "
        "the process's descriptors at most"},
    Row{"worker", "announcements", &Settings::announcements, "", 0, 0,
        "IP:port where the worker of this host announces itself (job_guard)"},
    Row{"worker", "address", &Settings::worker, "", 0, 0,
        "IP:port of the worker of this host (job_guard)"},
    Row{"worker", "lease_ms", &Settings::worker_lease, "1000", 100, 600'000,
        "longest lease of a run that the worker grants"},
    Row{"worker", "separate_interfering", &Settings::separate_interfering, "0",
        0, 1,
        "1: learn which tasks slow each other down on one worker, and keep "
        "them "
        "apart where there is room; 0: do not"},
    Row{"store", "address", &Settings::store, "", 0, 0,
        "IP:port of the platform's store, for a deployment plug-in"},
    Row{"store", "timeout_ms", &Settings::store_timeout, "1000", 10, 60'000,
        "longest wait for one call to the platform's store"},
    Row{"members", "seeds", &Settings::seeds, "", 0, 0,
        "IP:port list, separated by spaces, of processes to contact first"},
    Row{"members", "seed_port", &Settings::seed_port, "0", 0, 65'535,
        "port that replaces the ports of the seeds; 0 to keep them"},
    Row{"members", "gossip_interval_ms", &Settings::gossip_interval, "500", 20,
        60'000, "time between two rounds of gossip with other members"},
    Row{"members", "gossip_fanout", &Settings::gossip_fanout, "2", 1, 32,
        "members that receive gossip in each round"},
    Row{"members", "gossip_records", &Settings::gossip_records, "32", 1, 1000,
        "members described in one message of gossip"},
    Row{"members", "guard_links", &Settings::guard_links, "48", 1, 10'000,
        "guards that an entry keeps links to (job_entry)"},
    Row{"members", "suspect_after_ms", &Settings::suspect_after, "5000", 100,
        600'000, "a member without gossip news for this long gets no new work"},
    Row{"platform", "endpoint", &Settings::platform_endpoint, "", 0, 0,
        "http://IP:port of the key-value service's JSON gateway; empty for "
        "none"},
    Row{"platform", "timeout_ms", &Settings::platform_timeout, "2000", 10,
        60'000, "longest wait for one call to the key-value service"},
    Row{"entry", "threads", &Settings::entry_threads, "64", 2, 2000,
        "HTTP requests served at a time"},
    Row{"entry", "id_block", &Settings::id_block, "256", 1, 10'000,
        "submission ids fetched from a guard at a time"},
    Row{"entry", "max_body_bytes", &Settings::max_body_bytes, "16777216", 1024,
        67'108'864, "largest request body"},
    Row{"entry", "home_lost_after_ms", &Settings::home_lost_after, "5000", 100,
        600'000,
        "a home that cannot be reached for this long is reported as "
        "unreachable"},
    Row{"guard", "worker_kind", &Settings::worker_kind, "", 0, 0,
        "kind of this worker, for jobs that require one"},
    Row{"guard", "placement", &Settings::placement, "least_loaded", 0, 0,
        "policy that chooses a backend server"},
    Row{"guard", "queue_per_slot", &Settings::queue_per_slot, "0", 0, 64,
        "grants that may wait at a backend server, per slot"},
    Row{"guard", "max_waiting_tasks", &Settings::max_waiting_tasks, "20000", 1,
        10'000'000, "tasks that may wait at this home"},
    Row{"guard", "max_jobs", &Settings::max_jobs, "20000", 1, 1'000'000,
        "jobs that may be in progress at this home"},
    Row{"guard", "answer_retention_ms", &Settings::answer_retention, "60000",
        1000, kDayMs, "how long a finished answer can be fetched"},
    Row{"guard", "id_lifetime_ms", &Settings::id_lifetime, "600000", 1000,
        kDayMs, "how long a minted id is valid for a submission"},
    Row{"guard", "max_deadline_ms", &Settings::max_deadline, "600000", 1,
        kDayMs, "longest deadline of a job"},
    Row{"guard", "executor_lost_after_ms", &Settings::executor_lost_after,
        "5000", 100, 600'000,
        "tasks at a guard that cannot be reached for this long are reported as "
        "unknown"},
    Row{"guard", "announcement_ttl_ms", &Settings::announcement_ttl, "3000",
        100, 600'000,
        "a backend server that has not announced itself for this long gets no "
        "work"},
    Row{"guard", "breaker_failures", &Settings::breaker_failures, "5", 1, 1000,
        "failures in a row that open the circuit breaker"},
    Row{"guard", "breaker_pause_ms", &Settings::breaker_pause, "500", 1,
        600'000, "pause before the first probe; doubles up to 30 s"},
    Row{"guard", "backend_idle_limit_ms", &Settings::backend_idle_limit, "2000",
        0, 600'000,
        "a connection to the backend server that was idle for longer is not "
        "reused"},
};

const Row* FindRow(const std::string& section, const std::string& key) {
  for (const Row& row : kRows) {
    if (section == row.section && key == row.key) return &row;
  }
  return nullptr;
}

// Parses a text and stores it in one member of the settings. Returns a
// description of the fault, empty if there is none.
struct Assigner {
  Settings* settings;
  const Row& row;
  const std::string& text;

  std::string operator()(std::string Settings::*member) const {
    settings->*member = text;
    return {};
  }
  std::string operator()(uint32_t Settings::*member) const {
    return Number([&](uint32_t value) { settings->*member = value; });
  }
  std::string operator()(Millis Settings::*member) const {
    return Number([&](uint32_t value) { settings->*member = Millis(value); });
  }
  std::string operator()(Address Settings::*member) const {
    // An optional address may be left empty, which is also its default.
    if (text.empty() && row.default_value != nullptr) {
      settings->*member = Address();
      return {};
    }
    const Result<Address> address = Address::Parse(text);
    if (!address) return "'" + text + "' is not IP:port";
    settings->*member = *address;
    return {};
  }
  std::string operator()(std::vector<Address> Settings::*member) const {
    std::istringstream words(text);
    std::string word;
    std::string wrong;
    std::vector<Address> addresses;
    while (words >> word) {
      const Result<Address> address = Address::Parse(word);
      if (address) {
        addresses.push_back(*address);
      } else {
        wrong += (wrong.empty() ? "'" : ", '") + word + "'";
      }
    }
    if (!wrong.empty()) return wrong + " is not IP:port";
    settings->*member = std::move(addresses);
    return {};
  }

 private:
  template <typename Fn>
  std::string Number(Fn set) const {
    uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
      return "'" + text + "' is not a whole number of " +
             std::to_string(row.min) + " to " + std::to_string(row.max);
    }
    if (value < row.min || value > row.max) {
      return text + " is not in the range " + std::to_string(row.min) + " to " +
             std::to_string(row.max);
    }
    set(value);
    return {};
  }
};

std::string Assign(Settings* settings, const Row& row,
                   const std::string& text) {
  return std::visit(Assigner{settings, row, text}, row.member);
}

// Checks the keys that are required only by the roles for held jobs.
void CheckDeployment(const Settings& settings, const std::string& file,
                     Findings* findings) {
  const bool is_entry = settings.role == "job_entry";
  const bool is_guard = settings.role == "job_guard";
  const auto require = [&](bool given, const char* key) {
    if (!given) {
      findings->Add(file + " " + key, "role " + settings.role + " requires it");
    }
  };
  if (is_entry || is_guard) {
    require(!settings.deployment.empty(), "[process] deployment");
    require(settings.store.port != 0, "[store] address");
  }
  if (is_entry) {
    require(settings.callers.port != 0, "[callers] listen");
    require(settings.readiness.port != 0, "[callers] readiness");
  }
  if (is_guard) {
    require(settings.announcements.port != 0, "[worker] announcements");
    require(settings.worker.port != 0, "[worker] address");
  }
}

void CheckNames(const Settings& settings, const std::string& file,
                Findings* findings) {
  static const std::set<std::string> kRoles = {"", "entry", "guard",
                                               "job_entry", "job_guard"};
  if (!kRoles.contains(settings.role)) {
    findings->Add(
        file + " [process] role",
        "'" + settings.role + "' is none of: entry guard job_entry job_guard");
  }
  CheckDeployment(settings, file, findings);
  const auto policies = PlacementRegistry::Instance().names();
  if (std::find(policies.begin(), policies.end(), settings.placement) ==
      policies.end()) {
    std::string known;
    for (const std::string& name : policies) known += " " + name;
    findings->Add(file + " [guard] placement",
                  "'" + settings.placement + "' is none of:" + known);
  }
  static const std::set<std::string> kLevels = {"debug", "info", "warn",
                                                "error"};
  if (!kLevels.contains(settings.log_level)) {
    findings->Add(
        file + " [process] log_level",
        "'" + settings.log_level + "' is none of: debug info warn error");
  }
  if (settings.listen.port != 0 && settings.listen == settings.http) {
    findings->Add(file + " [process] http", "is the same as listen");
  }
}

}  // namespace

Checked<Settings> ParseSettings(const std::string& file,
                                const std::string& text) {
  Findings findings;
  Settings settings;
  for (const Row& row : kRows) {
    if (row.default_value == nullptr) continue;
    Assign(&settings, row, row.default_value);
  }
  std::set<const Row*> given;
  for (const IniItem& item : ReadIniItems(file, text, &findings)) {
    const std::string place = item.Place(file);
    const Row* row = FindRow(item.section, item.key);
    if (row == nullptr) {
      findings.Add(place, "unknown key");
      continue;
    }
    if (!given.insert(row).second) {
      findings.Add(place, "given twice");
      continue;
    }
    const std::string wrong = Assign(&settings, *row, item.value);
    if (!wrong.empty()) findings.Add(place, wrong);
  }
  for (const Row& row : kRows) {
    if (row.default_value != nullptr || given.contains(&row)) continue;
    findings.Add(file + " [" + row.section + "] " + row.key,
                 "required key is missing");
  }
  CheckNames(settings, file, &findings);
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  if (settings.seed_port != 0) {
    for (Address& seed : settings.seeds) {
      seed.port = static_cast<uint16_t>(settings.seed_port);
    }
  }
  return settings;
}

Checked<Settings> LoadSettings(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream.good()) {
    return tl::unexpected(Findings(path, std::strerror(errno)));
  }
  return ParseSettings(path, text.str());
}

std::string SettingsReference() {
  std::ostringstream out;
  std::string section;
  for (const Row& row : kRows) {
    if (section != row.section) {
      out << (section.empty() ? "" : "\n") << "[" << row.section << "]\n";
      section = row.section;
    }
    out << "; " << row.meaning;
    if (row.max > 0) out << " (" << row.min << " to " << row.max << ")";
    if (row.default_value == nullptr) {
      out << " (required)\n;" << row.key << " =\n";
    } else {
      out << "\n" << row.key << " = " << row.default_value << "\n";
    }
  }
  return out.str();
}

}  // namespace qs
