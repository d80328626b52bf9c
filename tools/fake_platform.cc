// A stand-in for the platform's key-value service: the range, put, txn and
// watch calls of the etcd v3 JSON gateway, in memory, with switches to be down,
// slow, or to lose replies after the write took effect. GET /counts tells the
// calls.

#include <CLI/CLI.hpp>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "civetweb.h"
#include "http/base64.h"
#include "http/job_json.h"
#include "quetzalspindle/address.h"
#include "quetzalspindle/time.h"

namespace {

using nlohmann::json;

constexpr auto kNap = std::chrono::milliseconds(20);

std::atomic<bool> g_stop{false};

struct Value {
  std::string value;
  int64_t mod_revision = 0;
};

struct Event {
  std::string key;
  Value value;
};

class FakePlatform {
 public:
  json Range(const json& request) {
    const std::string first = Decode(request, "key");
    const std::string end = Decode(request, "range_end");
    const std::lock_guard lock(mutex_);
    json kvs = json::array();
    for (auto it = values_.lower_bound(first); it != values_.end(); ++it) {
      const bool inside = end.empty() ? it->first == first : it->first < end;
      if (!inside) break;
      kvs.push_back(KeyValue(it->first, it->second));
    }
    json response = {{"header", Header()}};
    if (!kvs.empty()) response["kvs"] = kvs;
    response["count"] = std::to_string(kvs.size());
    return response;
  }

  json Put(const json& request) {
    const std::lock_guard lock(mutex_);
    Write(request);
    return {{"header", Header()}};
  }

  json Txn(const json& request) {
    const std::lock_guard lock(mutex_);
    bool succeeded = true;
    for (const json& compare : request.value("compare", json::array())) {
      const auto found = values_.find(Decode(compare, "key"));
      const int64_t actual =
          found == values_.end() ? 0 : found->second.mod_revision;
      const int64_t expected =
          std::stoll(compare.value("mod_revision", std::string("0")));
      succeeded = succeeded && actual == expected;
    }
    if (succeeded) {
      for (const json& op : request.value("success", json::array())) {
        if (op.contains("request_put")) Write(op["request_put"]);
      }
    }
    return {{"header", Header()}, {"succeeded", succeeded}};
  }

  // Events from `from` on below a prefix; waits until there is one or a while
  // has passed.
  std::vector<Event> WaitEvents(const std::string& first,
                                const std::string& end, int64_t from) {
    std::unique_lock lock(mutex_);
    std::vector<Event> events;
    const auto collect = [&] {
      for (const Event& event : events_) {
        const bool inside = event.value.mod_revision >= from &&
                            event.key >= first && event.key < end;
        if (inside) events.push_back(event);
      }
      return !events.empty();
    };
    changed_.wait_for(lock, kNap, collect);
    return events;
  }

  int64_t revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
  }

  static std::string Decode(const json& request, const char* key) {
    return qs::DecodeBase64(request.value(key, std::string())).value_or("");
  }

  static json KeyValue(const std::string& key, const Value& value) {
    return {{"key", qs::EncodeBase64(key)},
            {"value", qs::EncodeBase64(value.value)},
            {"mod_revision", std::to_string(value.mod_revision)}};
  }

  json Header() const { return {{"revision", std::to_string(revision_)}}; }

