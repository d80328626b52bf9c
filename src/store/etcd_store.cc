#include "store/etcd_store.h"

#include <curl/curl.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "http/base64.h"
#include "quetzalspindle/http_status.h"

namespace qs {
namespace {

using nlohmann::json;

// Initialises libcurl before main starts threads.
const CURLcode kCurlReady = curl_global_init(CURL_GLOBAL_DEFAULT);

std::error_code ErrorOf(CURLcode code) {
  if (code == CURLE_OK) return {};
  return std::make_error_code(code == CURLE_OPERATION_TIMEDOUT
                                  ? std::errc::timed_out
                                  : std::errc::not_connected);
}

std::error_code BadMessage() {
  return std::make_error_code(std::errc::bad_message);
}

size_t Append(char* data, size_t size, size_t count, void* out) {
  static_cast<std::string*>(out)->append(data, size * count);
  return size * count;
}

// Returns the first key after all keys with this prefix, which the API expects
// as range_end.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFF) {
    prefix.pop_back();
  }
  if (!prefix.empty()) ++prefix.back();
  return prefix;
}

// Reads a 64-bit number, which the gateway encodes as a string.
int64_t Number(const json& object, const char* key) {
  const auto member = object.find(key);
  if (member == object.end()) return 0;
  if (member->is_string()) return std::stoll(member->get<std::string>());
  return member->get<int64_t>();
}

KeyValue ReadEntry(const json& kv) {
  KeyValue entry;
  entry.key = DecodeBase64(kv.at("key").get<std::string>()).value_or("");
  entry.value = DecodeBase64(kv.value("value", "")).value_or("");
  entry.mod_revision = Number(kv, "mod_revision");
  return entry;
}

struct CurlHandle {
  CURL* easy = curl_easy_init();
  curl_slist* headers =
      curl_slist_append(nullptr, "Content-Type: application/json");

  CurlHandle() = default;
  ~CurlHandle() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
  CurlHandle(const CurlHandle&) = delete;
  CurlHandle& operator=(const CurlHandle&) = delete;

  void Prepare(const std::string& url, const std::string& body) const {
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  }
};

// Splits the response of a watch into its JSON documents, one per line, and
// delivers the changes that they contain.
struct WatchStream {
  const std::function<void(const KeyValue&)>* deliver;
  const std::function<bool()>* keep_watching;
  std::string buffer;
  bool failed = false;

  static size_t OnData(char* data, size_t size, size_t count, void* self) {
    auto* stream = static_cast<WatchStream*>(self);
    stream->buffer.append(data, size * count);
    return stream->Consume() ? size * count : 0;
  }

  static int OnProgress(void* self, curl_off_t, curl_off_t, curl_off_t,
                        curl_off_t) {
    return (*static_cast<WatchStream*>(self)->keep_watching)() ? 0 : 1;
  }

  bool Consume() {
    for (size_t end = buffer.find('\n'); end != std::string::npos;
         end = buffer.find('\n')) {
      const std::string line = buffer.substr(0, end);
      buffer.erase(0, end + 1);
      if (!line.empty() && !DeliverLine(line)) return false;
    }
    return true;
  }

  bool DeliverLine(const std::string& line) {
    try {
      const json result = json::parse(line).at("result");
      for (const json& event : result.value("events", json::array())) {
        KeyValue entry = ReadEntry(event.at("kv"));
        entry.is_deleted = event.value("type", "PUT") != "PUT";
        (*deliver)(entry);
      }
      return true;
    } catch (const std::exception&) {
      failed = true;
      return false;
    }
  }
};

}  // namespace

std::unique_ptr<EtcdStore> EtcdStore::Make(std::string endpoint,
                                           Millis timeout) {
  (void)kCurlReady;
  return std::unique_ptr<EtcdStore>(
      new EtcdStore(std::move(endpoint), timeout));
}

EtcdStore::EtcdStore(std::string endpoint, Millis timeout)
    : endpoint_(std::move(endpoint)), timeout_(timeout) {}

