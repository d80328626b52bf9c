#include "core/backlog.h"

#include <cassert>

namespace qs {

Backlog::TeamQueue& Backlog::QueueOf(const std::string& team) {
  TeamQueue& queue = teams_[team];
  if (queue.tasks.empty()) team_order_.push_back(team);
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
  const auto turn = team_order_.begin();
  const auto queue = teams_.find(*turn);
  const TaskRef task = queue->second.tasks.front();
  queue->second.tasks.pop_front();
  --size_;
  if (queue->second.tasks.empty()) {
    teams_.erase(queue);
    team_order_.erase(turn);
  } else {
    team_order_.splice(team_order_.end(), team_order_, turn);
  }
  return task;
}

}  // namespace qs
