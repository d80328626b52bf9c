#include "ctl/table.h"

#include <algorithm>

namespace qs {
namespace {

std::string CellText(const nlohmann::json& row, const std::string& column) {
  const auto cell = row.find(column);
  if (cell == row.end()) return "-";
  std::string text =
      cell->is_string() ? cell->get<std::string>() : cell->dump();
  return text.empty() ? "-" : text;
}

}  // namespace

std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<std::string>& columns) {
  std::vector<size_t> widths;
  widths.reserve(columns.size());
  for (const std::string& column : columns) {
    size_t width = column.size();
    for (const auto& row : rows) {
      width = std::max(width, CellText(row, column).size());
    }
    widths.push_back(width);
  }
  std::string out;
  const auto append = [&](size_t i, const std::string& text) {
    out += text;
    const bool is_last = i + 1 == columns.size();
    if (is_last) {
      out += '\n';
    } else {
      out.append(widths[i] - text.size() + 2, ' ');
    }
  };
  for (size_t i = 0; i < columns.size(); ++i) append(i, columns[i]);
  for (const auto& row : rows) {
    for (size_t i = 0; i < columns.size(); ++i) {
      append(i, CellText(row, columns[i]));
    }
  }
  return out;
}

}  // namespace qs
