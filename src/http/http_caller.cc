#include "http/http_caller.h"

#include <curl/curl.h>

namespace qs {
namespace {

// The timeout for connecting. It expires if the machine does not answer at all.
constexpr Millis kConnectTimeout{300};

// Initialises libcurl before main starts threads.
const CURLcode kCurlReady = curl_global_init(CURL_GLOBAL_DEFAULT);

// Of all headers of an answer with its trailers. libcurl keeps each of them and
// does not limit the trailers.
constexpr size_t kMaxHeaderBytes = 65'536;

struct Sink {
  std::string* text;
  size_t max_bytes;
  size_t header_bytes = 0;
};

// Ends the exchange when the answer is too large.
size_t Append(char* data, size_t size, size_t count, void* out) {
  const auto* sink = static_cast<Sink*>(out);
  const size_t bytes = size * count;
  if (bytes > sink->max_bytes - sink->text->size()) return 0;
  sink->text->append(data, bytes);
  return bytes;
}

// Ends the exchange when its headers are too large.
size_t CountHeader(char* /*data*/, size_t size, size_t count, void* out) {
  auto* sink = static_cast<Sink*>(out);
  sink->header_bytes += size * count;
  return sink->header_bytes > kMaxHeaderBytes ? 0 : size * count;
}

HttpFault FaultOf(CURLcode code, CURL* easy) {
  if (code == CURLE_OK) return HttpFault::kNone;
  if (code == CURLE_COULDNT_CONNECT) {
    // Distinguishes a refused connection, which shows that no process listens,
    // from an attempt that timed out.
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return error == ECONNREFUSED ? HttpFault::kUnreachable
                                 : HttpFault::kNoAnswer;
  }
  return HttpFault::kNoAnswer;
}

}  // namespace

struct HttpCaller::Handle {
  CURL* easy = curl_easy_init();

  Handle() = default;
  ~Handle() { curl_easy_cleanup(easy); }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
};

HttpCaller::HttpCaller(Address server, size_t max_answer_bytes)
    : server_(server),
      max_answer_bytes_(max_answer_bytes),
      handle_(std::make_unique<Handle>()) {
  (void)kCurlReady;
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::Reset() { handle_ = std::make_unique<Handle>(); }

HttpOutcome HttpCaller::Exchange(const HttpExchange& request) {
  CURL* easy = handle_->easy;
  curl_easy_reset(easy);
  const std::string url = "http://" + server_.ToString() + request.target;
  curl_slist* headers =
      curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  for (const auto& [name, value] : request.headers) {
    headers = curl_slist_append(headers, (name + ": " + value).c_str());
  }
  HttpOutcome outcome;
  Sink sink{&outcome.body, max_answer_bytes_, 0};
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(kConnectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &sink);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CountHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &sink);
  if (request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
  } else if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
  outcome.fault = FaultOf(curl_easy_perform(easy), easy);
  if (outcome.fault == HttpFault::kNone) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    outcome.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  return outcome;
}

}  // namespace qs