Result<std::string> EtcdStore::Post(const std::string& path,
                                    const std::string& body) const {
  const CurlHandle handle;
  std::string response;
  const std::string url = endpoint_ + path;
  handle.Prepare(url, body);
  curl_easy_setopt(handle.easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout_.count()));
  curl_easy_setopt(handle.easy, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(handle.easy, CURLOPT_WRITEDATA, &response);
  const std::error_code error = ErrorOf(curl_easy_perform(handle.easy));
  if (error) return tl::unexpected(error);
  long status = 0;
  curl_easy_getinfo(handle.easy, CURLINFO_RESPONSE_CODE, &status);
  if (status != kHttpOk) return tl::unexpected(BadMessage());
  return response;
}

Result<StoreRange> EtcdStore::OnReadPrefix(const std::string& prefix) {
  const json request = {{"key", EncodeBase64(prefix)},
                        {"range_end", EncodeBase64(PrefixEnd(prefix))}};
  const Result<std::string> body = Post("/v3/kv/range", request.dump());
  if (!body) return tl::unexpected(body.error());
  try {
    const json response = json::parse(*body);
    StoreRange range;
    range.revision = Number(response.at("header"), "revision");
    for (const json& kv : response.value("kvs", json::array())) {
      range.entries.push_back(ReadEntry(kv));
    }
    return range;
  } catch (const std::exception&) {
    return tl::unexpected(BadMessage());
  }
}

// Ignores the lease: GrantLease is not supported, so there is never one.
std::error_code EtcdStore::OnPut(const std::string& key,
                                 const std::string& value, int64_t /*lease*/) {
  const json request = {{"key", EncodeBase64(key)},
                        {"value", EncodeBase64(value)}};
  const Result<std::string> body = Post("/v3/kv/put", request.dump());
  return body ? std::error_code() : body.error();
}

Result<bool> EtcdStore::OnCompareAndSwap(const std::string& key,
                                         int64_t expected,
                                         const std::string& value) {
  const std::string encoded = EncodeBase64(key);
  const json compare = {{"key", encoded},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected)}};
  const json put = {{"key", encoded}, {"value", EncodeBase64(value)}};
  const json request = {{"compare", json::array({compare})},
                        {"success", json::array({{{"request_put", put}}})}};
  const Result<std::string> body = Post("/v3/kv/txn", request.dump());
  if (!body) return tl::unexpected(body.error());
  try {
    return json::parse(*body).value("succeeded", false);
  } catch (const std::exception&) {
    return tl::unexpected(BadMessage());
  }
}

std::error_code EtcdStore::OnWatch(
    const std::string& prefix, int64_t from_revision,
    const std::function<void(const KeyValue&)>& deliver,
    const std::function<bool()>& keep_watching) {
  const json request = {{"create_request",
                         {{"key", EncodeBase64(prefix)},
                          {"range_end", EncodeBase64(PrefixEnd(prefix))},
                          {"start_revision", std::to_string(from_revision)}}}};
  const CurlHandle handle;
  const std::string url = endpoint_ + "/v3/watch";
  const std::string body = request.dump();
  handle.Prepare(url, body);
  WatchStream stream{&deliver, &keep_watching, {}, false};
  curl_easy_setopt(handle.easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(timeout_.count()));
  curl_easy_setopt(handle.easy, CURLOPT_WRITEFUNCTION, &WatchStream::OnData);
  curl_easy_setopt(handle.easy, CURLOPT_WRITEDATA, &stream);
  curl_easy_setopt(handle.easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle.easy, CURLOPT_XFERINFOFUNCTION,
                   &WatchStream::OnProgress);
  curl_easy_setopt(handle.easy, CURLOPT_XFERINFODATA, &stream);
  const std::error_code error = ErrorOf(curl_easy_perform(handle.easy));
  return stream.failed ? BadMessage() : error;
}

}  // namespace qs
