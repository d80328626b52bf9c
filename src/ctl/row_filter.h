#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalspindle/result.h"

namespace qs {

// The conditions of an operator's query, such as `state=failed`, `team!=club`
// or `age_ms>1000`. A row passes when it meets all of them.
class RowFilter {
 public:
  // Each word is one condition. On failure, reports every word that is not a
  // valid one.
  static Checked<RowFilter> Parse(const std::vector<std::string>& words);

  // `row` is a flat JSON object. It does not meet a condition on a column that
  // it lacks.
  bool Passes(const nlohmann::json& row) const;
  const std::vector<std::string>& columns() const { return columns_; }

 private:
  enum class Operator { kEqual, kNotEqual, kGreater, kLess };
  struct Condition {
    std::string column;
    Operator op = Operator::kEqual;
    std::string value;
  };

  static bool Meets(const nlohmann::json& cell, const Condition& condition);

  std::vector<Condition> conditions_;
  std::vector<std::string> columns_;  // Named by the conditions.
};

}  // namespace qs
