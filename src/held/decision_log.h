#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "quetzalspindle/time.h"

namespace qs {

// Values of fields.
inline std::string Text(uint64_t value) { return std::to_string(value); }
inline std::string Text(Millis value) { return std::to_string(value.count()); }

// Takes a record of each decision that touches a request or changes what the
// process believes. The deciding parts have no I/O; the daemon writes the log.
class DecisionLog {
 public:
  using Field = std::pair<std::string_view, std::string>;

  virtual ~DecisionLog() = default;

  // `event` is a snake_case name; `fields` hold the request's id, the deciding
  // inputs with their age or version, and the outcome.
  void Record(std::string_view event, std::initializer_list<Field> fields) {
    OnRecord(event, fields);
  }

 private:
  virtual void OnRecord(std::string_view /*event*/,
                        std::initializer_list<Field> /*fields*/) {}
};

}  // namespace qs
