#include "store/config_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>

namespace qs::test {
namespace {

// An in-memory store. Each letter of `script` sets the result of one call: 'o'
// succeeds, 'd' fails because the store is down, and 'l' loses the reply after
// a write took effect. Calls after the end of the script succeed.
class ScriptedStore final : public PlatformStore {
 public:
  std::string script;
  std::function<void()> before_swap;  // Run once, as another operator.
  KeyValue entry;
  std::vector<std::string> written;

  char Next() {
    if (script.empty()) return 'o';
    const char c = script.front();
    script.erase(0, 1);
    return c;
  }

 private:
  static std::error_code Timeout() {
    return std::make_error_code(std::errc::timed_out);
  }

  Result<StoreRange> OnReadPrefix(const std::string& /*prefix*/) override {
    if (Next() != 'o') return tl::unexpected(Timeout());
    StoreRange range;
    if (entry.mod_revision > 0) range.entries.push_back(entry);
    return range;
  }
  std::error_code OnPut(const std::string& /*key*/,
                        const std::string& /*value*/,
                        int64_t /*lease*/) override {
    return Timeout();
  }
  Result<bool> OnCompareAndSwap(const std::string& key, int64_t expected,
                                const std::string& value) override {
    if (before_swap) std::exchange(before_swap, nullptr)();
    const char c = Next();
    if (c == 'd') return tl::unexpected(Timeout());
    const bool matches = entry.mod_revision == expected;
    if (matches) {
      entry = {key, value, expected + 1};
      written.push_back(value);
    }
    if (c == 'l') return tl::unexpected(Timeout());
    return matches;
  }
  std::error_code OnWatch(const std::string& /*prefix*/, int64_t /*from*/,
                          const std::function<void(const KeyValue&)>&,
                          const std::function<bool()>&) override {
    return Timeout();
  }
};

ConfigChange Change(const std::string& id, uint64_t base) {
  return {id, "anna", base, "[team club]\nmax_open_tasks = 5\n"};
}

TEST(ConfigStoreTest, AcceptsAChangeOfTheVersionItStartedFrom) {
  ScriptedStore store;
  const ChangeOutcome outcome = ConfigStore(&store).Apply(Change("c1", 1));
  EXPECT_EQ(outcome.state, ChangeState::kAccepted);
  EXPECT_EQ(outcome.current.version, 2U);
}

TEST(ConfigStoreTest, ResolvesALostReplyByReading) {
  ScriptedStore store;
  store.script = "ol";
  EXPECT_EQ(ConfigStore(&store).Apply(Change("c1", 1)).state,
            ChangeState::kAccepted);
  EXPECT_EQ(store.written.size(), 1U);
}

TEST(ConfigStoreTest, ReportsTheWinnerToTheLoserOfARace) {
  ScriptedStore store;
  store.before_swap = [&] {
    ConfigChange other = Change("c2", 1);
    other.author = "ben";
    ConfigStore(&store).Apply(other);
  };
  const ChangeOutcome outcome = ConfigStore(&store).Apply(Change("c1", 1));
  EXPECT_EQ(outcome.state, ChangeState::kLostRace);
  EXPECT_EQ(outcome.current.author, "ben");
  EXPECT_EQ(store.written.size(), 1U);
}

TEST(ConfigStoreTest, FindsItsChangeInTheHistory) {
  ScriptedStore store;
  // Models a change c1 whose reply is lost and which is retried after another
  // change has replaced it.
  ASSERT_EQ(ConfigStore(&store).Apply(Change("c1", 1)).state,
            ChangeState::kAccepted);
  ASSERT_EQ(ConfigStore(&store).Apply(Change("c2", 2)).state,
            ChangeState::kAccepted);
  EXPECT_EQ(ConfigStore(&store).Apply(Change("c1", 1)).state,
            ChangeState::kAccepted);
  EXPECT_EQ(store.written.size(), 2U);
}

TEST(ConfigStoreTest, ReportsUnknownDuringAnOutage) {
  ScriptedStore store;
  store.script = std::string(20, 'd');
  EXPECT_EQ(ConfigStore(&store).Apply(Change("c1", 1)).state,
            ChangeState::kUnknown);
}

// Whichever calls fail or lose their replies, a change that is reported as
// accepted was written exactly once, and one that is reported to have lost a
// race was never written.
RC_GTEST_PROP(ConfigStorePropertyTest, ReportedStateMatchesTheWrites, ()) {
  ScriptedStore store;
  std::map<std::string, int> lost_races;
  const auto scripts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::element('o', 'd', 'l')));
  uint64_t base = 1;
  int number = 0;
  for (const std::string& script : scripts) {
    store.script = script;
    const std::string id = "c" + std::to_string(number++);
    const bool races = number % 3 == 0;
    if (races) {
      store.before_swap = [&store, base] {
        ConfigStore(&store).Apply(Change("rival" + std::to_string(base), base));
      };
    }
    const ChangeOutcome outcome = ConfigStore(&store).Apply(Change(id, base));
    int writes = 0;
    for (const std::string& value : store.written) {
      const auto config = ConfigStore::Decode({"", value, 1});
      writes += config->change_id == id ? 1 : 0;
    }
    RC_ASSERT(writes <= 1);
    if (outcome.state == ChangeState::kAccepted) RC_ASSERT(writes == 1);
    if (outcome.state == ChangeState::kLostRace) RC_ASSERT(writes == 0);
    store.before_swap = nullptr;
    store.script.clear();
    const uint64_t version = ConfigStore(&store).Read()->version;
    RC_ASSERT(version >= base);
    base = version;
  }
}

}  // namespace
}  // namespace qs::test
