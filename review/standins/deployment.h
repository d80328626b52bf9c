#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lib/fake_kv.h"
#include "lib/process.h"
#include "standins/minion.h"
#include "standins/record.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct Reply {
  int status = 0;  // 0 if none came.
  std::string body;
};

// A small deployment on loopback addresses of its own: the daemons, started
// with the command of the deploy file and settings made of its templates, the
// store, and a minion for each guard.
class Deployment {
 public:
  // `change` may alter the options of the minion with that number.
  Deployment(int entries, int guards, Record* record,
             const std::function<void(int, MinionOptions*)>& change = {});
  ~Deployment();

  // Whether each entry came to complete a short job.
  bool WaitReady();

  Minion& minion(int i) { return *minions_.at(static_cast<size_t>(i)); }
  int minion_count() const { return static_cast<int>(minions_.size()); }
  qs::test::Process& entry(int i) {
    return *entries_.at(static_cast<size_t>(i));
  }
  qs::test::Process& guard(int i) {
    return *guards_.at(static_cast<size_t>(i));
  }
  qs::test::FakeKv& store() { return *store_; }
  void StartEntry(int i);
  void StartGuard(int i);
  qs::Address EntryAt(int i, int port) const { return At(10 + i, port); }
  qs::Address GuardAt(int i, int port) const { return At(100 + i, port); }

  void WriteConfig(uint64_t version, const nlohmann::json& routes);
  static nlohmann::json Route(const std::string& name,
                              const std::string& prefix);

  // A request of a client, on a connection of its own.
  Reply Send(const std::string& method, int entry, const std::string& path,
             const std::string& body, Millis patience);
  // A job without `bestEffort` would have to be stored.
  static std::string JobBody(const std::string& spec,
                             const nlohmann::json& phases);
  // 16 hexadecimal digits, new each time.
  std::string NextId();
  // All runs of all minions.
  std::vector<TaskRun> runs();

 private:
  qs::Address At(int host, int port) const;
  std::unique_ptr<qs::test::Process> Start(const std::string& name,
                                           const std::string& settings_template,
                                           const std::string& ip,
                                           const std::string& app);

  Record* record_;
  std::string net_;
  std::string directory_;
  int entry_count_;
  int started_ = 0;
  std::atomic<uint64_t> next_id_{0};
  std::unique_ptr<qs::test::FakeKv> store_;
  std::vector<std::unique_ptr<Minion>> minions_;
  std::vector<std::unique_ptr<qs::test::Process>> entries_;
  std::vector<std::unique_ptr<qs::test::Process>> guards_;
};

bool WaitUntil(const std::function<bool()>& condition, Millis patience);

// Whether the case shall cause its disruption: unless TROUBLE is 0.
bool HasTrouble();

}  // namespace review
