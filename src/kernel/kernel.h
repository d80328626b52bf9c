#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "metrics/metrics.h"
#include "quetzalspindle/deployment.h"
#include "quetzalspindle/ids.h"
#include "settings/settings.h"

namespace qs {

// What every role of a process is given. One thread runs `io`; it is called the
// core thread, and the deciding parts live on it.
struct Kernel {
  explicit Kernel(Settings settings);

  // The key-value service that the settings name, null where they name none.
  std::unique_ptr<PlatformStore> MakeStore() const;

  Settings settings;
  // Null where the settings name no deployment.
  std::unique_ptr<Deployment> deployment;
  Incarnation incarnation;  // Random, new at each start.
  asio::io_context io{1};
  TimerService timers{&io};
  Metrics metrics;
};

// A role that a process can have. Roles register by name; the settings choose
// one. All calls are made on the core thread.
class RolePlugin {
 public:
  virtual ~RolePlugin() = default;

  // Starts to serve. Fails when an address cannot be had.
  std::error_code Start() { return OnStart(); }
  // Takes no new work from now on.
  void BeginStop() { OnBeginStop(); }
  // Whether all work in progress has ended and was answered.
  bool IsIdle() const { return OnIsIdle(); }
  // Releases threads and sockets.
  void Finish() { OnFinish(); }
  // The settings file holds these now. Takes over what needs no restart.
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
