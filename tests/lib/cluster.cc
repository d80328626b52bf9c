#include "lib/cluster.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace qs::test {
namespace {

using nlohmann::json;

constexpr Millis kPoll{20};

bool CanBind(Address address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  close(fd);
  return bound;
}

// A free /22 of the loopback network, so that test programs run side by side.
uint32_t FindNetwork() {
  constexpr uint32_t kHosts = 1024;
  constexpr uint32_t kPlatformHost = 1000;
  std::random_device device;
  while (true) {
    const uint32_t network = (127U << 24U) | ((16 + device() % 200) << 16U) |
                             (device() % 64) * kHosts;
    if (CanBind({network + 1, 7000}) &&
        CanBind({network + kPlatformHost, 8000})) {
      return network;
    }
  }
}

}  // namespace

Cluster::Cluster(const ClusterOptions& options)
    : options_(options), network_(FindNetwork()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quetzalspindle-XXXXXX")
          .string();
  directory_ = mkdtemp(pattern.data());
  if (options_.platform) {
    platform_ = Process::Start(
        {ProgramPath("fake_platform"), "--listen", platform_http().ToString()},
        directory_ + "/platform.log");
    WaitUntil(
        [&] { return Call(platform_http(), "GET", "/counts").status != 0; });
  }
  guards_.resize(static_cast<size_t>(options_.guards));
  backends_.resize(static_cast<size_t>(options_.guards));
  entries_.resize(static_cast<size_t>(options_.entries));
  for (int i = 0; i < options_.guards; ++i) {
    StartGuard(i);
    if (options_.start_backends) StartBackend(i);
  }
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
}

