#include "http/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "http/http_caller.h"
#include "lib/http_probe.h"

namespace qs::test {
namespace {

class HttpServerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    address_ = LoopbackOfRun(61);
    HttpServerOptions options;
    options.address = address_;
    std::vector<HttpServer::Route> routes;
    routes.push_back(
        {"GET", "/quick", [](const HttpRequest&) { return HttpResponse{}; }});
    routes.push_back({"GET", "/slow", [this](const HttpRequest&) {
                        is_in_handler_ = true;
                        std::this_thread::sleep_for(Millis(300));
                        HttpResponse response;
                        response.body = "whole";
                        return response;
                      }});
    auto server = HttpServer::Make(std::move(options), std::move(routes));
    ASSERT_TRUE(server);
    server_ = std::move(*server);
  }

  Address address_;
  std::atomic<bool> is_in_handler_{false};
  std::unique_ptr<HttpServer> server_;
};

// Callers keep connections open between requests. Waiting for these idle
// connections would delay the end of a process that stops.
TEST_F(HttpServerTest, StopDoesNotWaitForIdleConnections) {
  HttpCaller caller(address_);
  EXPECT_EQ(caller.Exchange(Get("/quick")).status, 200);
  const Instant began = Clock::now();
  server_->Stop();
  EXPECT_LT(Clock::now() - began, Millis(1000));
}

TEST_F(HttpServerTest, StopLetsAnAnswerInProgressGoOut) {
  HttpOutcome outcome;
  std::thread client([&] {
    HttpCaller caller(address_);
    outcome = caller.Exchange(Get("/slow"));
  });
  while (!is_in_handler_) std::this_thread::yield();
  server_->Stop();
  client.join();
  EXPECT_EQ(outcome.status, 200);
  EXPECT_EQ(outcome.body, "whole");
}

}  // namespace
}  // namespace qs::test
