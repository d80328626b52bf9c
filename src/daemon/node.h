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

// The members to which a process keeps links, apart from links that it opens
// for gossip.
enum class LinkPolicy : uint8_t {
  kNone,       // No members. Gossip goes to entries only.
  kAllGuards,  // All guards, for a process that gives work to any of them.
  // The guards that GuardSelector selects. Gossip goes to entries only.
  kChosenGuards,
};

// The part of a process that all roles share: its connections, its membership,
// its configuration and its registration with the platform. Handles gossip and
// configuration messages itself and passes all others to the handler. Used on
// the core thread only.
class Node final : private PeerHandler {
 public:
  // `handler` receives all events and messages except gossip and configuration
  // offers. `on_members` is called after members or their load changed,
  // `on_config` after a new version of the configuration, or a newer snapshot
  // of the evacuations, took effect. All must outlive the node.
  static Result<std::unique_ptr<Node>> Make(Kernel* kernel, Role role,
                                            LinkPolicy link_policy,
                                            PeerHandler* handler,
                                            std::function<void()> on_members,
                                            std::function<void()> on_config);
  ~Node() override;

  PeerNetwork& network() { return *network_; }
  Membership& membership() { return membership_; }
  // The configuration in force in this process. OfferConfig adopts a higher
  // version, notifies the role through `on_config` and announces the version to
  // other processes; it ignores any other version.
  const Configuration& configuration() const { return configuration_; }
  void OfferConfig(uint64_t version, const std::string& document);
  // The newest snapshot of the evacuations that this process has heard of.
  // OfferEvacuations does for it what OfferConfig does for the configuration.
  const Evacuations& evacuations() const { return evacuations_; }
  void OfferEvacuations(const Evacuations& evacuations);
  void AddSeeds(const std::vector<Address>& seeds);
  // Whether the list of members counts as complete: kDiscoveryRounds have
  // passed, and the platform's registry was read or a peer sent gossip.
  bool are_members_known() const { return are_members_known_; }

  // The other entries that count as live.
  std::vector<Address> LiveEntries() const;

  // For LinkPolicy::kChosenGuards. `may_drop` returns whether the link to a
  // guard may be closed now.
  void SetMayDrop(std::function<bool(Incarnation)> may_drop) {
    may_drop_ = std::move(may_drop);
  }
  GuardSelector& guard_selector() { return guard_selector_; }
  // Opens links to the guards that GuardSelector selects now, and closes links
  // to all others unless `may_drop` forbids it.
  void ApplyGuardSelection(Instant now);
  void Close();

 private:
  Node(Kernel* kernel, Role role, LinkPolicy link_policy, PeerHandler* handler,
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
  // Whether this process sends no gossip in the current round, to reduce
  // traffic after its first rounds were delivered.
  bool IsSkippedRound() const;
  // Whether to request the receivers' list of members in this round.
  bool ShouldRequestMembers() const;
  void OnRegistryRead(const std::vector<RegisteredMember>& members);
  void OnGossip(const Gossip& gossip, Gossip* reply);
  void PublishConfig();
  // The reply to a gossip message whose sender has another version of the
  // configuration in force, if one is due.
  std::optional<Message> ConfigReply(const Gossip& gossip, Instant now);
  // What is newer here than at a sender with these versions.
  ConfigOffer MakeOffer(uint64_t version = 0,
                        uint64_t evacuation_revision = 0) const;
  void OnOffer(const ConfigOffer& offer);
  void UpdateUnknownZones();
  void StartPlatformAgent();
  void AddKnownGuards(Instant now);

  Kernel* kernel_;
  LinkPolicy link_policy_;
  PeerHandler* handler_;
  std::function<void()> on_members_;
  std::function<void()> on_config_;
  Configuration configuration_;
  Evacuations evacuations_;
  Membership membership_;
  GuardSelector guard_selector_;
  std::function<bool(Incarnation)> may_drop_;
  std::unordered_map<Address, Incarnation> chosen_links_;  // Connected guards.
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<PlatformAgent> platform_agent_;
  Instant started_;
  uint64_t round_ = 0;
  // Rounds in which gossip was sent to at least one peer.
  uint64_t delivered_rounds_ = 0;
  Instant config_requested_at_;
  prometheus::Gauge* frames_sent_;  // Updated in each gossip round.
  prometheus::Gauge* bytes_sent_;
  prometheus::Gauge* peers_refused_;
  prometheus::Gauge* config_version_;
  prometheus::Gauge* evacuated_zones_;
  prometheus::Gauge* unknown_zones_;  // Evacuated ones without a member.
  bool has_received_gossip_ = false;
  bool has_read_registry_ = false;
  bool are_members_known_ = false;
};

}  // namespace qs
