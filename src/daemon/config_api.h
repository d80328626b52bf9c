#pragma once

#include <vector>

#include "base/rcu_cell.h"
#include "http/http_server.h"
#include "kernel/kernel.h"
#include "store/config_store.h"

namespace qs {

// The configuration in force at an entry, for its HTTP threads.
struct ConfigView {
  uint64_t version = 0;
  std::string document;
};

// The operators' interface to the configuration. Its handlers run on HTTP
// threads.
class ConfigApi {
 public:
  // Both must outlive the object.
  ConfigApi(Kernel* kernel, const RcuCell<ConfigView>* view);

  void AddRoutes(std::vector<HttpServer::Route>* routes);

 private:
  HttpResponse OnGet();
  HttpResponse OnApply(const HttpRequest& request);

  Kernel* kernel_;
  const RcuCell<ConfigView>* view_;
};

}  // namespace qs
