#include "lib/announcer.h"

#include <utility>

#include "http/http_client.h"

namespace qs {
namespace {

constexpr Millis kNap{20};

}  // namespace

Announcer::Announcer(Address guard, Millis period,
                     std::function<std::string()> body,
                     std::function<void()> on_accepted)
    : guard_(guard),
      period_(period),
      body_(std::move(body)),
      on_accepted_(std::move(on_accepted)) {
  thread_ = std::thread([this] { Run(); });
}

Announcer::~Announcer() {
  stopped_ = true;
  thread_.join();
}

void Announcer::Run() {
  HttpClient client(guard_, Millis(20'000));
  Instant next = Clock::now();
  while (!stopped_) {
    if (Clock::now() < next) {
      std::this_thread::sleep_for(kNap);
      continue;
    }
    HttpClient::Request request;
    request.target = "/v1/announce";
    request.content_type = "application/json";
    request.body = body_();
    const auto response = client.Exchange(request);
    const bool announced = response.has_value();
    if (announced && response->status / 100 == 2) on_accepted_();
    next = Clock::now() + (announced ? period_ : kNap * 5);
  }
}

}  // namespace qs
