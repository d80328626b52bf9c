#pragma once

#include <memory>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/caller_protocol.h"
#include "quetzalspindle/catalog.h"
#include "quetzalspindle/platform_store.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/worker_protocol.h"

namespace qs {

// A plug-in that adapts the program to one platform's protocols. It translates
// messages and makes no decisions. Plug-ins register under a name, and the
// settings select one of them.
class Deployment {
 public:
  virtual ~Deployment() = default;

  virtual const CallerProtocol& callers() const = 0;
  virtual const WorkerProtocol& workers() const = 0;
  // Key in the platform's store under which the operators write the catalog.
  virtual std::string catalog_key() const = 0;
  // Prefix of the keys in the platform's store that evacuate an availability
  // zone for as long as they exist. The rest of the key is the zone's name.
  virtual std::string evacuation_prefix() const = 0;
  // Prefix that the catalog key and the evacuations share, with few other keys.
  virtual std::string operator_prefix() const = 0;
  Checked<Catalog> DecodeCatalog(const std::string& document) const {
    return OnDecodeCatalog(document);
  }
  // An answer larger than `max_answer_bytes` counts as none.
  std::unique_ptr<PlatformStore> MakeStore(Address store, Millis timeout,
                                           size_t max_answer_bytes) const {
    return OnMakeStore(store, timeout, max_answer_bytes);
  }

 private:
  virtual Checked<Catalog> OnDecodeCatalog(
      const std::string& document) const = 0;
  virtual std::unique_ptr<PlatformStore> OnMakeStore(
      Address store, Millis timeout, size_t max_answer_bytes) const = 0;
};

using DeploymentFactory = std::unique_ptr<Deployment> (*)();

// The plug-ins linked into the program.
class DeploymentRegistry {
 public:
  static DeploymentRegistry& Instance();

  // Returns true, so that a namespace-scope constant can register a plug-in.
  bool Register(std::string name, DeploymentFactory factory);
  // Null for an unknown name.
  std::unique_ptr<Deployment> Make(const std::string& name) const;
  std::vector<std::string> names() const;

 private:
  struct Row {
    std::string name;
    DeploymentFactory factory;
  };
  std::vector<Row> rows_;
};

}  // namespace qs
