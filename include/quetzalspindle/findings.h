#pragma once

#include <string>
#include <utility>
#include <vector>

namespace qs {

// One fault in an input: where it stands and what is wrong with it.
struct Finding {
  std::string
      place;  // "file:line [section] key", a JSON pointer, or an option.
  std::string text;
};

// Collects every fault of one input, so that a reader reports them together.
class Findings {
 public:
  Findings() = default;
  Findings(std::string place, std::string text) {
    Add(std::move(place), std::move(text));
  }

  void Add(std::string place, std::string text) {
    items_.push_back({std::move(place), std::move(text)});
  }
  void Add(const Findings& others) {
    items_.insert(items_.end(), others.items_.begin(), others.items_.end());
  }
  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  // One line "place: text" per finding, each ended by a newline.
  std::string ToText() const {
    std::string out;
    for (const Finding& item : items_) {
      out += item.place + ": " + item.text + "\n";
    }
    return out;
  }

 private:
  std::vector<Finding> items_;
};

}  // namespace qs
