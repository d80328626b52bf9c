#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "core/membership.h"
#include "net/peer_network.h"

namespace prometheus {
class Gauge;
}

namespace qs {

struct Kernel;
class PlatformAgent;

// To which members a process keeps links, beyond those that gossip uses.
enum class Mesh : uint8_t {
  kNone,
  kGuards,  // For a process that gives work to guards.
  kAll,
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
  void OnGossip(const Gossip& gossip, Gossip* reply);
  // What a peer that has an older configuration is sent.
  bool IsBehind(const Gossip& gossip) const;
  ConfigOffer MakeOffer() const;
  void StartPlatformAgent();
  bool KeepsLinkTo(const MemberRecord& record) const;

  Kernel* kernel_;
  Mesh mesh_;
  PeerHandler* handler_;
  std::function<void()> on_members_;
  std::function<void()> on_config_;
  Configuration configuration_;
  Membership membership_;
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<PlatformAgent> platform_agent_;
  Instant started_;
  prometheus::Gauge* frames_sent_;  // Set in each gossip round.
  prometheus::Gauge* bytes_sent_;
  prometheus::Gauge* config_version_;
  bool heard_peer_ = false;
  bool read_platform_ = false;
  bool is_warm_ = false;
};

}  // namespace qs
