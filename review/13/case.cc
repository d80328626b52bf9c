// A job has a step without tasks: its count is 0 and so omitted. See claim.txt.

#include "standins-3/deployment.h"

namespace {

using nlohmann::json;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;

// The fields of a step whose value is 0 are omitted.
json Step(int count, std::vector<int> after) {
  json step = {{"cpu", 4000}, {"memMb", 64}, {"estimateMs", 60}};
  if (count > 0) step["count"] = count;
  if (!after.empty()) step["after"] = after;
  return step;
}

// The tasks that a job asks for.
std::set<std::string> TasksOf(const std::string& job, const json& phases) {
  std::set<std::string> tasks;
  for (size_t step = 0; step < phases.size(); ++step) {
    const int count = phases[step].value("count", 0);
    for (int index = 0; index < count; ++index) {
      tasks.insert(job + ".0." + std::to_string(step) + "." +
                   std::to_string(index));
    }
  }
  return tasks;
}

int RunCase(const std::string& record_path, bool has_trouble) {
  lab::Record record(record_path);
  if (!record.is_open()) return kCannotRun;
  lab::DeploymentOptions options;
  lab::Deployment deployment(options, &record);
  if (!deployment.Start()) {
    record.Add("the deployment did not come up");
    return kCannotRun;
  }
  const int empty = has_trouble ? 0 : 2;
  const json phases = {Step(4, {}), Step(empty, {0}), Step(2, {1})};
  const json body = {{"spec", "60"}, {"bestEffort", true}, {"phases", phases}};
  int unasked = 0;
  int missing = 0;
  for (int edge = 0; edge < options.edges; ++edge) {
    const std::string job = deployment.NextId();
    record.Add("client: POST " + job + " to edge-" + std::to_string(edge) +
               " " + body.dump());
    const lab::Answer answer =
        lab::Call(deployment.FrontendOf(edge), "POST", lab::kPrefix + job,
                  lab::kHost, body.dump(), lab::kDeadlineMs,
                  "Quetzalspindle-Deadline-Ms: " +
                      std::to_string(lab::kDeadlineMs.count()) + "\r\n");
    record.Add("client: the answer is " + std::to_string(answer.status) + " " +
               answer.body);
    std::set<std::string> asked = TasksOf(job, phases);
    for (const lab::Start& start : deployment.ledger().StartsOf(job)) {
      if (asked.erase(start.task) > 0) continue;
      record.Add("no client sent " + start.task);
      ++unasked;
    }
    missing += static_cast<int>(asked.size());
  }
  record.Add(std::to_string(unasked) +
             " starts of what no client sent: UNASKED " +
             (unasked > 0 ? "is broken" : "holds"));
  if (unasked > 0) return kBroken;
  // Without the empty step the jobs have to be served.
  return has_trouble || missing == 0 ? kHeld : kCannotRun;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return kCannotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return RunCase(argv[1], has_trouble);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCannotRun;
  }
}