 private:
  void Write(const json& request) {
    const std::string key = Decode(request, "key");
    Value& value = values_[key];
    value.value = Decode(request, "value");
    value.mod_revision = ++revision_;
    events_.push_back({key, value});
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 1;
  std::map<std::string, Value> values_;
  std::vector<Event> events_;
};

struct Server {
  FakePlatform platform;
  std::atomic<bool> down{false};
  std::atomic<bool> lose_replies{false};
  std::atomic<int> delay_ms{0};
  std::atomic<uint64_t> reads{0};
  std::atomic<uint64_t> writes{0};
  std::atomic<uint64_t> watches{0};
};

std::string ReadBody(mg_connection* connection) {
  std::string body;
  std::array<char, 4096> buffer{};
  int count = 0;
  while ((count = mg_read(connection, buffer.data(), buffer.size())) > 0) {
    body.append(buffer.data(), static_cast<size_t>(count));
  }
  return body;
}

int Reply(mg_connection* connection, const json& document) {
  const std::string body = document.dump();
  mg_send_http_ok(connection, "application/json",
                  static_cast<long long>(body.size()));
  mg_write(connection, body.data(), body.size());
  return 200;
}

// Closes the connection without a response.
int Drop() { return 999; }

int Watch(Server* server, mg_connection* connection, const json& request) {
  ++server->watches;
  const json create = request.value("create_request", json::object());
  const std::string first = FakePlatform::Decode(create, "key");
  const std::string end = FakePlatform::Decode(create, "range_end");
  int64_t from = std::stoll(create.value("start_revision", std::string("0")));
  if (from == 0) from = server->platform.revision() + 1;
  mg_printf(connection,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  const auto send = [&](const json& result) {
    const std::string line = json{{"result", result}}.dump() + "\n";
    return mg_send_chunk(connection, line.data(),
                         static_cast<unsigned>(line.size())) > 0;
  };
  if (!send({{"header", server->platform.Header()}, {"created", true}})) {
    return 200;
  }
  while (!g_stop && !server->down) {
    json events = json::array();
    for (const Event& event : server->platform.WaitEvents(first, end, from)) {
      events.push_back(
          {{"type", "PUT"},
           {"kv", FakePlatform::KeyValue(event.key, event.value)}});
      from = event.value.mod_revision + 1;
    }
    if (events.empty()) continue;
    const bool sent =
        send({{"header", server->platform.Header()}, {"events", events}});
    if (!sent) break;
  }
  return 200;
}

int Control(Server* server, mg_connection* connection, const json& request) {
  server->down = request.value("down", server->down.load());
  server->lose_replies =
      request.value("lose_replies", server->lose_replies.load());
  server->delay_ms = request.value("delay_ms", server->delay_ms.load());
  return Reply(connection, json::object());
}

int OnRequest(mg_connection* connection, void* data) {
  auto* server = static_cast<Server*>(data);
  const std::string path = mg_get_request_info(connection)->local_uri;
  const json request = json::parse(ReadBody(connection), nullptr, false);
  if (path == "/control") return Control(server, connection, request);
  if (path == "/counts") {
    return Reply(connection, {{"reads", server->reads.load()},
                              {"writes", server->writes.load()},
                              {"watches", server->watches.load()}});
  }
  if (server->down) return Drop();
  const auto delay = std::chrono::milliseconds(server->delay_ms.load());
  if (delay.count() > 0) std::this_thread::sleep_for(delay);
  if (path == "/v3/watch") return Watch(server, connection, request);
  json response;
  if (path == "/v3/kv/range") {
    ++server->reads;
    return Reply(connection, server->platform.Range(request));
  }
  ++server->writes;
  if (path == "/v3/kv/put") {
    response = server->platform.Put(request);
  } else if (path == "/v3/kv/txn") {
    response = server->platform.Txn(request);
  } else {
    return 0;
  }
  if (server->lose_replies) return Drop();
  return Reply(connection, response);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fake_platform: a stand-in for the key-value service"};
  std::string listen;
  app.add_option("--listen", listen, "IP:port")->required();
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGTERM, [](int) { g_stop = true; });
  std::signal(SIGINT, [](int) { g_stop = true; });
  std::signal(SIGPIPE, SIG_IGN);
  mg_init_library(0);
  Server server;
  const std::array<const char*, 7> config = {"listening_ports",
                                             listen.c_str(),
                                             "num_threads",
                                             "128",
                                             "tcp_nodelay",
                                             "1",
                                             nullptr};
  mg_callbacks callbacks{};
  mg_context* context =
      mg_start(&callbacks, nullptr, const_cast<const char**>(config.data()));
  if (context == nullptr) {
    std::fprintf(stderr, "%s: cannot listen\n", listen.c_str());
    return 3;
  }
  mg_set_request_handler(context, "/", &OnRequest, &server);
  while (!g_stop) std::this_thread::sleep_for(kNap);
  mg_stop(context);
  return 0;
}
