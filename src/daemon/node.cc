#include "daemon/node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <bit>
#include <chrono>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "daemon/platform_agent.h"
#include "kernel/kernel.h"

namespace qs {
namespace {

// Gossip rounds after which a new process treats its list of members as
// complete.
constexpr int kDiscoveryRounds = 4;
// A process with LinkPolicy::kNone sends gossip in every round until this many
// rounds have reached an entry. Its receivers take little more than its address
// from its gossip, so it then sends in only one of kReducedGossipPeriod rounds.
constexpr uint64_t kInitialGossipRounds = 4;
constexpr uint64_t kReducedGossipPeriod = 15;
// Minimum time between two requests for a newer configuration, as several peers
// may report the same new version at once.
constexpr Millis kMinConfigRequestInterval{100};
// Entries to which a process announces a new version at once. Each of them
// announces it to as many others.
constexpr uint32_t kConfigFanout = 4;

MemberRecord SelfRecord(const Kernel& kernel, Role role) {
  MemberRecord record;
  record.address = kernel.settings.listen;
  record.incarnation = kernel.incarnation;
  // Higher than the versions of earlier runs of this process, unless the wall
  // clock was set back. In that case Membership raises the version above that
  // of the earlier run as soon as gossip reports it.
  record.version = static_cast<uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  record.role = role;
  record.zone = kernel.settings.zone;
  record.worker_kind = kernel.settings.worker_kind;
  return record;
}

MembershipOptions OptionsFrom(const Settings& settings,
                              LinkPolicy link_policy) {
  MembershipOptions options;
  options.fanout = settings.gossip_fanout;
  options.max_records = settings.gossip_records;
  options.suspect_after = settings.suspect_after;
  options.gossip_to_entries_only = link_policy != LinkPolicy::kAllGuards;
  return options;
}

GuardSelectorOptions GuardSelectorOptionsFrom(const Settings& settings) {
  GuardSelectorOptions options;
  options.links = settings.guard_links;
  return options;
}

PeerLimits PeerLimitsOf(const Kernel& kernel) {
  constexpr size_t kKib = 1024;
  // Strangers may take this part of the descriptors at most.
  constexpr size_t kUnnamedPart = 16;
  const Settings& settings = kernel.settings;
  PeerLimits limits;
  limits.frames.max_frame_bytes =
      std::min(settings.max_frame_kib * kKib, kernel.memory.frame_bytes);
  limits.frames.max_unsent_bytes =
      std::min(settings.max_unsent_kib * kKib, kernel.memory.frame_bytes);
  limits.max_sessions = settings.max_peers;
  limits.max_unnamed_sessions = std::min<size_t>(
      settings.max_unnamed_peers, kernel.descriptors / kUnnamedPart);
  return limits;
}

}  // namespace

Result<std::unique_ptr<Node>> Node::Make(Kernel* kernel, Role role,
                                         LinkPolicy link_policy,
                                         PeerHandler* handler,
                                         std::function<void()> on_members,
                                         std::function<void()> on_config) {
  std::unique_ptr<Node> node(new Node(kernel, role, link_policy, handler,
                                      std::move(on_members),
                                      std::move(on_config)));
  const Hello self{kernel->incarnation, kernel->settings.listen, role};
  auto network =
      PeerNetwork::Make(&kernel->io, self, node.get(), PeerLimitsOf(*kernel));
  if (!network) return tl::unexpected(network.error());
  node->network_ = std::move(*network);
  node->AddSeeds(kernel->settings.seeds);
  kernel->timers.Subscribe(
      kernel->settings.gossip_interval,
      [raw = node.get()](Instant now) { raw->GossipRound(now); });
  node->StartPlatformAgent();
  return node;
}

Node::Node(Kernel* kernel, Role role, LinkPolicy link_policy,
           PeerHandler* handler, std::function<void()> on_members,
           std::function<void()> on_config)
    : kernel_(kernel),
      link_policy_(link_policy),
      handler_(handler),
      on_members_(std::move(on_members)),
      on_config_(std::move(on_config)),
      membership_(OptionsFrom(kernel->settings, link_policy),
                  SelfRecord(*kernel, role),
                  static_cast<uint32_t>(kernel->incarnation.value)),
      guard_selector_(GuardSelectorOptionsFrom(kernel->settings),
                      kernel->settings.listen, kernel->settings.zone),
      started_(Clock::now()),
      frames_sent_(&kernel->metrics.gauge("quetzalspindle_frames_sent",
                                          "Frames sent to other processes.")),
      bytes_sent_(
          &kernel->metrics.gauge("quetzalspindle_frame_bytes_sent",
                                 "Bytes of frames sent to other processes.")),
      peers_refused_(&kernel->metrics.gauge(
          "quetzalspindle_peers_refused",
          "Connections of other processes closed: too many, without a Hello, "
          "or "
          "with a frame that is too large or unreadable.")),
      config_version_(&kernel->metrics.gauge(
          "quetzalspindle_config_version",
          "Version of the configuration in force; 0 when none is known.")),
      evacuated_zones_(&kernel->metrics.gauge(
          "quetzalspindle_evacuated_zones",
          "Availability zones that are evacuated, as this process knows.")),
      unknown_zones_(&kernel->metrics.gauge(
          "quetzalspindle_evacuated_zones_unknown",
          "Evacuated zones in which this process knows no member.")) {}

Node::~Node() { Close(); }

void Node::Close() {
  platform_agent_.reset();
  if (network_) network_->Close();
}

void Node::AddSeeds(const std::vector<Address>& seeds) {
  for (const Address seed : seeds) {
    membership_.AddSeed(seed);
    if (link_policy_ == LinkPolicy::kAllGuards) network_->KeepLink(seed);
  }
}

std::vector<Address> Node::LiveEntries() const {
  std::vector<Address> entries;
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.is_live && peer.record.role == Role::kEntry) {
      entries.push_back(address);
    }
  }
  return entries;
}

