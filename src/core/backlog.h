#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace qs {

// One task of one submission at this home.
struct TaskRef {
  uint64_t sequence = 0;
  uint32_t task = 0;
  auto operator<=>(const TaskRef&) const = default;
};

// Tasks that wait for a backend server. Teams take turns; within a team the
// order is first in, first out.
class Backlog {
 public:
  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }

  void Push(const std::string& team, TaskRef task);
  // For a task that came back: it goes before the other tasks of its team.
  void PushFront(const std::string& team, TaskRef task);
  // The next task; requires that the backlog is not empty.
  TaskRef Pop();

 private:
  struct TeamQueue {
    std::deque<TaskRef> tasks;
  };

  TeamQueue& QueueOf(const std::string& team);

  size_t size_ = 0;
  std::unordered_map<std::string, TeamQueue> teams_;
  std::list<std::string>
      team_order_;  // Teams with waiting tasks, next one first.
};

}  // namespace qs
