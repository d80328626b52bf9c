// Load generator. Open-loop arrivals (or a closed loop for the highest rate),
// judged by the answers and by the backend servers' own start logs.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "http/http_client.h"

namespace {

using nlohmann::json;
using Seconds = std::chrono::duration<double>;

struct Options {
  std::vector<std::string> entries;
  std::vector<std::string> start_logs;
  std::vector<std::string> guard_metrics;
  std::string service = "sketch";
  double jobs_per_second = 0;  // Zero for a closed loop.
  int jobs = 100;
  int tasks = 10;
  int run_ms_min = 50;
  int run_ms_max = 50;
  int threads = 32;
  int slots = 88;  // Of all backend servers, for the ideal.
  uint32_t seed = 1;
  bool as_json = false;
};

struct JobRecord {
  double response_ms = 0;
  double ideal_ms = 0;
  std::string state;
  std::vector<std::string> outcomes;  // Of each task.
  std::string prefix;
  std::string fault;
};

// The shortest time in which `slots` slots can run the tasks: the longest task,
// or the whole work spread over all slots.
double IdealMs(const std::vector<int>& run_ms, int slots) {
  double sum = 0;
  int longest = 0;
  for (const int ms : run_ms) {
    sum += ms;
    longest = std::max(longest, ms);
  }
  return std::max<double>(longest, sum / slots);
}

class Load {
 public:
  explicit Load(Options options) : options_(std::move(options)) {}

  void Run() {
    records_.resize(static_cast<size_t>(options_.jobs));
    DrawArrivals();
    start_ = qs::Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(options_.threads));
    for (int i = 0; i < options_.threads; ++i) {
      threads.emplace_back([this, i] { Worker(i); });
    }
    for (std::thread& thread : threads) thread.join();
    elapsed_ = Seconds(qs::Clock::now() - start_).count();
  }

  json Report() const {
    std::map<std::string, int> states;
    std::map<std::string, int> outcomes;
    std::vector<double> over;
    std::vector<double> added;
    int64_t tasks = 0;
    for (const JobRecord& record : records_) {
      ++states[record.state];
      for (const std::string& outcome : record.outcomes) ++outcomes[outcome];
      tasks += static_cast<int64_t>(record.outcomes.size());
      if (record.state != "complete") continue;
      added.push_back(record.response_ms - record.ideal_ms);
      if (record.ideal_ms > 0) {
        over.push_back(record.response_ms / record.ideal_ms);
      }
    }
    json report = {
        {"seed", options_.seed},
        {"jobs", options_.jobs},
        {"tasks", tasks},
        {"seconds", elapsed_},
        {"task_starts_per_second", static_cast<double>(tasks) / elapsed_},
        {"job_states", states},
        {"task_outcomes", outcomes},
        {"response_minus_ideal_ms", Percentiles(added)},
        {"response_over_ideal", Percentiles(over)},
        {"violations", Judge()}};
    return report;
  }