Cluster::~Cluster() {
  entries_.clear();
  guards_.clear();
  backends_.clear();
  platform_.reset();
  if (std::getenv("QS_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

Address Cluster::Host(int number, uint16_t port) const {
  return {network_ + static_cast<uint32_t>(number), port};
}

std::string Cluster::ProgramPath(const std::string& name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

std::string Cluster::WriteSettings(const std::string& role, int number,
                                   const std::string& zone) const {
  std::map<std::string, std::string> sections;
  sections["process"] = "role = " + role +
                        "\nlisten = " + Host(number, kPeerPort).ToString() +
                        "\nhttp = " + Host(number, kHttpPort).ToString() +
                        "\nzone = " + zone + "\n";
  sections["members"] = "gossip_interval_ms = " +
                        std::to_string(options_.gossip_interval.count()) + "\n";
  if (options_.platform) {
    sections["platform"] = "endpoint = http://" + platform_http().ToString() +
                           "\ntimeout_ms = 1000\n";
  } else {
    sections["members"] += "seeds = " + guard_peer(0).ToString() + "\n";
  }
  const auto& more =
      role == "guard" ? options_.guard_settings : options_.entry_settings;
  for (const auto& [section, lines] : more) sections[section] += lines;
  std::string path = directory_ + "/" + role + std::to_string(number) + ".ini";
  std::ofstream file(path);
  for (const auto& [section, lines] : sections) {
    file << "[" << section << "]\n" << lines;
  }
  return path;
}

void Cluster::StartEntry(int i) {
  const std::string settings =
      WriteSettings("entry", kEntryHost + i, options_.zones[0]);
  entries_[static_cast<size_t>(i)] =
      Process::Start({ProgramPath("quetzalspindled"), "--config", settings},
                     directory_ + "/entry" + std::to_string(i) + ".log");
}

void Cluster::StartGuard(int i) {
  const size_t zone = static_cast<size_t>(i) % options_.zones.size();
  const std::string settings =
      WriteSettings("guard", 1 + i, options_.zones[zone]);
  guards_[static_cast<size_t>(i)] =
      Process::Start({ProgramPath("quetzalspindled"), "--config", settings},
                     directory_ + "/guard" + std::to_string(i) + ".log");
}

void Cluster::StartBackend(int i) {
  std::vector<std::string> command = {ProgramPath("fake_backend"), "--listen",
                                      backend_http(i).ToString(), "--guard",
                                      guard_http(i).ToString()};
  if (options_.keep_start_logs) {
    command.insert(command.end(), {"--start-log", StartLog(i)});
  }
  command.insert(command.end(), options_.backend_arguments.begin(),
                 options_.backend_arguments.end());
  backends_[static_cast<size_t>(i)] = Process::Start(
      command, directory_ + "/backend" + std::to_string(i) + ".log");
}

std::string Cluster::StartLog(int i) const {
  return directory_ + "/starts" + std::to_string(i);
}

bool Cluster::WaitReady() {
  return WaitUntil([&] {
    for (int i = 0; i < options_.entries; ++i) {
      const json members = Ask(i, "GET", "/v1/admin/members");
      if (!members.contains("rows")) return false;
      int serving = 0;
      for (const json& row : members["rows"]) {
        const bool counts = row["live"] == true && row["state"] == "serving";
        serving += counts ? 1 : 0;
      }
      if (serving != options_.guards) return false;
      if (Call(entry_http(i), "GET", "/readyz").status != 200) return false;
    }
    for (int i = 0; i < options_.guards; ++i) {
      if (Call(guard_http(i), "GET", "/readyz").status != 200) return false;
    }
    return true;
  });
}

HttpClient::Response Cluster::Call(Address server, const std::string& method,
                                   const std::string& target,
                                   const std::string& body, Millis timeout) {
  HttpClient client(server, Millis(0));
  HttpClient::Request request;
  request.method = method;
  request.target = target;
  request.content_type = "application/json";
  request.body = body;
  request.timeout = timeout;
  auto response = client.Exchange(request);
  return response ? *response : HttpClient::Response{};
}

json Cluster::Ask(int entry, const std::string& method,
                  const std::string& target, const std::string& body) {
  const auto response = Call(entry_http(entry), method, target, body);
  json document = json::parse(response.body, nullptr, false);
  return document.is_object() ? document : json::object();
}

std::string Cluster::Mint(int entry) {
  return Ask(entry, "POST", "/v1/submissions").value("id", "");
}

std::map<std::string, int> Cluster::CountLines(const std::string& path) {
  std::map<std::string, int> counts;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) ++counts[line];
  return counts;
}

std::map<std::string, int> Cluster::StartsAt(int backend) const {
  return CountLines(StartLog(backend));
}

std::map<std::string, int> Cluster::StartsOverSlots() const {
  std::map<std::string, int> all;
  for (int i = 0; i < options_.guards; ++i) {
    all.merge(CountLines(StartLog(i) + "-over"));
  }
  return all;
}

std::map<std::string, int> Cluster::Starts() const {
  std::map<std::string, int> all;
  for (int i = 0; i < options_.guards; ++i) {
    for (const auto& [name, count] : StartsAt(i)) all[name] += count;
  }
  return all;
}

double Cluster::Counter(Address server, const std::string& name,
                        const std::string& label) {
  double sum = 0;
  std::istringstream lines(Call(server, "GET", "/metrics").body);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name)) continue;
    if (line.find(label) == std::string::npos) continue;
    sum += std::atof(line.c_str() + line.rfind(' '));
  }
  return sum;
}

double Cluster::GuardCounter(const std::string& name,
                             const std::string& label) const {
  double sum = 0;
  for (int i = 0; i < options_.guards; ++i) {
    sum += Counter(guard_http(i), name, label);
  }
  return sum;
}

double Cluster::EntryCounter(const std::string& name,
                             const std::string& label) const {
  double sum = 0;
  for (int i = 0; i < options_.entries; ++i) {
    sum += Counter(entry_http(i), name, label);
  }
  return sum;
}

std::string JobBody(const std::string& prefix, int tasks, int run_ms,
                    bool repeatable, int deadline_ms,
                    std::optional<int> deadly) {
  json list = json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back(prefix + "-" + std::to_string(i) + "|" +
                   (i == deadly ? "crash" : std::to_string(run_ms)));
  }
  return json{{"team", "club"},
              {"service", "sketch"},
              {"repeatable", repeatable},
              {"deadline_ms", deadline_ms},
              {"tasks", list}}
      .dump();
}

bool WaitUntil(const std::function<bool()>& condition, Millis timeout) {
  const Instant end = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace qs::test
