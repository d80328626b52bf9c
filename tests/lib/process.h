#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "quetzalspindle/time.h"

namespace qs::test {

// A program that a test or tool started. Killed when the object goes.
class Process {
 public:
  // Starts a program; its output goes to the file `log`.
  static std::unique_ptr<Process> Start(const std::vector<std::string>& command,
                                        const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // The exit code, -1 after a signal, -2 when it did not end in time.
  int Wait(Millis timeout);
  void Kill();
  bool running();

 private:
  explicit Process(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  bool ended_ = false;
  int exit_code_ = -1;
};

}  // namespace qs::test