void Node::StartPlatformAgent() {
  const Settings& settings = kernel_->settings;
  std::unique_ptr<PlatformStore> store = kernel_->MakeStore();
  if (store == nullptr) {
    has_read_registry_ = true;
    return;
  }
  PlatformAgentOptions options;
  options.address = settings.listen;
  options.zone = settings.zone;
  options.role = membership_.self().role;
  platform_agent_ = PlatformAgent::Make(
      options, std::move(store), [this](std::vector<RegisteredMember> members) {
        asio::post(kernel_->io, [this, members = std::move(members)] {
          OnRegistryRead(members);
        });
      });
}

void Node::OnRegistryRead(const std::vector<RegisteredMember>& members) {
  has_read_registry_ = true;
  const Instant now = Clock::now();
  for (const RegisteredMember& member : members) {
    if (link_policy_ == LinkPolicy::kAllGuards) {
      membership_.AddSeed(member.address);
      network_->KeepLink(member.address);
    } else {
      membership_.AddRegistered(member.address, member.role, member.zone, now);
    }
  }
  if (link_policy_ == LinkPolicy::kChosenGuards) AddKnownGuards(now);
}

void Node::ApplyGuardSelection(Instant now) {
  if (link_policy_ != LinkPolicy::kChosenGuards) return;
  const std::vector<Address> wanted = guard_selector_.SelectGuards(now);
  for (const Address guard : wanted) network_->KeepLink(guard);
  const std::unordered_set<Address> kept(wanted.begin(), wanted.end());
  std::vector<std::pair<Address, Incarnation>> dropped;
  for (const auto& link : chosen_links_) {
    if (!kept.contains(link.first) && may_drop_(link.second)) {
      dropped.push_back(link);
    }
  }
  for (const auto& [guard, incarnation] : dropped) {
    Log(LogLevel::kInfo, "link_dropped",
        {{"peer", guard.ToString()},
         {"links", std::to_string(chosen_links_.size())},
         {"wanted", std::to_string(wanted.size())},
         {"known", std::to_string(guard_selector_.guard_count())}});
    chosen_links_.erase(guard);
    guard_selector_.OnLinkDown(guard, now);
    network_->DropLink(guard);
    handler_->OnLinkDown(guard, incarnation);
  }
}

bool Node::IsSkippedRound() const {
  return link_policy_ == LinkPolicy::kNone &&
         delivered_rounds_ >= kInitialGossipRounds &&
         round_ % kReducedGossipPeriod != 0;
}

// A process that starts while the registry is unavailable gets the members from
// its seeds and from entries that know its address. Until it has read the
// registry it requests them in rounds 1, 2, 4, 8 and so on.
bool Node::ShouldRequestMembers() const {
  if (link_policy_ == LinkPolicy::kAllGuards) return true;
  return link_policy_ == LinkPolicy::kChosenGuards && !has_read_registry_ &&
         std::has_single_bit(round_);
}

