#include "fuzz/readers.h"

#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>

#include "caller_http.h"
#include "catalog_json.h"
#include "ctl/row_filter.h"
#include "fuzz/stream_readers.h"
#include "http/announcement_json.h"
#include "http/base64.h"
#include "http/job_json.h"
#include "quetzalspindle/ids.h"
#include "settings/settings.h"
#include "wire/codec.h"
#include "worker_http.h"

namespace qs::test {
namespace {

std::string ToText(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Ends the process, so that a fuzzer reports the input.
void Require(bool condition) {
  if (!condition) std::abort();
}

std::string FrameBody(const Message& message) {
  return EncodeFrame(message).substr(kFrameHeaderBytes);
}

// Reads a copy that is aligned like the receive buffer of a connection.
Result<Message> Reread(const Message& message) {
  const std::string body = FrameBody(message);
  return DecodeBody(
      {reinterpret_cast<const uint8_t*>(body.data()), body.size()});
}

void RequireReadable(const Message& message) {
  Require(Reread(message).has_value());
}

void ReadJob(const uint8_t* data, size_t size) {
  const Checked<JobSpec> job = ParseJob(ToText(data, size));
  if (!job) {
    Require(!job.error().empty());
    return;
  }
  Require(!job->payloads.empty() && job->payloads.size() <= kMaxTasksPerJob);
}

void ReadAnnouncement(const uint8_t* data, size_t size) {
  const Checked<Announcement> read = ParseAnnouncement(ToText(data, size));
  Require(read ? read->slots > 0 : !read.error().empty());
}

void ReadSettings(const uint8_t* data, size_t size) {
  const Checked<Settings> read = ParseSettings("f", ToText(data, size));
  Require(read || !read.error().empty());
}

void ReadId(const uint8_t* data, size_t size) {
  const std::string text = ToText(data, size);
  const Result<SubmissionId> id = SubmissionId::Parse(text);
  if (id) Require(SubmissionId::Parse(id->ToString()) == id);
}

void ReadFilter(const uint8_t* data, size_t size) {
  const Checked<RowFilter> filter = RowFilter::Parse({ToText(data, size)});
  Require(filter || !filter.error().empty());
}

void ReadHeldJob(const uint8_t* data, size_t size) {
  HttpRequest request;
  request.body = ToText(data, size);
  const Checked<HeldJob> job = platform::CallerHttp().DecodeJob(
      "0123456789abcdef", request, Millis(1000));
  if (!job) {
    Require(!job.error().empty());
    return;
  }
  const auto phases = nlohmann::json::parse(request.body)["phases"];
  Require(job->steps.size() == phases.size());
  RunOrders orders;
  for (size_t i = 0; i < phases.size(); ++i) {
    const HeldStep& step = job->steps[i];
    // No task more or less than what is written; an omitted count is zero.
    Require(step.tasks == phases[i].value("count", 0U));
    RunOrder order;
    order.need = step.task_resources;
    order.estimate = step.estimate;
    order.max_per_worker = step.max_per_worker;
    orders.orders.push_back(order);
    for (uint64_t& work : orders.waiting_work) work += 1000 * StepWork(step);
  }
  // Guards accept what an entry writes of accepted jobs.
  RequireReadable(orders);
}

void ReadWorkerAnnouncement(const uint8_t* data, size_t size) {
  const auto read =
      platform::WorkerHttp().DecodeAnnouncement("w", ToText(data, size));
  Require(read ? !read->incarnation.id.empty() : !read.error().empty());
  if (read) {
    // Entries accept what a guard reports of an accepted announcement.
    RunReport report;
    report.has_offer = true;
    report.capacity = read->capacity;
    report.labels = read->labels;
    report.queued_work = std::numeric_limits<uint64_t>::max();
    RequireReadable(report);
  }
  const auto withdrawal =
      platform::WorkerHttp().DecodeWithdrawal("w", ToText(data, size));
  Require(withdrawal ? !withdrawal->id.empty() : !withdrawal.error().empty());
}

void ReadHold(const uint8_t* data, size_t size) {
  HttpOutcome outcome;
  outcome.fault = HttpFault::kNone;
  outcome.status = 200;
  outcome.body = ToText(data, size);
  const PollReply reply = platform::WorkerHttp().DecodePoll(outcome);
  // An answer that cannot be read must not pass for an empty worker.
  if (reply.verdict != WorkerVerdict::kAccepted) {
    Require(reply.running.empty() && reply.ended.empty());
  }
}

void ReadCatalog(const uint8_t* data, size_t size) {
  const auto read = platform::DecodeCatalogJson(ToText(data, size));
  Require(read || !read.error().empty());
}

void ReadBase64(const uint8_t* data, size_t size) {
  const std::string bytes = ToText(data, size);
  Require(DecodeBase64(EncodeBase64(bytes)) == bytes);
  (void)DecodeBase64(bytes);
}

RunOrders RunOrdersSample() {
  RunOrder order;
  order.number = 4;
  order.task = "a.0.0.1";
  order.need = {3100, 64, 0};
  return {7, {1, 2, 3}, {order}, {2, 3}, {12, {"z-a", "z-b"}}};
}

RunReport RunReportSample() {
  RunReport report;
  report.stamp = 9;
  report.labels = {"a", "r1-3"};
  report.capacity = {32'000, 65'536, 0};
  report.ends = {{4, RunOutcome::kLost, Reason::kRunStalled, Millis(5)}};
  report.worker_losses = {
      {1'773'226'115'666, true, {"a.0.0.1", "b.0.0.0"}, {"c.0.0.0"}}};
  report.evacuations = {12, {"z-a", "z-b"}};
  return report;
}

std::vector<std::string> FrameCorpus() {
  JobSpec job;
  job.team = "club";
  job.service = "sketch";
  job.payloads = {"a", "b"};
  MemberRecord member;
  member.services = {"sketch"};
  JobAnswer answer;
  answer.results = {{Outcome::kDone, Reason::kNone, "x"}};
  return {FrameBody(Hello{}),
          FrameBody(MintRequest{1, 2}),
          FrameBody(SubmitRequest{1, 2, Millis(3), job}),
          FrameBody(JobReply{1, answer}),
          FrameBody(GrantBatch{1, {2}, {{3, Millis(4), "s", "p"}}}),
          FrameBody(AskBatch{1, {2}, true, {3, 4}}),
          FrameBody(GrantReplies{{}, {{1, GrantPhase::kEnded, {}}}}),
          FrameBody(Gossip{true, {member}}),
          FrameBody(ConfigOffer{3, "document", {12, {"z-a"}}}),
          FrameBody(AdminRequest{1, "jobs", ""}),
          FrameBody(RunOrdersSample()),
          FrameBody(RunReportSample()),
          FrameBody(JobCancels{5, {"a", "b"}, true}),
          FrameBody(JobCancelsSeen{5, {"a"}}),
          FrameBody(CrashNotices{{{{1, 2}, {3, true, {"a"}, {"b"}}}}})};
}

}  // namespace

const std::vector<Reader>& Readers() {
  static const std::vector<Reader> readers = {
      {"frame", &ReadFrame, FrameCorpus()},
      {"http_requests",
       &ReadHttpRequests,
       {"\7POST /a?b=c HTTP/1.1\r\nHost: d\r\nContent-Length: 3\r\n\r\nabc"
        "GET / HTTP/1.1\r\n\r\n",
        "\77POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\n"
        "abc\r\n0\r\nA: b\r\n\r\n"}},
      {"job",
       &ReadJob,
       {R"({"team":"club","service":"s","tasks":["a",{"base64":"AA=="}],)"
        R"("deadline_ms":5,"repeatable":true,"on_failure":"finish"})"}},
      {"announcement",
       &ReadAnnouncement,
       {R"({"address":"1.2.3.4:5","services":["s"],"slots":8})"}},
      {"settings",
       &ReadSettings,
       {"[process]\nrole = guard\nlisten = 1.2.3.4:5\nhttp = 1.2.3.4:6\n"
        "zone = a\n[guard]\nmax_jobs = 3\n"}},
      {"id", &ReadId, {SubmissionId{{1, 2}, {3}, 4}.ToString()}},
      {"filter", &ReadFilter, {"state=failed", "age_ms>10", "team!=club"}},
      {"base64", &ReadBase64, {"QUJD", "QQ=="}},
      {"held_job",
       &ReadHeldJob,
       {R"({"spec":"t","bestEffort":true,"phases":[{"count":4,"cpu":500,)"
        R"("memMb":256,"estimateMs":900,"affinity":"r1-3"},{"count":2,)"
        R"("after":[0],"antiAffinity":1,"constraints":"a"}]})",
        R"({"spec":"t","bestEffort":true,"phases":[{"count":99999,"cpu":687000,)"
        R"("memMb":1099511627776,"estimateMs":999,"antiAffinity":4294967295}]})",
        R"({"spec":"t","bestEffort":true,"phases":[{"cpu":1099511627776,)"
        R"("estimateMs":62,"count":1},{"cpu":1099511627776,"after":[0]}]})"}},
      {"worker_announcement",
       &ReadWorkerAnnouncement,
       {R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v",)"
        R"("slots":8,"coldRemainingMs":0,"state":"ready","seq":4,)"
        R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"born":17,)"
        R"("labels":["a","r1-3"],"currentTimeMs":482113})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v",)"
        R"("slots":8,"labels":[],"state":"ready",)"
        R"("seq":9007199254740992,"capacity":{"cpu":1099511627776,)"
        R"("memMb":1099511627776},"currentTimeMs":9007199254740992})"}},
      {"hold",
       &ReadHold,
       {R"({"currentTimeMs":5,"born":17,"running":[["a.0.1.17",2,"",41,3]],)"
        R"("finished":[[58,"a.0.1.9",1,"done",""]]})"}},
      {"catalog",
       &ReadCatalog,
       {R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("service":"s","priority":1,"maxAttempts":4,"slackFactor":1.6,)"
        R"("targetLatencyMs":60,"timeoutMs":1500}],"services":[{"name":"s",)"
        R"("rejectsOverload":true}],"limits":{"maxBodyBytes":1000}})"}},
  };
  return readers;
}

}  // namespace qs::test
