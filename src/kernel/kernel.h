#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/memory_plan.h"
#include "http/connection_intake.h"
#include "kernel/timer_service.h"
#include "metrics/metrics.h"
#include "quetzalspindle/deployment.h"
#include "quetzalspindle/ids.h"
#include "settings/settings.h"

namespace qs {

// The objects that a process passes to its role. One thread, called the core
// thread, runs `io`. The classes that make decisions are used on that thread
// only.
struct Kernel {
  explicit Kernel(Settings settings);

  // Returns a client of the key-value service that the settings name, or null
  // if they name none.
  std::unique_ptr<PlatformStore> MakeStore() const;

  Settings settings;
  // Null if the settings name no deployment.
  std::unique_ptr<Deployment> deployment;
  Incarnation incarnation;  // Random, new at each start.
  // That the process may open, as far as it is of use.
  const size_t descriptors;
  const MemoryPlan memory;
  asio::io_context io{1};
  TimerService timers{&io};
  Metrics metrics;
  // Limits the clients of all EventHttpServers of this process together.
  ConnectionIntake intake;
};

// A role that a process can have. Roles are registered by name, and the
// settings select one. All functions are called on the core thread.
class RolePlugin {
 public:
  virtual ~RolePlugin() = default;

  // Starts serving. Fails if an address cannot be bound.
  std::error_code Start() { return OnStart(); }
  // Begins a graceful stop: no new work is accepted from now on.
  void BeginStop() { OnBeginStop(); }
  // Whether all work in progress has ended and all its answers were sent.
  bool IsIdle() const { return OnIsIdle(); }
  // Releases threads and sockets.
  void Finish() { OnFinish(); }
  // Called with the new settings after the settings file changed. Applies those
  // that need no restart.
  void Reload(const Settings& settings) { OnReload(settings); }

 private:
  virtual std::error_code OnStart() = 0;
  virtual void OnBeginStop() = 0;
  virtual bool OnIsIdle() const = 0;
  virtual void OnFinish() = 0;
  virtual void OnReload(const Settings& /*settings*/) {}
};

using RoleFactory = std::unique_ptr<RolePlugin> (*)(Kernel* kernel);

class RoleRegistry {
 public:
  static RoleRegistry& Instance();
  bool Register(std::string name, RoleFactory factory);
  std::unique_ptr<RolePlugin> Make(const std::string& name,
                                   Kernel* kernel) const;

 private:
  struct Row {
    std::string name;
    RoleFactory factory;
  };
  std::vector<Row> rows_;
};

}  // namespace qs
