#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "quetzalspindle/time.h"

namespace qs {

// Formats a value of a log field.
inline std::string Text(uint64_t value) { return std::to_string(value); }
inline std::string Text(Millis value) { return std::to_string(value.count()); }

// Receives an event for each decision about a request and for each change of
// the process's view of other processes. The classes that decide do no I/O and
// report through this interface; the daemon's implementation writes the log.
class DecisionLog {
 public:
  using Field = std::pair<std::string_view, std::string>;

  virtual ~DecisionLog() = default;

  // Logs one decision. `event` is a snake_case name; `fields` hold the id of
  // the request, the inputs of the decision with their age or version, and the
  // outcome.
  void Record(std::string_view event, std::initializer_list<Field> fields) {
    OnRecord(event, fields);
  }

 private:
  virtual void OnRecord(std::string_view /*event*/,
                        std::initializer_list<Field> /*fields*/) {}
};

}  // namespace qs