 private:
  static json Percentiles(std::vector<double> values) {
    if (values.empty()) return nullptr;
    std::sort(values.begin(), values.end());
    const auto at = [&](double q) {
      return values[static_cast<size_t>(
          q * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", values.back()}};
  }

  void DrawArrivals() {
    std::mt19937 random(options_.seed);
    std::exponential_distribution<double> gap(
        options_.jobs_per_second > 0 ? options_.jobs_per_second : 1.0);
    std::uniform_int_distribution<int> run(options_.run_ms_min,
                                           options_.run_ms_max);
    double at = 0;
    for (int i = 0; i < options_.jobs; ++i) {
      if (options_.jobs_per_second > 0) at += gap(random);
      arrivals_.push_back(at);
      std::vector<int> run_ms;
      run_ms.reserve(static_cast<size_t>(options_.tasks));
      for (int t = 0; t < options_.tasks; ++t) run_ms.push_back(run(random));
      run_ms_.push_back(std::move(run_ms));
    }
  }

  void Worker(int worker) {
    const size_t entry = static_cast<size_t>(worker) % options_.entries.size();
    const auto address = qs::Address::Parse(options_.entries[entry]);
    qs::HttpClient client(*address, qs::Millis(10'000));
    while (true) {
      const int i = next_.fetch_add(1);
      if (i >= options_.jobs) return;
      const auto at = start_ + std::chrono::duration_cast<qs::Clock::duration>(
                                   Seconds(arrivals_[static_cast<size_t>(i)]));
      std::this_thread::sleep_until(at);
      const auto begin = options_.jobs_per_second > 0 ? at : qs::Clock::now();
      RunJob(&client, i, begin);
    }
  }

  void RunJob(qs::HttpClient* client, int i, qs::Instant begin) {
    JobRecord& record = records_[static_cast<size_t>(i)];
    const std::vector<int>& run_ms = run_ms_[static_cast<size_t>(i)];
    record.prefix =
        "s" + std::to_string(options_.seed) + "-" + std::to_string(i);
    json tasks = json::array();
    for (size_t t = 0; t < run_ms.size(); ++t) {
      tasks.push_back(record.prefix + "-" + std::to_string(t) + "|" +
                      std::to_string(run_ms[t]));
    }
    qs::HttpClient::Request request;
    request.target = "/v1/run";
    request.content_type = "application/json";
    request.timeout = qs::Millis(60'000);
    request.body = json{
        {"team", "load"},
        {"service", options_.service},
        {"repeatable", true},
        {"on_failure", "finish"},
        {"tasks",
         tasks}}.dump();
    const auto response = client->Exchange(request);
    record.response_ms = Seconds(qs::Clock::now() - begin).count() * 1e3;
    record.ideal_ms = IdealMs(run_ms, options_.slots);
    if (!response) {
      record.state = "no_response";
      record.outcomes.assign(run_ms.size(), "unknown");
      return;
    }
    ReadAnswer(response->body, tasks, &record);
  }

  static void ReadAnswer(const std::string& body, const json& tasks,
                         JobRecord* record) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object()) {
      record->state = "malformed";
      return;
    }
    record->state = answer.value("state", "refused");
    if (record->state == "refused") {
      record->outcomes.assign(tasks.size(), answer.value("outcome", "unknown"));
      return;
    }
    const json& results = answer["results"];
    if (results.size() != tasks.size()) record->fault = "partial answer";
    for (size_t t = 0; t < results.size(); ++t) {
      const bool is_output = results[t].is_string();
      record->outcomes.push_back(
          is_output ? "done" : results[t].value("outcome", "unknown"));
      if (!is_output) continue;
      const auto expected = "done:" + tasks[t].get<std::string>();
      if (results[t] != expected) record->fault = "another task's answer";
    }
  }

  // Violations of the promises, by name.
  json Judge() const {
    std::map<std::string, int> starts;
    for (const std::string& path : options_.start_logs) {
      std::ifstream file(path);
      for (std::string line; std::getline(file, line);) ++starts[line];
    }
    int doubled = 0;
    int false_not_run = 0;
    int false_done = 0;
    int wrong_answers = 0;
    for (const JobRecord& record : records_) {
      if (!record.fault.empty()) ++wrong_answers;
      for (size_t t = 0; t < record.outcomes.size(); ++t) {
        const auto found = starts.find(record.prefix + "-" + std::to_string(t));
        const int count = found == starts.end() ? 0 : found->second;
        doubled += count > 1 ? 1 : 0;
        false_not_run += record.outcomes[t] == "not_run" && count > 0 ? 1 : 0;
        false_done += record.outcomes[t] == "done" && count != 1 ? 1 : 0;
      }
    }
    if (options_.start_logs.empty()) return "not judged: no start logs";
    return {{"started_twice", doubled},
            {"not_run_but_started", false_not_run},
            {"done_but_not_started_once", false_done},
            {"wrong_or_partial_answers", wrong_answers}};
  }

  Options options_;
  std::vector<double> arrivals_;  // Seconds after the start.
  std::vector<std::vector<int>> run_ms_;
  std::vector<JobRecord> records_;
  std::atomic<int> next_{0};
  qs::Instant start_;
  double elapsed_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsload: a load generator that judges the promises"};
  Options options;
  app.add_option("--entry", options.entries, "HTTP IP:port")->required();
  app.add_option("--start-log", options.start_logs, "of the backend servers");
  app.add_option("--service", options.service);
  app.add_option("--rate", options.jobs_per_second,
                 "jobs a second; 0 for a closed loop");
  app.add_option("--jobs", options.jobs)->check(CLI::Range(1, 1'000'000));
  app.add_option("--tasks", options.tasks)->check(CLI::Range(1, 640));
  app.add_option("--run-ms-min", options.run_ms_min);
  app.add_option("--run-ms-max", options.run_ms_max);
  app.add_option("--threads", options.threads)->check(CLI::Range(1, 512));
  app.add_option("--slots", options.slots, "of all backend servers");
  app.add_option("--seed", options.seed);
  CLI11_PARSE(app, argc, argv);
  for (const std::string& entry : options.entries) {
    if (qs::Address::Parse(entry)) continue;
    std::fprintf(stderr, "--entry: %s is not IP:port\n", entry.c_str());
    return 2;
  }
  Load load(options);
  load.Run();
  const json report = load.Report();
  std::printf("%s\n", report.dump(2).c_str());
  const json& violations = report["violations"];
  if (!violations.is_object()) return 0;
  for (const auto& [name, count] : violations.items()) {
    if (count != 0) return 1;
  }
  return 0;
}
