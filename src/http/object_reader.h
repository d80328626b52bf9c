#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "quetzalspindle/findings.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

// Reads the members of one JSON object and collects everything that is wrong
// with them, each with its JSON pointer.
class ObjectReader {
 public:
  // Both must outlive the reader.
  ObjectReader(const nlohmann::json& object, Findings* findings);

  // Text and Texts return an empty value if the member is absent or invalid.
  std::string Text(const char* key, bool required);
  std::vector<std::string> Texts(const char* key);
  uint32_t Number(const char* key, uint32_t min, uint32_t max,
                  uint32_t fallback);
  Millis Duration(const char* key, Millis fallback);
  bool Flag(const char* key);
  const nlohmann::json* Member(const char* key);
  // Adds a finding for each member that was not read before this call.
  void RejectUnknown();
  void Add(const std::string& key, const std::string& text);

 private:
  const nlohmann::json& object_;
  Findings* findings_;
  std::set<std::string> read_keys_;
};

// Parses a JSON object. On a syntax error, the finding gives its position.
Checked<nlohmann::json> ParseObject(const std::string& body);

}  // namespace qs
