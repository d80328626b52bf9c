// Tests how the platform adapter decodes and encodes messages, without a
// network.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "caller_http.h"
#include "catalog_json.h"
#include "http/json_limits.h"
#include "worker_http.h"

namespace qs::platform {
namespace {

using nlohmann::json;

constexpr const char* kId = "5c0e7a21d94b36f8";
constexpr int kUnavailable = 503;

HttpRequest JobRequest(const json& body, const std::string& deadline = "2500") {
  HttpRequest request;
  request.method = "POST";
  request.headers["quetzalspindle-deadline-ms"] = deadline;
  request.body = body.dump();
  return request;
}

json HeldBody() {
  return {{"spec", "text"},
          {"bestEffort", true},
          {"phases",
           {{{"count", 4},
             {"cpu", 3100},
             {"memMb", 64},
             {"estimateMs", 60},
             {"affinity", "r1-3"}},
            {{"count", 1}, {"cpu", 500}, {"after", {0}}}}}};
}

HttpOutcome Answer(int status, const json& body) {
  HttpOutcome outcome;
  outcome.fault = HttpFault::kNone;
  outcome.status = status;
  outcome.body = body.dump();
  return outcome;
}

TEST(CallerHttpTest, DecodesAHeldJob) {
  const Checked<HeldJob> job =
      CallerHttp().DecodeJob(kId, JobRequest(HeldBody()), Millis(1500));
  ASSERT_TRUE(job) << job.error().ToText();
  EXPECT_EQ(job->id, kId);
  EXPECT_EQ(job->caller_timeout, Millis(2500));
  EXPECT_FALSE(job->is_unsupported);
  ASSERT_EQ(job->steps.size(), 2U);
  EXPECT_EQ(job->steps[0].tasks, 4U);
  EXPECT_EQ(job->steps[0].task_resources.cpu_millis, 3100);
  EXPECT_EQ(job->steps[0].preferred_rack, "r1-3");
  EXPECT_EQ(job->steps[1].depends_on, std::vector<uint32_t>{0});
}

TEST(CallerHttpTest, AJobThatMustBeStoredIsMarkedAsUnsupported) {
  json body = HeldBody();
  body.erase("bestEffort");
  const auto stored = CallerHttp().DecodeJob(kId, JobRequest(body), Millis(1));
  ASSERT_TRUE(stored);
  EXPECT_TRUE(stored->is_unsupported);
  body = HeldBody();
  body["phases"][0]["gang"] = true;
  const auto gang = CallerHttp().DecodeJob(kId, JobRequest(body), Millis(1));
  ASSERT_TRUE(gang);
  EXPECT_TRUE(gang->is_unsupported);
}

// Guards against a task that no caller submitted: a step whose count is zero,
// which callers omit, was run as one task.
TEST(CallerHttpTest, AStepWithoutACountHasNoTasks) {
  json body = HeldBody();
  for (const bool is_omitted : {true, false}) {
    if (is_omitted) {
      body["phases"][0].erase("count");
    } else {
      body["phases"][0]["count"] = 0;
    }
    const auto job = CallerHttp().DecodeJob(kId, JobRequest(body), Millis(1));
    ASSERT_TRUE(job) << job.error().ToText();
    ASSERT_EQ(job->steps.size(), 2U);
    EXPECT_EQ(job->steps[0].tasks, 0U);
    EXPECT_EQ(job->steps[1].tasks, 1U);
    EXPECT_EQ(job->steps[1].depends_on, std::vector<uint32_t>{0});
  }
  body["phases"][1]["count"] = 100'000;
  const auto largest = CallerHttp().DecodeJob(kId, JobRequest(body), Millis(1));
  ASSERT_TRUE(largest) << largest.error().ToText();
  EXPECT_EQ(largest->steps[1].tasks, 100'000U);
}

// A feature that held jobs lack is not needed for tasks that are not there.
TEST(CallerHttpTest, AStepWithoutTasksIsNeverUnsupported) {
  json body = HeldBody();
  body["phases"][0]["gang"] = true;
  body["phases"][0]["count"] = 0;
  const auto job = CallerHttp().DecodeJob(kId, JobRequest(body), Millis(1));
  ASSERT_TRUE(job) << job.error().ToText();
  EXPECT_FALSE(job->is_unsupported);
}

// What is read of a job, as text.
std::string TextOf(const HeldJob& job) {
  std::string text = job.payload + (job.is_unsupported ? " unsupported" : "");
  for (const HeldStep& step : job.steps) {
    text += "\n";
    for (const int64_t number :
         {int64_t{step.tasks}, step.task_resources.cpu_millis,
          step.task_resources.memory_mb, step.task_resources.accelerators,
          step.estimate.count(), int64_t{step.max_per_worker}}) {
      text += std::to_string(number) + " ";
    }
    text += step.required_label + "/" + step.preferred_rack + "/";
    for (const uint32_t earlier : step.depends_on) {
      text += std::to_string(earlier) + ",";
    }
  }
  return text;
}

// A field of a job: its value where callers omit it, and values that it cannot
// have.
struct FieldCase {
  const char* pointer;
  const char* empty;
  std::vector<const char*> wrong;
};

std::vector<FieldCase> FieldsOfAJob() {
  const std::vector<const char*> not_a_number = {
      "-1",    "0.0", "0.5", "\"4\"", "\"\"",  "null",
      "false", "[]",  "[4]", "{}",    "1e300", "18446744073709551615"};
  const std::vector<const char*> not_a_text = {"0", "null", "false", "[]"};
  const std::vector<const char*> not_a_flag = {
      "0", "1", "null", "\"\"", "\"false\"", "[]", "[1]", "{}"};
  std::vector<FieldCase> fields = {
      {"/spec", "\"\"", not_a_text},
      {"/phases", "[]", {"0", "null", "{}", "\"\"", "[7]"}},
      {"/phases/1/constraints", "\"\"", not_a_text},
      {"/phases/1/affinity", "\"\"", not_a_text},
      {"/phases/1/after", "[]", {"0", "null", "{}", "[-1]", "[1]", "[0.0]"}},
      {"/phases/1/count", "0", {"100001"}},
  };
  for (const char* number :
       {"/repeatCount", "/phases/1/count", "/phases/1/cpu", "/phases/1/memMb",
        "/phases/1/gpu", "/phases/1/estimateMs", "/phases/1/antiAffinity",
        "/phases/1/targetMs"}) {
    fields.push_back({number, "0", not_a_number});
  }
  for (const char* flag :
       {"/bestEffort", "/phases/1/gang", "/phases/1/sameRack",
        "/phases/1/longRunning", "/phases/1/fillCount"}) {
    fields.push_back({flag, "false", not_a_flag});
  }
  return fields;
}

json BodyWith(const char* pointer, const char* value) {
  json body = HeldBody();
  body["phases"][1]["count"] = 3;
  body[json::json_pointer(pointer)] = json::parse(value);
  return body;
}

json BodyWithout(const std::string& pointer) {
  json body = BodyWith("/phases/1/gpu", "0");
  const size_t name = pointer.rfind('/');
  body[json::json_pointer(pointer.substr(0, name))].erase(
      pointer.substr(name + 1));
  return body;
}

// Guards against a job that is refused, or read as another one, because its
// caller omitted a field whose value is zero, false or empty.
TEST(CallerHttpTest, AnOmittedFieldOfAJobIsReadAsItsEmptyValue) {
  for (const FieldCase& field : FieldsOfAJob()) {
    SCOPED_TRACE(field.pointer);
    const auto written = CallerHttp().DecodeJob(
        kId, JobRequest(BodyWith(field.pointer, field.empty)), Millis(1));
    const auto omitted = CallerHttp().DecodeJob(
        kId, JobRequest(BodyWithout(field.pointer)), Millis(1));
    EXPECT_TRUE(written) << written.error().ToText();
    EXPECT_TRUE(omitted) << omitted.error().ToText();
    if (!written || !omitted) continue;
    EXPECT_EQ(TextOf(*omitted), TextOf(*written));
  }
}

// Guards against a value of another type that is read as an omitted field: a
// job would run without the feature that it asks for.
TEST(CallerHttpTest, AWrongFieldOfAJobIsAFaultAtItsPlace) {
  for (const FieldCase& field : FieldsOfAJob()) {
    for (const char* value : field.wrong) {
      SCOPED_TRACE(std::string(field.pointer) + " " + value);
      const auto job = CallerHttp().DecodeJob(
          kId, JobRequest(BodyWith(field.pointer, value)), Millis(1));
      EXPECT_FALSE(job);
      if (job) continue;
      ASSERT_EQ(job.error().items().size(), 1U) << job.error().ToText();
      EXPECT_TRUE(job.error().items()[0].place.starts_with(field.pointer))
          << job.error().ToText();
    }
  }
}

TEST(CallerHttpTest, ReportsEveryFaultOfAJob) {
  const json body = {{"spec", 5},
                     {"bestEffort", true},
                     {"phases", {{{"count", -1}, {"after", {0}}}, 7}}};
  const auto job = CallerHttp().DecodeJob("xyz", JobRequest(body), Millis(1));
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().items().size(), 5U) << job.error().ToText();
}

TEST(CallerHttpTest, AnInvalidCallerTimeoutFallsBackToTheQueues) {
  const auto job =
      CallerHttp().DecodeJob(kId, JobRequest(HeldBody(), "soon"), Millis(1500));
  ASSERT_TRUE(job);
  EXPECT_EQ(job->caller_timeout, Millis(1500));
}

TEST(CallerHttpTest, SaysNotRunOnlyInRefusals) {
  const CallerHttp protocol;
  const auto status = [&](HeldState state, Reason reason) {
    return protocol.EncodeAnswer({state, reason, Millis(1500)}).status;
  };
  EXPECT_EQ(status(HeldState::kComplete, Reason::kNone), 200);
  EXPECT_EQ(status(HeldState::kFailed, Reason::kAttemptsExhausted), 200);
  EXPECT_EQ(status(HeldState::kFailed, Reason::kGivenUpRunning), 504);
  EXPECT_EQ(status(HeldState::kFailed, Reason::kEntrySuspended), 504);
  EXPECT_EQ(status(HeldState::kRefused, Reason::kWouldEndTooLate), 429);
  EXPECT_EQ(status(HeldState::kRefused, Reason::kStopping), kUnavailable);
  EXPECT_EQ(status(HeldState::kRefused, Reason::kNoSuchQueue), 404);
  EXPECT_EQ(status(HeldState::kRefused, Reason::kNotSupported), kUnavailable);
}

TEST(CallerHttpTest, RetryAfterIsRoundedUpToSeconds) {
  const HttpResponse response = CallerHttp().EncodeAnswer(
      {HeldState::kRefused, Reason::kWouldEndTooLate, Millis(1001)});
  ASSERT_EQ(response.headers.size(), 1U);
  EXPECT_EQ(response.headers[0].second, "2");
}

TEST(CatalogJsonTest, ReadsQueuesServicesAndLimits) {
  const json document = {
      {"version", 7},
      {"routes",
       {{{"name", "r"},
         {"host", "h.example"},
         {"prefix", "/a/"},
         {"service", "s"},
         {"timeoutMs", 1500},
         {"targetLatencyMs", 60},
         {"priority", 2},
         {"maxAttempts", 4},
         {"slackFactor", 1.6}}}},
      {"services", {{{"name", "s"}, {"rejectsOverload", false}}}},
      {"limits", {{"maxBodyBytes", 1000}}}};
  const Checked<Catalog> catalog = DecodeCatalogJson(document.dump());
  ASSERT_TRUE(catalog) << catalog.error().ToText();
  EXPECT_EQ(catalog->version, 7U);
  EXPECT_EQ(catalog->max_body_bytes, 1000U);
  EXPECT_FALSE(catalog->services.at("s").refuses_overload);
  const QueueDeclaration* queue = catalog->Route("h.example", "/a/b");
  ASSERT_NE(queue, nullptr);
  EXPECT_EQ(queue->max_attempts, 4U);
  EXPECT_DOUBLE_EQ(queue->slack_factor, 1.6);
  EXPECT_EQ(catalog->Route("h.example", "/b/"), nullptr);
  EXPECT_EQ(catalog->Route("other", "/a/b"), nullptr);
}

TEST(CatalogJsonTest, RefusesADocumentWithFaultsAsAWhole) {
  const auto catalog = DecodeCatalogJson(
      R"({"version":-1,"routes":[{"name":5}],"services":{}})");
  ASSERT_FALSE(catalog);
  EXPECT_GE(catalog.error().items().size(), 5U);
}

// Guards against an accepted configuration that comes into force with other
// numbers: 2^32 attempts were none, and its times overflowed sums.
TEST(CatalogJsonTest, LargeNumbersOfAQueueAreBounded) {
  const json document = {{"version", 7},
                         {"routes",
                          {{{"name", "r"},
                            {"host", "h.example"},
                            {"prefix", "/a/"},
                            {"service", "s"},
                            {"timeoutMs", int64_t{1} << 53U},
                            {"targetLatencyMs", int64_t{1} << 53U},
                            {"priority", int64_t{1} << 32U},
                            {"maxAttempts", int64_t{1} << 32U},
                            {"slackFactor", 1e300}}}},
                         {"services", json::array()}};
  const Checked<Catalog> catalog = DecodeCatalogJson(document.dump());
  ASSERT_TRUE(catalog) << catalog.error().ToText();
  const QueueDeclaration& queue = catalog->queues.at(0);
  EXPECT_EQ(queue.priority, UINT32_MAX);
  EXPECT_EQ(queue.max_attempts, UINT32_MAX);
  EXPECT_EQ(queue.default_caller_timeout, kMaxDuration);
  EXPECT_EQ(queue.latency_target, kMaxDuration);
  // The objective of the longest job is a time that can be added to a clock.
  EXPECT_LT(static_cast<double>(kMaxDuration.count()) * queue.slack_factor,
            static_cast<double>(int64_t{1} << 42U));
}

TEST(JsonLimitsTest, CountsValuesOutsideOfStrings) {
  const std::string text = R"({"a":[1,{"b":"x,[{\",\\"},[2]]})";
  constexpr size_t kValues = 7;  // Two objects, two arrays, three scalars.
  EXPECT_FALSE(HasMoreJsonValues(text, kValues));
  EXPECT_TRUE(HasMoreJsonValues(text, kValues - 1));
  for (const char* odd : {"", "\"", "\"\\", "\"\\\"", "[", ",,,,"}) {
    EXPECT_FALSE(HasMoreJsonValues(odd, kValues)) << odd;
  }
}

