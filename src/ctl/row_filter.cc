#include "ctl/row_filter.h"

#include <algorithm>
#include <cstdlib>

namespace qs {
namespace {

std::string CellText(const nlohmann::json& cell) {
  return cell.is_string() ? cell.get<std::string>() : cell.dump();
}

}  // namespace

Checked<RowFilter> RowFilter::Parse(const std::vector<std::string>& words) {
  RowFilter filter;
  Findings findings;
  for (const std::string& word : words) {
    const size_t at = word.find_first_of("=!<>");
    Condition condition;
    if (at == std::string::npos || at == 0) {
      findings.Add("'" + word + "'",
                   "is not a condition such as state=failed or age_ms>1000");
      continue;
    }
    condition.column = word.substr(0, at);
    size_t value_at = at + 1;
    if (word[at] == '>') condition.op = Operator::kGreater;
    if (word[at] == '<') condition.op = Operator::kLess;
    if (word[at] == '!') {
      condition.op = Operator::kNotEqual;
      if (word.compare(at, 2, "!=") != 0) {
        findings.Add("'" + word + "'", "write != for not equal");
        continue;
      }
      ++value_at;
    }
    condition.value = word.substr(value_at);
    const bool is_ordering =
        condition.op == Operator::kGreater || condition.op == Operator::kLess;
    char* end = nullptr;
    std::strtod(condition.value.c_str(), &end);
    if (is_ordering && (condition.value.empty() || *end != '\0')) {
      findings.Add("'" + word + "'", "has a right side that is not a number");
      continue;
    }
    filter.columns_.push_back(condition.column);
    filter.conditions_.push_back(std::move(condition));
  }
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return filter;
}

bool RowFilter::Passes(const nlohmann::json& row) const {
  return std::all_of(conditions_.begin(), conditions_.end(),
                     [&](const Condition& condition) {
                       const auto cell = row.find(condition.column);
                       return cell != row.end() && Meets(*cell, condition);
                     });
}

bool RowFilter::Meets(const nlohmann::json& cell, const Condition& condition) {
  const double wanted = std::atof(condition.value.c_str());
  switch (condition.op) {
    case Operator::kEqual:
      return CellText(cell) == condition.value;
    case Operator::kNotEqual:
      return CellText(cell) != condition.value;
    case Operator::kGreater:
      return cell.is_number() && cell.get<double>() > wanted;
    case Operator::kLess:
      return cell.is_number() && cell.get<double>() < wanted;
  }
  return false;
}

}  // namespace qs
