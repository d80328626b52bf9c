#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "quetzalspindle/time.h"

namespace review {

using qs::Clock;
using qs::Instant;
using qs::Millis;

// What a case sent, got answered and saw run: a line for each event, with the
// milliseconds since the start of the case. May be used from any thread.
class Record {
 public:
  explicit Record(const std::string& path)
      : began_(Clock::now()), file_(path, std::ios::trunc) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << qs::Elapsed(began_, Clock::now()).count() << " ms " << line
          << std::endl;
  }

 private:
  const Instant began_;
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
