#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace qs {

// Formats rows as a text table with a heading, showing the given columns.
std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<std::string>& columns);

}  // namespace qs
