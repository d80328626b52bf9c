// A stand-in for the platform's metadata store: ranges, watches, transactions
// and leases, as PROTOCOL.md has them. It is always up and loses nothing.
#pragma once

#include <condition_variable>
#include <nlohmann/json.hpp>

#include "http.h"

namespace lab {

using nlohmann::json;

inline std::string EncodeBase64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8U |
             (i + k < text.size() ? static_cast<uint8_t>(text[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k <= text.size() ? kDigits[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

class Store {
 public:
  explicit Store(const Endpoint& at)
      : server_(at, [this](const Request& r) { return OnCall(r); }) {}
  ~Store() {
    is_stopping_ = true;
    changed_.notify_all();
    server_.Stop();
  }

  bool Start() { return server_.Start(); }

  // As the operator writes.
  void Write(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {EncodeBase64(value), ++revision_, 0};
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;  // Base64.
    int64_t revision = 0;
    int64_t lease = 0;
  };
  struct Lease {
    Millis ttl;
    Instant ends;
  };

  Response OnCall(const Request& request) {
    {
      const std::lock_guard lock(mutex_);
      EndLeases();
    }
    if (request.path == "/-/kv-range") return OnRange(request);
    if (request.path == "/-/kv-watch") return OnWatch(request);
    if (request.path == "/-/kv-txn") return OnTxn(request);
    if (request.path == "/-/kv-lease") return OnLease(request);
    constexpr std::string_view kKeep = "/-/kv-keep/";
    if (request.path.starts_with(kKeep)) {
      return OnKeep(std::stoll(request.path.substr(kKeep.size())));
    }
    return {404, "{}"};
  }

  static std::string Parameter(const Request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
  }

  static json Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.revision},
            {"lease", item.lease}};
  }

  void EndLeases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (Clock::now() < lease->second.ends) {
        ++lease;
        continue;
      }
      for (auto item = items_.begin(); item != items_.end();) {
        if (item->second.lease != lease->first) {
          ++item;
          continue;
        }
        deleted_[item->first] = ++revision_;
        item = items_.erase(item);
      }
      lease = leases_.erase(lease);
    }
  }

  Response OnRange(const Request& request) {
    constexpr size_t kPage = 500;
    const std::string prefix = Parameter(request, "prefix");
    const std::string after = Parameter(request, "after");
    const std::lock_guard lock(mutex_);
    json items = json::array();
    bool has_more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      has_more = items.size() == kPage;
      if (has_more) break;
      items.push_back(Row(key, item));
    }
    return {200, json{{"items", items},
                      {"hasMore", has_more},
                      {"storeRevision", revision_}}
                     .dump()};
  }

  Response OnWatch(const Request& request) {
    const std::string prefix = Parameter(request, "prefix");
    const int64_t after = std::stoll(Parameter(request, "after"));
    const Instant until =
        Clock::now() + Millis(std::stoll(Parameter(request, "waitMs")));
    std::unique_lock lock(mutex_);
    json events = json::array();
    changed_.wait_until(lock, until, [&] {
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && item.revision > after) {
          events.push_back(Row(key, item));
        }
      }
      for (const auto& [key, revision] : deleted_) {
        if (key.starts_with(prefix) && revision > after) {
          events.push_back(
              {{"key", key}, {"revision", revision}, {"deleted", true}});
        }
      }
      return !events.empty() || is_stopping_;
    });
    return {200, json{{"events", events}, {"storeRevision", revision_}}.dump()};
  }

  Response OnTxn(const Request& request) {
    const json body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    json current = json::array();
    bool holds = true;
    for (const json& row : body.value("precondition", json::array())) {
      const std::string key = row.at("key");
      const auto found = items_.find(key);
      const bool is_there = found != items_.end();
      if (is_there) current.push_back(Row(key, found->second));
      holds = holds && row.at("revision").get<int64_t>() ==
                           (is_there ? found->second.revision : 0);
    }
    if (!holds) return {412, json{{"items", current}}.dump()};
    for (const json& write : body.value("writes", json::array())) {
      const int64_t lease = write.value("lease", int64_t{0});
      if (lease != 0 && !leases_.contains(lease)) return {404, "{}"};
    }
    ++revision_;
    for (const json& write : body.value("writes", json::array())) {
      items_[write.at("key")] = {write.at("value"), revision_,
                                 write.value("lease", int64_t{0})};
    }
    for (const json& key : body.value("deletes", json::array())) {
      if (items_.erase(key) > 0) deleted_[key] = revision_;
    }
    changed_.notify_all();
    return {200, json{{"revision", revision_}}.dump()};
  }

  Response OnLease(const Request& request) {
    const Millis ttl(json::parse(request.body).at("ttlMs").get<int64_t>());
    const std::lock_guard lock(mutex_);
    const int64_t number = next_lease_++;
    leases_[number] = {ttl, Clock::now() + ttl};
    return {200, json{{"lease", number}, {"ttlMs", ttl.count()}}.dump()};
  }

  Response OnKeep(int64_t number) {
    const std::lock_guard lock(mutex_);
    const auto lease = leases_.find(number);
    if (lease == leases_.end()) return {404, "{}"};
    lease->second.ends = Clock::now() + lease->second.ttl;
    return {200, json{{"ttlMs", lease->second.ttl.count()}}.dump()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::string, int64_t> deleted_;  // Revision of the deletion.
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1;
  std::atomic<bool> is_stopping_{false};
  Server server_;
};

}  // namespace lab
