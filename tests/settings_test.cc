#include "settings/settings.h"

#include <gtest/gtest.h>

namespace qs::test {
namespace {

constexpr const char* kValid =
    "[process]\nrole = guard\nlisten = 10.0.0.1:7000\nhttp = 10.0.0.1:8000\n"
    "zone = ro-west-a\n";

std::vector<std::string> PlacesOf(const std::string& text) {
  const Checked<Settings> settings = ParseSettings("f.ini", text);
  std::vector<std::string> places;
  if (settings) return places;
  for (const Finding& finding : settings.error().items()) {
    places.push_back(finding.place);
  }
  return places;
}

TEST(SettingsTest, TakesDefaultsForWhatIsNotGiven) {
  const Checked<Settings> settings = ParseSettings("f.ini", kValid);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->placement, "least_loaded");
  EXPECT_EQ(settings->announcement_ttl, Millis(3000));
}

TEST(SettingsTest, ReportsEveryFaultWithItsPlace) {
  const auto places = PlacesOf(
      "[process]\nrole = king\nlisten = nowhere\nhttp = 10.0.0.1:8000\n"
      "this is no setting\n[guard]\nmax_jobs = 0\nmax_jobs = 5\nqueue = 3\n"
      "another bad line\nanswer_retention_ms = soon\n");
  EXPECT_EQ(places,
            (std::vector<std::string>{
                "f.ini:5", "f.ini:10", "f.ini:3 [process] listen",
                "f.ini:7 [guard] max_jobs", "f.ini:8 [guard] max_jobs",
                "f.ini:9 [guard] queue", "f.ini:11 [guard] answer_retention_ms",
                "f.ini [process] zone", "f.ini [process] role"}));
}

TEST(SettingsTest, NamesAMissingFile) {
  const Checked<Settings> settings = LoadSettings("/nonexistent/x.ini");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().items()[0].place, "/nonexistent/x.ini");
}

TEST(SettingsTest, ItsReferenceNamesOnlyKnownKeys) {
  const auto places = PlacesOf(std::string(kValid) + SettingsReference());
  EXPECT_TRUE(places.empty()) << places.size();
}

}  // namespace
}  // namespace qs::test
