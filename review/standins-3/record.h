// What was sent, answered and run, in the order in which it was seen.
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace lab {

class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), began_(Clock::now()) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  bool is_open() const { return file_ != nullptr; }

  void Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f s  %s\n",
                 std::chrono::duration<double>(Clock::now() - began_).count(),
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Instant began_;
};

}  // namespace lab
