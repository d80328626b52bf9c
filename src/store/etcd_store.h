#pragma once

#include <memory>
#include <string>

#include "quetzalspindle/platform_store.h"

namespace qs {

// Client of the platform's key-value service through the JSON gateway of the
// etcd v3 API.
class EtcdStore final : public PlatformStore {
 public:
  // `endpoint` is "http://IP:port". Does not connect yet.
  static std::unique_ptr<EtcdStore> Make(std::string endpoint, Millis timeout);

 private:
  EtcdStore(std::string endpoint, Millis timeout);

  Result<StoreRange> OnReadPrefix(const std::string& prefix) override;
  std::error_code OnPut(const std::string& key, const std::string& value,
                        int64_t lease) override;
  Result<bool> OnCompareAndSwap(const std::string& key, int64_t expected,
                                const std::string& value) override;
  std::error_code OnWatch(const std::string& prefix, int64_t from_revision,
                          const std::function<void(const KeyValue&)>& deliver,
                          const std::function<bool()>& keep_watching) override;

  // Sends a POST request. Returns the body of the response if its status is
  // 200.
  Result<std::string> Post(const std::string& path,
                           const std::string& body) const;

  std::string endpoint_;
  Millis timeout_;
};

}  // namespace qs
