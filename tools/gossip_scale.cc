// Spreads membership among many members in one process, in simulated time: how
// many live members are taken for silent, and what a member sends.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>
#include <vector>

#include "core/membership.h"
#include "wire/codec.h"

namespace {

using qs::Instant;
using qs::Millis;

constexpr Millis kRound{500};
constexpr int kWarmRounds = 60;
constexpr int kMeasuredRounds = 60;

class Simulation {
 public:
  Simulation(uint32_t members, const qs::MembershipOptions& options) {
    for (uint32_t i = 0; i < members; ++i) {
      qs::MemberRecord record;
      record.address = {i, 7000};
      record.incarnation = {100 + i};
      record.version = 1;
      record.role = qs::Role::kGuard;
      record.zone = "ro-west-a";
      record.services = {"sketch"};
      members_.push_back(
          std::make_unique<qs::Membership>(options, record, 1000 + i));
      members_.back()->AddSeed({i == 0 ? 1U : 0U, 7000});
    }
  }

  // Returns the share of live members that others take for silent.
  double Run(int rounds) {
    uint64_t silent = 0;
    uint64_t pairs = 0;
    for (int round = 0; round < rounds; ++round) {
      now_ += kRound;
      for (const auto& member : members_) SendRound(member.get());
      for (const auto& member : members_) {
        member->OnTimer(now_);
        for (const auto& [address, peer] : member->peers()) {
          silent += peer.is_live ? 0 : 1;
        }
        pairs += members_.size() - 1;
        silent += members_.size() - 1 - member->peers().size();
      }
    }
    return static_cast<double>(silent) / static_cast<double>(pairs);
  }

  double KilobytesPerSecond(int rounds) const {
    const double seconds =
        std::chrono::duration<double>(kRound).count() * rounds;
    return static_cast<double>(bytes_) / 1e3 / seconds /
           static_cast<double>(members_.size());
  }
  void ResetBytes() { bytes_ = 0; }

 private:
  void SendRound(qs::Membership* sender) {
    for (const qs::SendGossip& send : sender->OnGossipRound(now_, true)) {
      bytes_ += qs::EncodeFrame(send.gossip).size();
      bool changed = false;
      const qs::Gossip reply =
          members_[send.to.ip]->OnGossip(send.gossip, now_, &changed);
      if (reply.members.empty()) continue;
      bytes_ += qs::EncodeFrame(reply).size();
      sender->OnGossip(reply, now_, &changed);
    }
  }

  Instant now_{std::chrono::hours(1)};
  uint64_t bytes_ = 0;
  std::vector<std::unique_ptr<qs::Membership>> members_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"qsgossip: membership among many members in simulated time"};
  std::vector<uint32_t> sizes = {120, 300, 600, 1200};
  qs::MembershipOptions options;
  uint32_t suspect_ms = 5000;
  app.add_option("sizes", sizes)->check(CLI::Range(2, 5000));
  app.add_option("--fanout", options.fanout);
  app.add_option("--records", options.max_records);
  app.add_option("--suspect-ms", suspect_ms);
  CLI11_PARSE(app, argc, argv);
  options.suspect_after = Millis(suspect_ms);
  for (const uint32_t size : sizes) {
    Simulation simulation(size, options);
    simulation.Run(kWarmRounds);
    simulation.ResetBytes();
    const double silent = simulation.Run(kMeasuredRounds);
    std::printf("%5u members: %6.2f%% taken for silent, %6.2f KB/s sent\n",
                size, silent * 100,
                simulation.KilobytesPerSecond(kMeasuredRounds));
    std::fflush(stdout);
  }
  return 0;
}
