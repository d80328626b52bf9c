#include "quetzalspindle/job.h"

#include <xxhash.h>

#include <array>
#include <memory>

namespace qs {
namespace {

void HashString(XXH64_state_t* state, std::string_view text) {
  const uint64_t size = text.size();
  XXH64_update(state, &size, sizeof(size));
  XXH64_update(state, text.data(), text.size());
}

}  // namespace

uint64_t JobSpec::Digest() const {
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(state.get(), 0);
  for (const std::string* text :
       {&team, &service, &label, &zone, &worker_kind}) {
    HashString(state.get(), *text);
  }
  const std::array<int64_t, 3> numbers = {deadline.count(), repeatable ? 1 : 0,
                                          static_cast<int64_t>(on_failure)};
  XXH64_update(state.get(), numbers.data(), sizeof(numbers));
  for (const std::string& payload : payloads) {
    HashString(state.get(), payload);
  }
  return XXH64_digest(state.get());
}

std::string_view OutcomeName(Outcome outcome) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "done", "failed", "not_run", "unknown"};
  return kNames.at(static_cast<size_t>(outcome));
}

std::string_view JobStateName(JobState state) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "running", "complete", "failed", "refused"};
  return kNames.at(static_cast<size_t>(state));
}

}  // namespace qs
