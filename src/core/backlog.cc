#include "core/backlog.h"

#include <cassert>

namespace qs {

Backlog::TeamQueue& Backlog::QueueOf(const std::string& team) {
  TeamQueue& queue = teams_[team];
  if (queue.tasks.empty()) turns_.push_back(team);
  return queue;
}

void Backlog::Push(const std::string& team, TaskRef task) {
  QueueOf(team).tasks.push_back(task);
  ++size_;
}

void Backlog::PushFront(const std::string& team, TaskRef task) {
  QueueOf(team).tasks.push_front(task);
  ++size_;
}

TaskRef Backlog::Pop() {
  assert(size_ > 0);
  const auto turn = turns_.begin();
  const auto queue = teams_.find(*turn);
  const TaskRef task = queue->second.tasks.front();
  queue->second.tasks.pop_front();
  --size_;
  if (queue->second.tasks.empty()) {
    teams_.erase(queue);
    turns_.erase(turn);
  } else {
    turns_.splice(turns_.end(), turns_, turn);
  }
  return task;
}

}  // namespace qs
