#include "http/job_json.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace qs::test {
namespace {

using nlohmann::json;

TEST(JobJsonTest, ReportsEveryFaultWithItsPointer) {
  const auto job =
      ParseJob(R"({"team":7,"tasks":["a",1,{"base64":"?"}],"deadline_ms":-1,)"
               R"("repeatable":"yes","colour":"red"})");
  ASSERT_FALSE(job);
  std::vector<std::string> places;
  for (const Finding& finding : job.error().items()) {
    places.push_back(finding.place);
  }
  EXPECT_EQ(places, (std::vector<std::string>{
                        "/team", "/service", "/deadline_ms", "/repeatable",
                        "/tasks/1", "/tasks/2/base64", "/colour"}));
}

TEST(JobJsonTest, CarriesBytesThatAreNoText) {
  const auto job =
      ParseJob(R"({"team":"t","service":"s","tasks":[{"base64":"/wA="}]})");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->payloads[0], std::string("\xff\0", 2));
  JobAnswer answer;
  answer.state = JobState::kComplete;
  answer.results = {{Outcome::kDone, Reason::kNone, std::string("\xff\0", 2)},
                    {Outcome::kDone, Reason::kNone, "plain"}};
  const json document = json::parse(AnswerResponse("id", answer).body);
  EXPECT_EQ(document["results"], json::parse(R"([{"base64":"/wA="},"plain"])"));
}

TEST(JobJsonTest, AFailedAnswerHoldsNoOutput) {
  JobAnswer answer;
  answer.state = JobState::kFailed;
  answer.reason = Reason::kBackendFailed;
  answer.results = {{Outcome::kDone, Reason::kNone, ""},
                    {Outcome::kFailed, Reason::kBackendFailed, ""}};
  const json document = json::parse(AnswerResponse("id", answer).body);
  EXPECT_EQ(document["state"], "failed");
  EXPECT_EQ(document["results"][0], json({{"outcome", "done"}}));
}

TEST(JobJsonTest, ARefusalIsAProblemDocumentWithItsReason) {
  JobAnswer answer;
  answer.state = JobState::kRefused;
  answer.reason = Reason::kHomeOverloaded;
  answer.retry_after = Millis(1500);
  const HttpResponse response = AnswerResponse("id", answer);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.content_type, "application/problem+json");
  EXPECT_EQ(response.headers[0].second, "2");
  const json document = json::parse(response.body);
  EXPECT_EQ(document["reason"], "home_overloaded");
  EXPECT_EQ(document["outcome"], "not_run");
}

TEST(JobJsonTest, RefusesTooManyTasks) {
  json body = {{"team", "t"}, {"service", "s"}, {"tasks", json::array()}};
  for (size_t i = 0; i <= kMaxTasksPerJob; ++i) body["tasks"].push_back("x");
  const auto job = ParseJob(body.dump());
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().items()[0].place, "/tasks");
}

}  // namespace
}  // namespace qs::test
