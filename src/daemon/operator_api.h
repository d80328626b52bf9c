#pragma once

#include <string>
#include <vector>

#include "base/rcu_cell.h"
#include "daemon/guard_view.h"
#include "http/http_server.h"

namespace qs {

class CallTable;
struct Kernel;

// The HTTP interface of an entry for its operators. Queries the guards and
// combines their replies. Its handlers run on HTTP threads.
class OperatorApi {
 public:
  // All must outlive the object.
  OperatorApi(Kernel* kernel, CallTable* calls, const RcuCell<GuardView>* view);

  void AddRoutes(std::vector<HttpServer::Route>* routes);

 private:
  HttpResponse OnList(const std::string& verb);
  HttpResponse OnMembers();
  HttpResponse OnTasks(const HttpRequest& request);
  HttpResponse OnDrain(const std::string& verb, const HttpRequest& request);

  Kernel* kernel_;
  CallTable* calls_;
  const RcuCell<GuardView>* view_;
};

}  // namespace qs