void Node::GossipRound(Instant now) {
  // Guards send gossip too rarely (see IsSkippedRound) to count as live by it
  // alone, so an open link to a guard also counts as a sign of life.
  for (const auto& [guard, incarnation] : chosen_links_) {
    membership_.OnMemberConnected(guard, now);
  }
  const bool changed = membership_.OnTimer(now);
  for (const Address address : membership_.TakeRemoved()) {
    network_->DropLink(address);
    guard_selector_.Remove(address);
    chosen_links_.erase(address);
  }
  ++round_;
  if (!IsSkippedRound()) {
    bool was_delivered = false;
    for (const SendGossip& send :
         membership_.OnGossipRound(now, ShouldRequestMembers())) {
      was_delivered = network_->Send(send.to, send.gossip) || was_delivered;
    }
    if (was_delivered) ++delivered_rounds_;
  }
  const bool waited =
      now - started_ >= kDiscoveryRounds * kernel_->settings.gossip_interval;
  const bool were_members_known = std::exchange(
      are_members_known_,
      are_members_known_ ||
          (waited && (has_read_registry_ || has_received_gossip_)));
  frames_sent_->Set(static_cast<double>(network_->sent_messages()));
  bytes_sent_->Set(static_cast<double>(network_->sent_bytes()));
  UpdateUnknownZones();
  peers_refused_->Set(static_cast<double>(network_->refused_sessions()));
  if (changed || were_members_known != are_members_known_) on_members_();
}

void Node::OnGossip(const Gossip& gossip, Gossip* reply) {
  has_received_gossip_ = true;
  bool changed = false;
  *reply = membership_.OnGossip(gossip, Clock::now(), &changed);
  if (changed) AddKnownGuards(Clock::now());
  on_members_();
}

void Node::AddKnownGuards(Instant now) {
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.record.role != Role::kGuard) continue;
    if (link_policy_ == LinkPolicy::kAllGuards) {
      network_->KeepLink(address);
    } else {
      guard_selector_.Add(address, peer.record.zone, now);
    }
  }
  ApplyGuardSelection(now);
}

ConfigOffer Node::MakeOffer(uint64_t version,
                            uint64_t evacuation_revision) const {
  ConfigOffer offer;
  if (version < configuration_.version()) {
    offer.version = configuration_.version();
    offer.document = configuration_.document();
  }
  if (evacuation_revision < evacuations_.revision()) {
    offer.evacuations = evacuations_;
  }
  return offer;
}

void Node::OnOffer(const ConfigOffer& offer) {
  OfferConfig(offer.version, offer.document);
  OfferEvacuations(offer.evacuations);
}

void Node::OfferEvacuations(const Evacuations& evacuations) {
  const Evacuations former = evacuations_;
  if (!evacuations_.AdoptIfNewer(evacuations)) return;
  membership_.SetEvacuationRevision(evacuations_.revision());
  evacuated_zones_->Set(static_cast<double>(evacuations_.zones().size()));
  UpdateUnknownZones();
  on_config_();
  // Guards tell their entries with reports. A mere rise of the revision spreads
  // with gossip.
  const bool is_news =
      !former.is_known() || evacuations_.zones() != former.zones();
  if (!is_news || membership_.self().role != Role::kEntry) return;
  for (const Address target : membership_.ChooseTargets(kConfigFanout)) {
    network_->Send(target, MakeOffer(configuration_.version()));
  }
}

// A zone that nobody knows may be misspelt, or its hosts may still join. Only
// entries know all members.
void Node::UpdateUnknownZones() {
  if (membership_.self().role != Role::kEntry) return;
  size_t unknown = 0;
  for (const std::string& zone : evacuations_.zones()) {
    const bool is_known =
        zone == kernel_->settings.zone ||
        std::any_of(
            membership_.peers().begin(), membership_.peers().end(),
            [&](const auto& item) { return item.second.record.zone == zone; });
    unknown += is_known ? 0 : 1;
  }
  const auto former = static_cast<size_t>(unknown_zones_->Value());
  if (unknown == former) return;
  unknown_zones_->Set(static_cast<double>(unknown));
  Log(LogLevel::kWarn, "evacuated_zones_unknown",
      {{"zones", evacuations_.ToText()},
       {"unknown", std::to_string(unknown)},
       {"members", std::to_string(membership_.peers().size())}});
}

void Node::OfferConfig(uint64_t version, const std::string& document) {
  if (!configuration_.ApplyIfNewer(version, document)) return;
  Log(LogLevel::kInfo, "configuration", {{"version", std::to_string(version)}});
  membership_.SetConfigVersion(version);
  config_version_->Set(static_cast<double>(version));
  on_config_();
  PublishConfig();
}

