#include "held/order_log.h"

#include <utility>

namespace qs {

void OrderLog::Add(const std::string& job, const std::string& task,
                   const RunOrder& order, const WorkerRecord& record,
                   Instant now) {
  std::string& orders = orders_[job];
  if (!orders.empty()) orders += ' ';
  orders += task + "/" + std::to_string(order.attempt) + "=" +
            std::to_string(order.number) + "@" + record.address.ToString() +
            "," + Text(Elapsed(record.last_report_at, now)) + "ms";
}

void OrderLog::Flush() {
  for (const auto& [job, orders] : std::exchange(orders_, {})) {
    log_->Record("tasks_ordered", {{"job", job}, {"orders", orders}});
  }
}

}  // namespace qs
