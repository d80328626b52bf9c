// Runs every reader of outside bytes on its corpus and on seeded mutations of
// it.

#include "fuzz/readers.h"

#include <gtest/gtest.h>

#include <random>

namespace qs::test {
namespace {

constexpr uint32_t kSeed = 20261204;
constexpr int kMutationsPerInput = 4000;

std::string Mutate(std::string text, std::mt19937* random) {
  const auto below = [&](size_t n) { return (*random)() % n; };
  const size_t edits = 1 + below(4);
  for (size_t i = 0; i < edits; ++i) {
    const size_t at = below(text.size() + 1);
    switch (below(4)) {
      case 0:
        text.insert(at, 1, static_cast<char>(below(256)));
        break;
      case 1:
        if (at < text.size()) text[at] = static_cast<char>(below(256));
        break;
      case 2:
        text.erase(at, 1 + below(8));
        break;
      default:
        text.insert(at, text.substr(below(text.size() + 1), below(16)));
        break;
    }
  }
  return text;
}

TEST(ReadersTest, SurviveTheirCorpusAndItsMutations) {
  std::mt19937 random(kSeed);
  for (const Reader& reader : Readers()) {
    SCOPED_TRACE(reader.name);
    for (const std::string& input : reader.corpus) {
      for (int i = 0; i <= kMutationsPerInput; ++i) {
        const std::string text = i == 0 ? input : Mutate(input, &random);
        reader.read(reinterpret_cast<const uint8_t*>(text.data()), text.size());
      }
    }
  }
}

}  // namespace
}  // namespace qs::test