void Node::PublishConfig() {
  if (link_policy_ != LinkPolicy::kAllGuards) {
    // Announces only the version, since receivers may have the document
    // already. A receiver with an older version requests the document.
    for (const Address target : membership_.ChooseTargets(kConfigFanout)) {
      network_->Send(target, membership_.Announcement());
    }
    return;
  }
  for (const Address target : membership_.ChooseTargets()) {
    network_->Send(target, MakeOffer());
  }
  // Offers the document to every live entry at once: entries are few and use
  // the configuration to answer callers.
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.is_live && peer.record.role == Role::kEntry) {
      network_->Send(address, MakeOffer());
    }
  }
}

// Offers the configuration in force here to a sender with an older version. If
// the sender has a newer version, an entry replies with its own member record;
// the sender sees the older version in it and offers the newer configuration.
std::optional<Message> Node::ConfigReply(const Gossip& gossip, Instant now) {
  if (gossip.members.empty()) return std::nullopt;
  // The first record of a gossip message is that of its sender.
  const MemberRecord& sender = gossip.members.front();
  const ConfigOffer offer =
      MakeOffer(sender.config_version, sender.evacuation_revision);
  if (offer.version != 0 || offer.evacuations.is_known()) return offer;
  const bool is_older = sender.config_version > configuration_.version() ||
                        sender.evacuation_revision > evacuations_.revision();
  const bool requests_config =
      is_older && membership_.self().role == Role::kEntry &&
      now - config_requested_at_ >= kMinConfigRequestInterval;
  if (!requests_config) return std::nullopt;
  config_requested_at_ = now;
  return membership_.Announcement();
}

void Node::OnLinkUp(Address address, const Hello& hello) {
  membership_.OnNewIncarnation(address, hello.incarnation, Clock::now());
  Log(LogLevel::kInfo, "link_up", {{"peer", address.ToString()}});
  if (link_policy_ == LinkPolicy::kChosenGuards && hello.role == Role::kGuard) {
    chosen_links_[address] = hello.incarnation;
    guard_selector_.OnLinkUp(address, Clock::now());
  } else if (link_policy_ == LinkPolicy::kChosenGuards) {
    // The message that caused this link to be opened was not sent, as there was
    // no connection yet. The member record takes its place.
    network_->Send(address, membership_.Announcement());
  }
  handler_->OnLinkUp(address, hello);
}

void Node::OnLinkDown(Address address, Incarnation incarnation) {
  Log(LogLevel::kWarn, "link_down", {{"peer", address.ToString()}});
  chosen_links_.erase(address);
  guard_selector_.OnLinkDown(address, Clock::now());
  handler_->OnLinkDown(address, incarnation);
}

void Node::OnPeerGone(Address address, Incarnation incarnation) {
  Log(LogLevel::kWarn, "peer_gone", {{"peer", address.ToString()}});
  handler_->OnPeerGone(address, incarnation);
}

void Node::OnLinkMessage(Address address, Incarnation incarnation,
                         Message message) {
  if (const Gossip* gossip = std::get_if<Gossip>(&message)) {
    Gossip no_reply;
    OnGossip(*gossip, &no_reply);
    const auto config_reply = ConfigReply(*gossip, Clock::now());
    if (config_reply) network_->Send(address, *config_reply);
    return;
  }
  if (const ConfigOffer* offer = std::get_if<ConfigOffer>(&message)) {
    OnOffer(*offer);
    return;
  }
  handler_->OnLinkMessage(address, incarnation, std::move(message));
}

void Node::OnSessionUp(uint64_t session, const Hello& hello) {
  // An entry that started before the registry listed it gets the other members
  // this way: as a seed it receives gossip.
  if (link_policy_ != LinkPolicy::kAllGuards && hello.role == Role::kEntry) {
    membership_.AddSeed(hello.address);
  }
  handler_->OnSessionUp(session, hello);
}

void Node::OnSessionMessage(uint64_t session, const Hello& hello,
                            Message message) {
  if (const Gossip* gossip = std::get_if<Gossip>(&message)) {
    Gossip reply;
    OnGossip(*gossip, &reply);
    if (!reply.members.empty()) network_->SendToSession(session, reply);
    const auto config_reply = ConfigReply(*gossip, Clock::now());
    if (config_reply) network_->SendToSession(session, *config_reply);
    return;
  }
  if (const ConfigOffer* offer = std::get_if<ConfigOffer>(&message)) {
    OnOffer(*offer);
    return;
  }
  handler_->OnSessionMessage(session, hello, std::move(message));
}

void Node::OnSessionDown(uint64_t session, const Hello& hello) {
  handler_->OnSessionDown(session, hello);
}

}  // namespace qs