// A body of 1 MB that would take many times as much once it is decoded.
TEST(JsonLimitsTest, ABodyOfManySmallValuesIsNotDecoded) {
  HttpRequest request;
  request.body = R"({"bestEffort":true,"spec":"","phases":[{})";
  for (int i = 0; i < 100'000; ++i) request.body += ",{}";
  request.body += "]}";
  const Checked<HeldJob> job = CallerHttp().DecodeJob(kId, request, Millis(1));
  ASSERT_FALSE(job);
  ASSERT_EQ(job.error().items().size(), 1U);
  EXPECT_EQ(job.error().items()[0].place, "body");
}

TEST(CallerHttpTest, LongLabelsAreRefusedAndRepeatedStepsCountOnce) {
  HttpRequest request;
  request.body =
      R"({"bestEffort":true,"spec":"","phases":[{},{"after":[0,0,0]}]})";
  const Checked<HeldJob> job = CallerHttp().DecodeJob(kId, request, Millis(1));
  ASSERT_TRUE(job);
  EXPECT_EQ(job->steps[1].depends_on, std::vector<uint32_t>{0});
  for (const char* field : {"constraints", "affinity"}) {
    request.body = std::string(R"({"bestEffort":true,"spec":"","phases":[{")") +
                   field + "\":\"" + std::string(4001, 'x') + "\"}]}";
    EXPECT_FALSE(CallerHttp().DecodeJob(kId, request, Millis(1))) << field;
  }
}

// Guards against a process that runs out of memory on the findings of one
// input: each takes more than the two bytes that may cause it.
TEST(JsonFieldsTest, TheFindingsOfOneInputAreBounded) {
  const json many(100'000, json(7));
  json job = HeldBody();
  job["phases"][1]["after"] = many;
  const auto steps = CallerHttp().DecodeJob(kId, JobRequest(job), Millis(1500));
  ASSERT_FALSE(steps);
  EXPECT_LE(steps.error().items().size(), 100U);
  job["phases"] = many;
  const auto phases =
      CallerHttp().DecodeJob(kId, JobRequest(job), Millis(1500));
  ASSERT_FALSE(phases);
  EXPECT_LE(phases.error().items().size(), 100U);
  const auto catalog = DecodeCatalogJson(
      json{{"version", 1}, {"routes", many}, {"services", many}}.dump());
  ASSERT_FALSE(catalog);
  EXPECT_LE(catalog.error().items().size(), 100U);
  const auto worker =
      WorkerHttp().DecodeAnnouncement("i-1", json{{"labels", many}}.dump());
  ASSERT_FALSE(worker);
  EXPECT_LE(worker.error().items().size(), 100U);
}

TEST(WorkerHttpTest, AStartCallCarriesItsFenceDeadlineAndIncarnation) {
  StartCall call;
  call.incarnation = {"i-1", 99};
  call.fence = 7;
  call.task = "t.0.0.0";
  call.attempt = 2;
  call.payload = "text";
  call.deadline = Millis(486'000);
  const HttpExchange exchange = WorkerHttp().Encode(call);
  EXPECT_EQ(exchange.target, "/-/run-start");
  ASSERT_EQ(exchange.headers.size(), 1U);
  EXPECT_EQ(exchange.headers[0].second, "i-1");
  const json body = json::parse(exchange.body);
  EXPECT_EQ(body["fencingToken"], 7);
  EXPECT_EQ(body["deadlineMs"], 486'000);
  EXPECT_EQ(body["attempt"], 2);
}

TEST(WorkerHttpTest, DistinguishesTheRefusalsOfAStartCall) {
  const WorkerHttp protocol;
  const auto conflict = [&](const char* reason) {
    return protocol
        .DecodeReply(Answer(409, {{"reason", reason}, {"currentTimeMs", 5}}))
        .verdict;
  };
  EXPECT_EQ(conflict("fence"), WorkerVerdict::kFenced);
  EXPECT_EQ(conflict("old"), WorkerVerdict::kStaleAttempt);
  EXPECT_EQ(conflict("late"), WorkerVerdict::kTooLate);
  EXPECT_EQ(conflict("room"), WorkerVerdict::kNoCapacity);
  EXPECT_EQ(protocol.DecodeReply(Answer(421, json::object())).verdict,
            WorkerVerdict::kOtherIncarnation);
  EXPECT_EQ(protocol.DecodeReply(Answer(503, json::object())).verdict,
            WorkerVerdict::kUnhealthy);
  EXPECT_EQ(protocol.DecodeReply(HttpOutcome()).verdict,
            WorkerVerdict::kNoAnswer);
}

TEST(WorkerHttpTest, ReadsWhatRunsAndWhatEnded) {
  const PollReply reply = WorkerHttp().DecodePoll(
      Answer(200, {{"currentTimeMs", 482'113},
                   {"born", 17},
                   {"running", {{"a.0.0.1", 2, "", 41, 310}}},
                   {"finished",
                    {{58, "a.0.0.0", 1, "done", ""},
                     {59, "b.0.0.0", 3, "lapsed", "ck"}}}}));
  EXPECT_EQ(reply.verdict, WorkerVerdict::kAccepted);
  EXPECT_EQ(reply.started_at, 17U);
  ASSERT_EQ(reply.running.size(), 1U);
  EXPECT_EQ(reply.running[0].percent, 41U);
  ASSERT_EQ(reply.ended.size(), 2U);
  EXPECT_EQ(reply.ended[0].ending, RunEnding::kDone);
  EXPECT_EQ(reply.ended[1].ending, RunEnding::kInterrupted);
}

TEST(WorkerHttpTest, AnUnreadablePollReplyReportsNoRuns) {
  const PollReply reply = WorkerHttp().DecodePoll(
      Answer(200, {{"running", {{"a", "x"}}}, {"finished", json::array()}}));
  EXPECT_EQ(reply.verdict, WorkerVerdict::kNoAnswer);
}

// Guards against another run's end or progress that is read from a number out
// of range: attempt 2^32 + 2 is not attempt 2, and an end whose number wraps
// would make the worker forget all others.
TEST(WorkerHttpTest, ARowOutOfRangeMakesThePollReplyUnreadable) {
  const WorkerHttp protocol;
  const auto verdict = [&](const std::string& running,
                           const std::string& finished,
                           const std::string& born = "17") {
    HttpOutcome outcome;
    outcome.fault = HttpFault::kNone;
    outcome.status = 200;
    outcome.body = R"({"currentTimeMs":5,"born":)" + born + R"(,"running":[)" +
                   running + R"(],"finished":[)" + finished + "]}";
    return protocol.DecodePoll(outcome).verdict;
  };
  EXPECT_EQ(verdict("", ""), WorkerVerdict::kAccepted);
  for (const char* number : {"-1", "1.5", "4294967298", "18446744073709551615",
                             "1e300", "1e999", "null", "[2]", "{}"}) {
    SCOPED_TRACE(number);
    const std::string text = number;
    EXPECT_EQ(verdict(R"(["a.0.0.1",)" + text + R"(,"",41])", ""),
              WorkerVerdict::kNoAnswer);
    EXPECT_EQ(verdict("", R"([58,"a.0.0.0",)" + text + R"(,"done",""])"),
              WorkerVerdict::kNoAnswer);
    if (text == "4294967298") continue;  // Not out of range for these.
    EXPECT_EQ(verdict("", "[" + text + R"(,"a.0.0.0",1,"done",""])"),
              WorkerVerdict::kNoAnswer);
    EXPECT_EQ(verdict("", "", text), WorkerVerdict::kNoAnswer);
  }
  for (const char* row : {"7", "{}", "[]", "null", R"(["a"])"}) {
    EXPECT_EQ(verdict(row, ""), WorkerVerdict::kNoAnswer) << row;
    EXPECT_EQ(verdict("", row), WorkerVerdict::kNoAnswer) << row;
  }
}

// Guards against undefined casts of a progress out of range, and against sums
// with a clock out of range.
TEST(WorkerHttpTest, ProgressIsBoundedAndAClockOutOfRangeIsNoReading) {
  const WorkerHttp protocol;
  const auto read = [&](const std::string& percent, const std::string& clock) {
    HttpOutcome outcome;
    outcome.fault = HttpFault::kNone;
    outcome.status = 200;
    outcome.body = R"({"currentTimeMs":)" + clock +
                   R"(,"running":[["a.0.0.1",2,"",)" + percent +
                   R"(]],"finished":[]})";
    return protocol.DecodePoll(outcome);
  };
  const auto percent = [&](const std::string& text) {
    const PollReply reply = read(text, "5");
    return reply.running.empty() ? -1
                                 : static_cast<int>(reply.running[0].percent);
  };
  EXPECT_EQ(percent("41.7"), 41);
  EXPECT_EQ(percent("-3"), 0);
  EXPECT_EQ(percent("-1e300"), 0);
  EXPECT_EQ(percent("1e300"), 100);
  EXPECT_EQ(percent("18446744073709551615"), 100);
  EXPECT_EQ(read("1", "5").worker_clock, Millis(5));
  for (const char* clock : {"-1", "9223372036854775807", "1.5", "1e300", "[]",
                            "18446744073709551615", "9007199254740993"}) {
    const PollReply reply = read("1", clock);
    EXPECT_EQ(reply.verdict, WorkerVerdict::kAccepted) << clock;
    EXPECT_FALSE(reply.worker_clock) << clock;
  }
}

TEST(WorkerHttpTest, AnAnnouncementWithFaultsNamesNoWorker) {
  const WorkerHttp protocol;
  const json good = {
      {"service", "s"},
      {"address", "10.0.0.1:80"},
      {"zone", "z"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "draining"},
      {"coldRemainingMs", 0},
      {"capacity", {{"cpu", 32'000}, {"memMb", 100}, {"gpu", 0}}},
      {"labels", {"a", "r1-3"}},
      {"currentTimeMs", 10},
      {"born", 17},
      {"seq", 4}};
  const auto read = protocol.DecodeAnnouncement("i-1", good.dump());
  ASSERT_TRUE(read) << read.error().ToText();
  EXPECT_TRUE(read->is_draining);
  EXPECT_EQ(read->rack, "r1-3");
  EXPECT_EQ(read->incarnation, (WorkerIncarnation{"i-1", 17}));
  // Also fields that are not used: without them it is by another writer.
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "capacity", "labels", "seq"}) {
    json bad = good;
    bad[field] = json::array({1});
    EXPECT_FALSE(protocol.DecodeAnnouncement("i-1", bad.dump())) << field;
    bad.erase(field);
    EXPECT_FALSE(protocol.DecodeAnnouncement("i-1", bad.dump())) << field;
  }
  json bad = good;
  bad["coldRemainingMs"] = "0";
  EXPECT_FALSE(protocol.DecodeAnnouncement("i-1", bad.dump()));
  EXPECT_FALSE(protocol.DecodeAnnouncement("i-1", "\xff{"));
}

// A worker that starts again keeps its id, so a withdrawal must say which
// incarnation it is from.
TEST(WorkerHttpTest, AWithdrawalCarriesItsIncarnation) {
  const WorkerHttp protocol;
  const auto read =
      protocol.DecodeWithdrawal("i-1", json{{"born", 17}, {"seq", 9}}.dump());
  ASSERT_TRUE(read) << read.error().ToText();
  EXPECT_EQ(*read, (WorkerIncarnation{"i-1", 17}));
  for (const char* body :
       {"[]", "{}", R"({"born":"17"})", R"({"born":-1})", "\xff{"}) {
    EXPECT_FALSE(protocol.DecodeWithdrawal("i-1", body)) << body;
  }
  // Guards against a worker that is used on after its withdrawal: the message
  // may have no body.
  const auto without_body = protocol.DecodeWithdrawal("i-1", "");
  ASSERT_TRUE(without_body) << without_body.error().ToText();
  EXPECT_EQ(*without_body, (WorkerIncarnation{"i-1", 0}));
  EXPECT_FALSE(protocol.DecodeWithdrawal("", ""));
  EXPECT_FALSE(protocol.DecodeWithdrawal("", R"({"born":17})"));
}

// A refusal with unexpected content must not terminate the process that reads
// it.
TEST(WorkerHttpTest, ARefusalOfAnotherFormIsARejection) {
  for (const char* body :
       {R"({"reason":5})", R"({"reason":null})", R"({"reason":["old"]})",
        R"({"currentTimeMs":"x","reason":{}})", R"([1])", "", "\xff"}) {
    HttpOutcome outcome;
    outcome.fault = HttpFault::kNone;
    outcome.status = 409;
    outcome.body = body;
    const WorkerHttp protocol;
    EXPECT_EQ(protocol.DecodeReply(outcome).verdict, WorkerVerdict::kRejected)
        << body;
  }
}

}  // namespace
}  // namespace qs::platform
