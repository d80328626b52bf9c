#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace qs {

// Identifies one task of a submission that this home owns.
struct TaskRef {
  uint64_t sequence = 0;
  uint32_t task = 0;
  auto operator<=>(const TaskRef&) const = default;
};

// Queue of tasks that wait for a backend server. Teams are served round robin;
// tasks of one team are served first in, first out.
class Backlog {
 public:
  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }

  void Push(const std::string& team, TaskRef task);
  // Queues a task that an executor returned unstarted ahead of all other tasks
  // of its team.
  void PushFront(const std::string& team, TaskRef task);
  // Removes and returns the next task. The backlog must not be empty.
  TaskRef Pop();

 private:
  struct TeamQueue {
    std::deque<TaskRef> tasks;
  };

  TeamQueue& QueueOf(const std::string& team);

  size_t size_ = 0;
  std::unordered_map<std::string, TeamQueue> teams_;
  std::list<std::string> team_order_;  // Teams with tasks, next first.
};

}  // namespace qs
