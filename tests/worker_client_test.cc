// WorkerClient with the platform's protocol, against small stand-ins of a
// worker's incarnations.

#include "daemon/worker_client.h"

#include <gtest/gtest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "lib/cluster.h"
#include "lib/http_probe.h"
#include "worker_http.h"

namespace qs::test {
namespace {

using nlohmann::json;

constexpr Address kNoPort{0, 0};
constexpr Millis kWaitTimeout{5000};

// One incarnation of a worker. It counts the starts and remembers the deadline
// of the last poll.
class StandIn {
 public:
  StandIn(Address address, uint64_t born) : born_(born) {
    std::vector<HttpServer::Route> routes;
    const auto add = [&](const char* path,
                         HttpResponse (StandIn::*handler)(const HttpRequest&)) {
      routes.push_back({"POST", path, [this, handler](const HttpRequest& r) {
                          return (this->*handler)(r);
                        }});
    };
    add("/-/run-start", &StandIn::OnStart);
    add("/-/hold", &StandIn::OnPoll);
    HttpServerOptions options;
    options.address = address;
    options.no_such_route = [] { return HttpResponse(); };
    options.too_large = [](size_t) { return HttpResponse(); };
    auto server = HttpServer::Make(std::move(options), std::move(routes));
    if (server) server_ = std::move(*server);
  }
  ~StandIn() {
    if (server_) server_->Stop();
  }

  bool is_up() const { return server_ != nullptr; }
  int starts() const { return starts_; }
  int polls_with_deadline() const { return polls_with_deadline_; }

 private:
  HttpResponse OnStart(const HttpRequest& /*request*/) {
    ++starts_;
    return Answer({{"currentTimeMs", 5}});
  }
  HttpResponse OnPoll(const HttpRequest& request) {
    if (json::parse(request.body).contains("deadlineMs")) {
      ++polls_with_deadline_;
    }
    return Answer({{"currentTimeMs", 5},
                   {"born", born_},
                   {"running", json::array()},
                   {"finished", json::array()}});
  }
  static HttpResponse Answer(const json& body) {
    HttpResponse response;
    response.body = body.dump();
    return response;
  }

  uint64_t born_;
  std::atomic<int> starts_{0};
  std::atomic<int> polls_with_deadline_{0};
  std::unique_ptr<HttpServer> server_;
};

class WorkerClientTest : public ::testing::Test {
 protected:
  void SetUp() override {
    address_ = LoopbackOfRun(63);
    client_ = std::make_unique<WorkerClient>(
        &io_, address_, &protocol_,
        [this](const WorkerAnswer& answer) {
          if (const auto* start = std::get_if<StartAnswer>(&answer)) {
            verdict_ = start->reply.verdict;
            ++start_answers_;
          } else {
            ++poll_answers_;
          }
        },
        [this] { is_poll_needed_ = true; });
    thread_ = std::thread([this] { io_.run(); });
  }
  void TearDown() override {
    asio::post(io_, [this] { client_->Stop(); });
    work_.reset();
    thread_.join();
  }

  // Waits until there are `count` answers. Polls the incarnation `born`
  // whenever the client wants a poll.
  bool WaitForAnswer(const std::atomic<int>& answers, int count,
                     uint64_t born) {
    return WaitUntil(
        [&] {
          asio::post(io_, [this, born] {
            client_->CheckTime(Clock::now());
            if (is_poll_needed_.exchange(false)) {
              client_->Submit(MakePoll(born));
            }
          });
          return answers >= count;
        },
        kWaitTimeout);
  }
  bool Poll(uint64_t born) {
    const int count = poll_answers_ + 1;
    asio::post(io_, [this, born] { client_->Submit(MakePoll(born)); });
    return WaitForAnswer(poll_answers_, count, born);
  }
  // Returns the verdict of a start for the incarnation `born`.
  WorkerVerdict Start(uint64_t born) {
    SendStart start;
    start.call.incarnation = {"w", born};
    start.call.task = "a.0.0.0";
    start.call.attempt = 1;
    start.call.deadline = Millis(1000);
    const int count = start_answers_ + 1;
    asio::post(io_, [this, start] { client_->Submit(start); });
    EXPECT_TRUE(WaitForAnswer(start_answers_, count, born));
    return verdict_;
  }
  static SendPoll MakePoll(uint64_t born) {
    SendPoll poll;
    poll.is_immediate = true;
    poll.call.incarnation = {"w", born};
    poll.call.deadline = Millis(1000);
    return poll;
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  platform::WorkerHttp protocol_;
  Address address_ = kNoPort;
  std::unique_ptr<WorkerClient> client_;
  std::thread thread_;
  std::atomic<WorkerVerdict> verdict_{WorkerVerdict::kNoAnswer};
  std::atomic<int> start_answers_{0};
  std::atomic<int> poll_answers_{0};
  std::atomic<bool> is_poll_needed_{false};
};

TEST_F(WorkerClientTest, StartsOnceItsConnectionIsConfirmed) {
  const StandIn worker(address_, 1);
  ASSERT_TRUE(worker.is_up());
  ASSERT_TRUE(Poll(1));
  EXPECT_EQ(Start(1), WorkerVerdict::kAccepted);
  EXPECT_EQ(worker.starts(), 1);
}

// Guards against two runs of one task: a start that is meant for a worker which
// crashed reaches the next one under its id, on whose clock its deadline means
// nothing, so that it may be carried out at any later time.
TEST_F(WorkerClientTest, AStartDoesNotReachALaterIncarnationWithTheSameId) {
  auto first = std::make_unique<StandIn>(address_, 1);
  ASSERT_TRUE(first->is_up());
  ASSERT_TRUE(Poll(1));
  EXPECT_EQ(Start(1), WorkerVerdict::kAccepted);
  first.reset();
  const StandIn second(address_, 2);
  ASSERT_TRUE(second.is_up());
  EXPECT_NE(Start(1), WorkerVerdict::kAccepted);
  EXPECT_EQ(second.starts(), 0);
  // It is known once it has answered a poll.
  ASSERT_TRUE(Poll(1));
  EXPECT_EQ(Start(1), WorkerVerdict::kNotSent);
  EXPECT_EQ(Start(2), WorkerVerdict::kAccepted);
  EXPECT_EQ(second.starts(), 1);
}

// Guards against a lease that a later incarnation of the worker would take from
// a deadline on the clock of an earlier one.
TEST_F(WorkerClientTest, APollAsksALaterIncarnationForNoLease) {
  auto first = std::make_unique<StandIn>(address_, 1);
  ASSERT_TRUE(first->is_up());
  ASSERT_TRUE(Poll(1));
  EXPECT_EQ(first->polls_with_deadline(), 0);
  ASSERT_TRUE(Poll(1));
  EXPECT_EQ(first->polls_with_deadline(), 1);
  first.reset();
  const StandIn second(address_, 2);
  ASSERT_TRUE(second.is_up());
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(Poll(1));
  EXPECT_EQ(second.polls_with_deadline(), 0);
}

}  // namespace
}  // namespace qs::test
