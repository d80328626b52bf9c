#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t mod_revision = 0;
  bool is_deleted = false;  // In a watch: the key was deleted.
};

struct StoreRange {
  std::vector<KeyValue> entries;
  int64_t revision = 0;  // Revision of the whole store at the time of the read.
};

// Client of the platform's key-value service. Calls block for at most the
// store's timeout and may be made from any thread. After an error it is unknown
// whether a write took effect.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  Result<StoreRange> ReadPrefix(const std::string& prefix) {
    return OnReadPrefix(prefix);
  }

  // Writes a key. If `lease` is not 0, the service deletes the key when that
  // lease expires.
  std::error_code Put(const std::string& key, const std::string& value,
                      int64_t lease = 0) {
    return OnPut(key, value, lease);
  }

  // Creates a lease that expires `ttl` after its last renewal. Fails with
  // operation_not_supported if the implementation has no leases.
  Result<int64_t> GrantLease(Millis ttl) { return OnGrantLease(ttl); }
  // Renews a lease. Returns false if it has expired.
  Result<bool> RenewLease(int64_t lease) { return OnRenewLease(lease); }

  // Writes the key if its modification revision is still `expected`; zero means
  // that the key must not exist. Returns whether the write took effect.
  Result<bool> CompareAndSwap(const std::string& key, int64_t expected,
                              const std::string& value) {
    return OnCompareAndSwap(key, expected, value);
  }

  // Calls `deliver` with every change to a key with this prefix, starting with
  // the changes of `from_revision`, until `keep_watching` returns false or the
  // connection ends.
  std::error_code Watch(const std::string& prefix, int64_t from_revision,
                        const std::function<void(const KeyValue&)>& deliver,
                        const std::function<bool()>& keep_watching) {
    return OnWatch(prefix, from_revision, deliver, keep_watching);
  }

 private:
  virtual Result<StoreRange> OnReadPrefix(const std::string& prefix) = 0;
  virtual std::error_code OnPut(const std::string& key,
                                const std::string& value, int64_t lease) = 0;
  virtual Result<int64_t> OnGrantLease(Millis /*ttl*/) {
    return tl::unexpected(
        std::make_error_code(std::errc::operation_not_supported));
  }
  virtual Result<bool> OnRenewLease(int64_t /*lease*/) {
    return tl::unexpected(
        std::make_error_code(std::errc::operation_not_supported));
  }
  virtual Result<bool> OnCompareAndSwap(const std::string& key,
                                        int64_t expected,
                                        const std::string& value) = 0;
  virtual std::error_code OnWatch(
      const std::string& prefix, int64_t from_revision,
      const std::function<void(const KeyValue&)>& deliver,
      const std::function<bool()>& keep_watching) = 0;
};

}  // namespace qs
