#pragma once

#include <string>
#include <utility>
#include <vector>

namespace qs {

// One fault in an input: its location and a description.
struct Finding {
  // "file:line [section] key", a JSON pointer, or a command-line option.
  std::string place;
  std::string text;
};

// Collects the faults of one input, so that its parser can report all of them
// at once.
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

  // One line "place: text" per finding, each terminated by a newline.
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
