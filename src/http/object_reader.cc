#include "http/object_reader.h"

#include <limits>

#include "http/json_limits.h"

namespace qs {
namespace {

using nlohmann::json;

constexpr size_t kMaxTextBytes = 200;
constexpr size_t kMaxFindings = 50;

}  // namespace

ObjectReader::ObjectReader(const json& object, Findings* findings)
    : object_(object), findings_(findings) {}

const json* ObjectReader::Member(const char* key) {
  read_keys_.insert(key);
  const auto member = object_.find(key);
  return member == object_.end() ? nullptr : &*member;
}

std::string ObjectReader::Text(const char* key, bool required) {
  const json* member = Member(key);
  if (member == nullptr) {
    if (required) Add(key, "required member is missing");
    return {};
  }
  if (!member->is_string()) {
    Add(key, "must be a string");
    return {};
  }
  auto text = member->get<std::string>();
  if (required && text.empty()) Add(key, "must not be empty");
  if (text.size() > kMaxTextBytes) {
    Add(key, "is longer than " + std::to_string(kMaxTextBytes) + " bytes");
  }
  return text;
}

std::vector<std::string> ObjectReader::Texts(const char* key) {
  std::vector<std::string> texts;
  const json* member = Member(key);
  if (member == nullptr || !member->is_array() || member->empty()) {
    Add(key, "must be an array of at least one string");
    return texts;
  }
  for (size_t i = 0; i < member->size(); ++i) {
    const json& item = (*member)[i];
    if (item.is_string() && !item.get_ref<const std::string&>().empty()) {
      texts.push_back(item.get<std::string>());
    } else {
      Add(key + std::string("/") + std::to_string(i),
          "must be a string that is not empty");
    }
  }
  return texts;
}

uint32_t ObjectReader::Number(const char* key, uint32_t min, uint32_t max,
                              uint32_t fallback) {
  const json* member = Member(key);
  if (member == nullptr) return fallback;
  const bool valid = member->is_number_unsigned() &&
                     member->get<uint64_t>() >= min &&
                     member->get<uint64_t>() <= max;
  if (!valid) {
    Add(key, "must be a whole number of " + std::to_string(min) + " to " +
                 std::to_string(max));
    return fallback;
  }
  return member->get<uint32_t>();
}

Millis ObjectReader::Duration(const char* key, Millis fallback) {
  constexpr uint32_t kMax = std::numeric_limits<int32_t>::max();
  return Millis(Number(key, 1, kMax, static_cast<uint32_t>(fallback.count())));
}

bool ObjectReader::Flag(const char* key) {
  const json* member = Member(key);
  if (member == nullptr) return false;
  if (!member->is_boolean()) {
    Add(key, "must be true or false");
    return false;
  }
  return member->get<bool>();
}

void ObjectReader::RejectUnknown() {
  for (const auto& [key, value] : object_.items()) {
    if (!read_keys_.contains(key)) Add(key, "unknown member");
  }
}

void ObjectReader::Add(const std::string& key, const std::string& text) {
  if (findings_->items().size() >= kMaxFindings) return;
  findings_->Add("/" + key, text);
}

Checked<json> ParseObject(const std::string& body) {
  if (HasMoreJsonValues(body, kMaxJsonValues)) {
    return tl::unexpected(Findings("", "the body holds more than " +
                                           std::to_string(kMaxJsonValues) +
                                           " JSON values"));
  }
  json document;
  try {
    document = json::parse(body);
  } catch (const json::exception& error) {
    return tl::unexpected(Findings("", error.what()));
  }
  if (!document.is_object()) {
    return tl::unexpected(Findings("", "the body must be a JSON object"));
  }
  return document;
}

}  // namespace qs
