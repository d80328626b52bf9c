#include "settings/declarations_text.h"

#include <gtest/gtest.h>

#include "core/configuration.h"

namespace qs::test {
namespace {

TEST(DeclarationsTextTest, ReadsEverySection) {
  const auto read =
      ParseDeclarations("d",
                        "[team club]\nmax_open_tasks = 10\n[service s]\n"
                        "max_tasks_per_job = 5\nmax_deadline_ms = 100\n"
                        "[drain 10.0.0.1:7000]\nreason = new disk shelf\n");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->teams.at("club").max_open_tasks, 10U);
  EXPECT_EQ(read->services.at("s").max_deadline, Millis(100));
  EXPECT_EQ(read->drains.begin()->second.reason, "new disk shelf");
}

TEST(DeclarationsTextTest, ReportsEveryFaultWithItsPlace) {
  const auto read = ParseDeclarations(
      "d",
      "[team a]\nmax_open_tasks = 0\nsize = 2\n[king]\nx = 1\n"
      "[drain nowhere]\nreason = x\nnot ini\n[team b]\n"
      "max_open_tasks = 1\nmax_open_tasks = 2\n");
  ASSERT_FALSE(read);
  std::vector<std::string> places;
  for (const Finding& f : read.error().items()) places.push_back(f.place);
  EXPECT_EQ(places,
            (std::vector<std::string>{"d:8", "d:2 [team a] max_open_tasks",
                                      "d:3 [team a] size", "d:5 [king] x",
                                      "d:7 [drain nowhere] reason",
                                      "d:11 [team b] max_open_tasks"}));
}

TEST(DeclarationsTextTest, DiffNamesWhatChanges) {
  const auto a = ParseDeclarations("a", "[team x]\nmax_open_tasks = 1\n");
  const auto b = ParseDeclarations(
      "b", "[team x]\nmax_open_tasks = 2\n[team y]\nmax_open_tasks = 3\n");
  EXPECT_EQ(DiffDeclarations(*a, *b),
            (std::vector<std::string>{"- [team x] max_open_tasks = 1",
                                      "+ [team x] max_open_tasks = 2",
                                      "+ [team y] max_open_tasks = 3"}));
  EXPECT_TRUE(DiffDeclarations(*a, *a).empty());
}

TEST(ConfigurationTest, VersionNeverDecreases) {
  Configuration configuration;
  EXPECT_FALSE(configuration.is_known());
  EXPECT_TRUE(configuration.ApplyIfNewer(3, "three"));
  EXPECT_FALSE(configuration.ApplyIfNewer(3, "other"));
  EXPECT_FALSE(configuration.ApplyIfNewer(2, "two"));
  EXPECT_EQ(configuration.document(), "three");
}

}  // namespace
}  // namespace qs::test
