#include "daemon/platform_agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace qs {
namespace {

// One key per address, so that a restarted process replaces its earlier
// registration.
constexpr const char* kMemberPrefix = "/quetzalspindle/members/";
constexpr int kRefreshGrowth = 3;
constexpr const char* kEntryName = "entry";
constexpr const char* kGuardName = "guard";

// Of one read of the members. The number of entries by other programs has no
// limit, and their lines must not crowd out other warnings.
constexpr size_t kMaxLoggedMembers = 8;
constexpr size_t kMaxLoggedKeyBytes = 200;

// Parses a registration. Returns the reason if it does not have this program's
// format, for example because another program wrote it.
tl::expected<RegisteredMember, std::string> ReadMember(const KeyValue& entry) {
  const auto odd = [](const char* reason) {
    return tl::unexpected(std::string(reason));
  };
  const std::string_view prefix = kMemberPrefix;
  const std::string_view key = entry.key;
  if (!key.starts_with(prefix)) {
    return odd("the key lacks the prefix");
  }
  const auto parsed = Address::Parse(key.substr(prefix.size()));
  if (!parsed) return odd("the key ends in no IP:port");
  const auto value = nlohmann::json::parse(entry.value, nullptr, false);
  if (!value.is_object()) return odd("is not a JSON object");
  const auto text = [&](const char* name) {
    const auto field = value.find(name);
    return field != value.end() && field->is_string()
               ? field->get<std::string>()
               : std::string();
  };
  RegisteredMember member{*parsed, Role::kGuard, text("zone")};
  const std::string role = text("role");
  if (role == kEntryName) {
    member.role = Role::kEntry;
  } else if (role != kGuardName) {
    return odd("role must be entry or guard");
  }
  return member;
}

}  // namespace

std::unique_ptr<PlatformAgent> PlatformAgent::Make(
    const PlatformAgentOptions& options, std::unique_ptr<PlatformStore> store,
    std::function<void(std::vector<RegisteredMember>)> on_members) {
  std::unique_ptr<PlatformAgent> agent(
      new PlatformAgent(options, std::move(store), std::move(on_members)));
  agent->thread_ = std::thread([raw = agent.get()] { raw->Run(); });
  return agent;
}

PlatformAgent::PlatformAgent(
    const PlatformAgentOptions& options, std::unique_ptr<PlatformStore> store,
    std::function<void(std::vector<RegisteredMember>)> on_members)
    : options_(options),
      store_(std::move(store)),
      on_members_(std::move(on_members)) {}

PlatformAgent::~PlatformAgent() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  stopped_changed_.notify_all();
  thread_.join();
}

void PlatformAgent::Run() {
  Millis delay = options_.first_retry;
  bool is_registered = false;
  bool has_read = false;
  while (true) {
    is_registered = is_registered || Register();
    has_read = has_read || ReadMembers();
    if (is_registered && has_read) break;
    if (!Wait(delay)) return;
    delay = std::min(delay * 2, options_.longest_retry);
  }
  Log(LogLevel::kInfo, "registered", {{"lease", std::to_string(lease_)}});
  Maintain();
}

// Lease renewals and reads of the members have separate intervals.
void PlatformAgent::Maintain() {
  const bool reads_members = options_.role == Role::kEntry;
  Millis refresh = reads_members ? options_.first_refresh : options_.refresh;
  Instant next_read = Clock::now() + refresh;
  Instant next_renewal = Clock::now() + options_.renewal;
  const auto next = [&] {
    return lease_ != 0 ? std::min(next_read, next_renewal) : next_read;
  };
  while (Wait(std::chrono::ceil<Millis>(next() - Clock::now()))) {
    const Instant now = Clock::now();
    if (lease_ != 0 && now >= next_renewal) {
      next_renewal = now + options_.renewal;
      Renew();
    }
    if (now < next_read) continue;
    refresh = std::min(refresh * kRefreshGrowth, options_.refresh);
    next_read = now + refresh;
    if (reads_members) ReadMembers();
  }
}

void PlatformAgent::Renew() {
  const Result<bool> is_renewed = store_->RenewLease(lease_);
  LogReachability(is_renewed ? std::error_code() : is_renewed.error());
  if (!is_renewed || *is_renewed) return;
  const int64_t ended = lease_;
  const bool is_registered_again = Register();
  Log(LogLevel::kWarn, "registration_lapsed",
      {{"lease", std::to_string(ended)},
       {"registered_again", is_registered_again ? "yes" : "no"}});
}

// Logs only when the registry becomes unreachable or reachable again, not for
// each call.
void PlatformAgent::LogReachability(std::error_code error) {
  const bool is_reachable = !error;
  if (is_reachable == was_reachable_) return;
  was_reachable_ = is_reachable;
  Log(is_reachable ? LogLevel::kInfo : LogLevel::kWarn,
      is_reachable ? "registry_regained" : "registry_lost",
      {{"lease", std::to_string(lease_)}, {"error", error.message()}});
}

bool PlatformAgent::Register() {
  const Result<int64_t> lease = store_->GrantLease(options_.lease);
  // In a store without leases, the registration never expires.
  if (!lease && lease.error() != std::errc::operation_not_supported) {
    LogReachability(lease.error());
    return false;
  }
  const nlohmann::json value = {
      {"role", options_.role == Role::kEntry ? kEntryName : kGuardName},
      {"zone", options_.zone}};
  const std::error_code error =
      store_->Put(kMemberPrefix + options_.address.ToString(), value.dump(),
                  lease.value_or(0));
  LogReachability(error);
  if (error) return false;
  lease_ = lease.value_or(0);
  return true;
}

bool PlatformAgent::ReadMembers() {
  const Result<StoreRange> range = store_->ReadPrefix(kMemberPrefix);
  LogReachability(range ? std::error_code() : range.error());
  if (!range) return false;
  std::vector<RegisteredMember> members;
  size_t unreadable = 0;
  for (const KeyValue& entry : range->entries) {
    const auto member = ReadMember(entry);
    if (!member) {
      if (++unreadable > kMaxLoggedMembers) continue;
      Log(LogLevel::kWarn, "member_unreadable",
          {{"key", entry.key.substr(0, kMaxLoggedKeyBytes)},
           {"reason", member.error()}});
    } else if (member->address != options_.address) {
      members.push_back(*member);
    }
  }
  if (unreadable > kMaxLoggedMembers) {
    Log(LogLevel::kWarn, "members_unreadable",
        {{"entries", std::to_string(unreadable)},
         {"logged", std::to_string(kMaxLoggedMembers)}});
  }
  on_members_(std::move(members));
  return true;
}

bool PlatformAgent::Wait(Millis duration) {
  std::unique_lock lock(mutex_);
  return !stopped_changed_.wait_for(lock, duration, [&] { return stopped_; });
}

}  // namespace qs
