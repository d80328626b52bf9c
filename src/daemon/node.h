#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/configuration.h"
#include "core/membership.h"
#include "held/guard_selector.h"
#include "net/peer_network.h"

namespace prometheus {
class Gauge;
}

namespace qs {

struct Kernel;
class PlatformAgent;
struct RegisteredMember;

// To which members a process keeps links, beyond those that gossip uses.
enum class Mesh : uint8_t {
  kNone,    // Only entries are told of this process.
  kGuards,  // To all guards, for a process that gives work to any of them.
  kChosen,  // To some guards, see GuardSelector. Gossip goes to entries only.
};

// The part of a process that all roles share: its connections, its membership
// and its registration with the platform. Gossip ends here; all other messages
// go to the handler. Lives on the core thread.
class Node final : private PeerHandler {
 public:
  // `handler` gets everything but gossip. `on_members` is called after members
  // or their load changed, `on_config` after a version came into force. All
  // must outlive the node.
  static Result<std::unique_ptr<Node>> Make(Kernel* kernel, Role role,
                                            Mesh mesh, PeerHandler* handler,
                                            std::function<void()> on_members,
                                            std::function<void()> on_config);
  ~Node() override;

  PeerNetwork& network() { return *network_; }
  Membership& membership() { return membership_; }
  // The version in force here. Offer puts a higher one in force, tells the role
  // and passes it on.
  const Configuration& configuration() const { return configuration_; }
  void OfferConfig(uint64_t version, const std::string& document);
  void AddSeeds(const std::vector<Address>& seeds);
  // Whether the members were learned, from the platform or from a peer.
  bool is_warm() const { return is_warm_; }

  // For Mesh::kChosen. Tells whether a link to a guard may be dropped now.
  void SetMayDrop(std::function<bool(Incarnation)> may_drop) {
    may_drop_ = std::move(may_drop);
  }
  GuardSelector& guard_choice() { return guard_choice_; }
  // Keeps the links that are wanted now, and no others.
  void ApplyChoice(Instant now);
  void Close();

 private:
  Node(Kernel* kernel, Role role, Mesh mesh, PeerHandler* handler,
       std::function<void()> on_members, std::function<void()> on_config);

  void OnLinkUp(Address address, const Hello& hello) override;
  void OnLinkDown(Address address, Incarnation incarnation) override;
  void OnPeerGone(Address address, Incarnation incarnation) override;
  void OnLinkMessage(Address address, Incarnation incarnation,
                     Message message) override;
  void OnSessionUp(uint64_t session, const Hello& hello) override;
  void OnSessionMessage(uint64_t session, const Hello& hello,
                        Message message) override;
  void OnSessionDown(uint64_t session, const Hello& hello) override;

  void GossipRound(Instant now);
  // A guard that has joined tells of itself seldom.
  bool IsQuietRound() const;
  // Whether the members are to be asked for in this round.
  bool WantsMembers() const;
  void OnMembersRead(const std::vector<RegisteredMember>& members);
  void OnGossip(const Gossip& gossip, Gossip* reply);
  void TellConfig();
  // What the sender of a gossip is told of the configuration, if anything.
  std::optional<Message> ConfigAnswer(const Gossip& gossip, Instant now);
  ConfigOffer MakeOffer() const;
  void StartPlatformAgent();
  void LearnMembers(Instant now);

  Kernel* kernel_;
  Mesh mesh_;
  PeerHandler* handler_;
  std::function<void()> on_members_;
  std::function<void()> on_config_;
  Configuration configuration_;
  Membership membership_;
  GuardSelector guard_choice_;
  std::function<bool(Incarnation)> may_drop_;
  std::unordered_map<Address, Incarnation> chosen_links_;  // That stand.
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<PlatformAgent> platform_agent_;
  Instant started_;
  uint64_t round_ = 0;
  uint64_t told_rounds_ = 0;  // In which there was somebody to tell.
  Instant config_asked_;
  prometheus::Gauge* frames_sent_;  // Set in each gossip round.
  prometheus::Gauge* bytes_sent_;
  prometheus::Gauge* config_version_;
  bool heard_peer_ = false;
  bool read_platform_ = false;
  bool is_warm_ = false;
};

}  // namespace qs
