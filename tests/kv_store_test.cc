#include "kv_store.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "lib/fake_kv.h"

namespace qs::platform {
namespace {

const Address kAddress = *Address::Parse("127.77.1.1:9300");

class KvStoreTest : public ::testing::Test {
 protected:
  test::FakeKv kv_{kAddress};
  std::unique_ptr<PlatformStore> store_ = KvStore::Make(kAddress, Millis(2000));
};

TEST_F(KvStoreTest, ReadsEveryPageOfAPrefix) {
  for (int i = 0; i < 7; ++i) kv_.Write("a/" + std::to_string(i), "v");
  kv_.Write("b/0", "other");
  const Result<StoreRange> range = store_->ReadPrefix("a/");
  ASSERT_TRUE(range);
  EXPECT_EQ(range->entries.size(), 7U);
  EXPECT_EQ(range->entries[6].value, "v");
  EXPECT_GE(range->revision, range->entries[6].mod_revision);
}

TEST_F(KvStoreTest, SwapsOnlyWhatIsStillAsExpected) {
  EXPECT_EQ(store_->CompareAndSwap("k", 0, "one"), true);
  EXPECT_EQ(store_->CompareAndSwap("k", 0, "two"), false);
  const Result<StoreRange> range = store_->ReadPrefix("k");
  ASSERT_TRUE(range);
  EXPECT_EQ(
      store_->CompareAndSwap("k", range->entries[0].mod_revision, "three"),
      true);
  EXPECT_EQ(kv_.Read("k"), "three");
}

TEST_F(KvStoreTest, ALostReplyIsAnErrorThatLeavesTheOutcomeOpen) {
  kv_.LoseNextReply();
  EXPECT_FALSE(store_->CompareAndSwap("k", 0, "one"));
  EXPECT_EQ(kv_.Read("k"), "one");
}

TEST_F(KvStoreTest, ALeaseCanBeRenewedUntilItHasEnded) {
  const Result<int64_t> lease = store_->GrantLease(Millis(5000));
  ASSERT_TRUE(lease);
  EXPECT_FALSE(store_->Put("m/1", "v", *lease));
  EXPECT_EQ(store_->RenewLease(*lease), true);
  kv_.EndLeases();
  EXPECT_EQ(kv_.Read("m/1"), "");
  EXPECT_EQ(store_->RenewLease(*lease), false);
  kv_.SetDown(true);
  EXPECT_FALSE(store_->RenewLease(*lease));
}

TEST_F(KvStoreTest, AStoreThatIsDownGivesErrors) {
  kv_.SetDown(true);
  EXPECT_FALSE(store_->ReadPrefix("a"));
  EXPECT_TRUE(store_->Put("k", "v"));
  kv_.SetDown(false);
  EXPECT_FALSE(store_->Put("k", "v"));
}

TEST_F(KvStoreTest, WatchDeliversLaterChangesAndEndsWithTheHistory) {
  kv_.Write("c", "0");
  const Result<StoreRange> range = store_->ReadPrefix("c");
  ASSERT_TRUE(range);
  std::vector<std::string> seen;
  std::atomic<int> count{0};
  std::error_code error;
  std::thread watcher([&] {
    error = store_->Watch(
        "c", range->revision + 1,
        [&](const KeyValue& entry) {
          seen.push_back(entry.value);
          ++count;
        },
        [] { return true; });
  });
  kv_.Write("c", "1");
  while (count < 1) std::this_thread::yield();
  kv_.Write("c", "2");
  while (count < 2) std::this_thread::yield();
  kv_.Compact();
  watcher.join();
  EXPECT_EQ(seen, (std::vector<std::string>{"1", "2"}));
  EXPECT_TRUE(error);
}

}  // namespace
}  // namespace qs::platform
