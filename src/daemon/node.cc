#include "daemon/node.h"

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

// Rounds of gossip after which the view of a new process counts as whole.
constexpr int kWarmRounds = 4;
// Rounds in which a guard of chosen links tells of itself, and then one in so
// many, as nothing but its address is learned from it.
constexpr uint64_t kJoinRounds = 4;
constexpr uint64_t kQuietRounds = 15;
// Several peers may have told of a version at the same moment.
constexpr Millis kConfigAskPause{100};
// Entries that are told at once of a new version; each tells so many others.
constexpr uint32_t kConfigTargets = 4;

MemberRecord SelfRecord(const Kernel& kernel, Role role) {
  MemberRecord record;
  record.address = kernel.settings.listen;
  record.incarnation = kernel.incarnation;
  // Above the versions of earlier runs unless the wall clock went back; then
  // Membership outranks them as soon as it hears of one.
  record.version = static_cast<uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  record.role = role;
  record.zone = kernel.settings.zone;
  record.worker_kind = kernel.settings.worker_kind;
  return record;
}

MembershipOptions OptionsFrom(const Settings& settings, Mesh mesh) {
  MembershipOptions options;
  options.fanout = settings.gossip_fanout;
  options.max_records = settings.gossip_records;
  options.suspect_after = settings.suspect_after;
  options.gossip_to_entries_only = mesh != Mesh::kGuards;
  return options;
}

GuardSelectorOptions ChoiceFrom(const Settings& settings) {
  GuardSelectorOptions options;
  options.links = settings.guard_links;
  return options;
}

}  // namespace

Result<std::unique_ptr<Node>> Node::Make(Kernel* kernel, Role role, Mesh mesh,
                                         PeerHandler* handler,
                                         std::function<void()> on_members,
                                         std::function<void()> on_config) {
  std::unique_ptr<Node> node(new Node(kernel, role, mesh, handler,
                                      std::move(on_members),
                                      std::move(on_config)));
  const Hello self{kernel->incarnation, kernel->settings.listen, role};
  auto network = PeerNetwork::Make(&kernel->io, self, node.get());
  if (!network) return tl::unexpected(network.error());
  node->network_ = std::move(*network);
  node->AddSeeds(kernel->settings.seeds);
  kernel->timers.Subscribe(
      kernel->settings.gossip_interval,
      [raw = node.get()](Instant now) { raw->GossipRound(now); });
  node->StartPlatformAgent();
  return node;
}

Node::Node(Kernel* kernel, Role role, Mesh mesh, PeerHandler* handler,
           std::function<void()> on_members, std::function<void()> on_config)
    : kernel_(kernel),
      mesh_(mesh),
      handler_(handler),
      on_members_(std::move(on_members)),
      on_config_(std::move(on_config)),
      membership_(OptionsFrom(kernel->settings, mesh),
                  SelfRecord(*kernel, role),
                  static_cast<uint32_t>(kernel->incarnation.value)),
      guard_choice_(ChoiceFrom(kernel->settings), kernel->settings.listen,
                    kernel->settings.zone),
      started_(Clock::now()),
      frames_sent_(&kernel->metrics.gauge("quetzalspindle_frames_sent",
                                          "Frames sent to other processes.")),
      bytes_sent_(
          &kernel->metrics.gauge("quetzalspindle_frame_bytes_sent",
                                 "Bytes of frames sent to other processes.")),
      config_version_(&kernel->metrics.gauge(
          "quetzalspindle_config_version",
          "Version of the configuration in force; 0 when none is known.")) {}

Node::~Node() { Close(); }

void Node::Close() {
  platform_agent_.reset();
  if (network_) network_->Close();
}

void Node::AddSeeds(const std::vector<Address>& seeds) {
  for (const Address seed : seeds) {
    membership_.AddSeed(seed);
    if (mesh_ == Mesh::kGuards) network_->KeepLink(seed);
  }
}

void Node::StartPlatformAgent() {
  const Settings& settings = kernel_->settings;
  std::unique_ptr<PlatformStore> store = kernel_->MakeStore();
  if (store == nullptr) {
    read_platform_ = true;
    return;
  }
  PlatformAgentOptions options;
  options.address = settings.listen;
  options.zone = settings.zone;
  options.role = membership_.self().role;
  platform_agent_ = PlatformAgent::Make(
      options, std::move(store), [this](std::vector<RegisteredMember> members) {
        asio::post(kernel_->io, [this, members = std::move(members)] {
          OnMembersRead(members);
        });
      });
}

void Node::OnMembersRead(const std::vector<RegisteredMember>& members) {
  read_platform_ = true;
  const Instant now = Clock::now();
  for (const RegisteredMember& member : members) {
    if (mesh_ == Mesh::kGuards) {
      membership_.AddSeed(member.address);
      network_->KeepLink(member.address);
    } else {
      membership_.AddRegistered(member.address, member.role, member.zone, now);
    }
  }
  if (mesh_ == Mesh::kChosen) LearnMembers(now);
}

void Node::ApplyChoice(Instant now) {
  if (mesh_ != Mesh::kChosen) return;
  const std::vector<Address> wanted = guard_choice_.SelectGuards(now);
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
         {"known", std::to_string(guard_choice_.guard_count())}});
    chosen_links_.erase(guard);
    guard_choice_.OnLinkDown(guard, now);
    network_->DropLink(guard);
    handler_->OnLinkDown(guard, incarnation);
  }
}

bool Node::IsQuietRound() const {
  return mesh_ == Mesh::kNone && told_rounds_ >= kJoinRounds &&
         round_ % kQuietRounds != 0;
}

// A process that starts while the registry is away has its seeds, and entries
// that know its address, to learn from.
bool Node::WantsMembers() const {
  if (mesh_ == Mesh::kGuards) return true;
  return mesh_ == Mesh::kChosen && !read_platform_ &&
         std::has_single_bit(round_);
}

void Node::GossipRound(Instant now) {
  // Guards tell of themselves so seldom that news of them may not come in time.
  for (const auto& [guard, incarnation] : chosen_links_) {
    membership_.OnMemberConnected(guard, now);
  }
  const bool changed = membership_.OnTimer(now);
  for (const Address address : membership_.TakeRemoved()) {
    network_->DropLink(address);
    guard_choice_.Remove(address);
    chosen_links_.erase(address);
  }
  ++round_;
  if (!IsQuietRound()) {
    bool was_told = false;
    for (const SendGossip& send :
         membership_.OnGossipRound(now, WantsMembers())) {
      was_told = network_->Send(send.to, send.gossip) || was_told;
    }
    if (was_told) ++told_rounds_;
  }
  const bool waited =
      now - started_ >= kWarmRounds * kernel_->settings.gossip_interval;
  const bool was_warm = std::exchange(
      is_warm_, is_warm_ || (waited && (read_platform_ || heard_peer_)));
  frames_sent_->Set(static_cast<double>(network_->sent_messages()));
  bytes_sent_->Set(static_cast<double>(network_->sent_bytes()));
  if (changed || was_warm != is_warm_) on_members_();
}

void Node::OnGossip(const Gossip& gossip, Gossip* reply) {
  heard_peer_ = true;
  bool changed = false;
  *reply = membership_.OnGossip(gossip, Clock::now(), &changed);
  if (changed) LearnMembers(Clock::now());
  on_members_();
}

void Node::LearnMembers(Instant now) {
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.record.role != Role::kGuard) continue;
    if (mesh_ == Mesh::kGuards) {
      network_->KeepLink(address);
    } else {
      guard_choice_.Add(address, peer.record.zone, now);
    }
  }
  ApplyChoice(now);
}

ConfigOffer Node::MakeOffer() const {
  return {configuration_.version(), configuration_.document()};
}

void Node::OfferConfig(uint64_t version, const std::string& document) {
  if (!configuration_.ApplyIfNewer(version, document)) return;
  Log(LogLevel::kInfo, "configuration", {{"version", std::to_string(version)}});
  membership_.SetConfigVersion(version);
  config_version_->Set(static_cast<double>(version));
  on_config_();
  TellConfig();
}

void Node::TellConfig() {
  if (mesh_ != Mesh::kGuards) {
    // Those who have it as well hear no more than its version.
    for (const Address target : membership_.ChooseTargets(kConfigTargets)) {
      network_->Send(target, membership_.Announcement());
    }
    return;
  }
  for (const Address target : membership_.ChooseTargets()) {
    network_->Send(target, MakeOffer());
  }
  // Entries are few and answer callers by it, so each is told at once.
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.is_live && peer.record.role == Role::kEntry) {
      network_->Send(address, MakeOffer());
    }
  }
}

// A sender that lacks the version in force here is offered it; one that has a
// newer version, and learns from the answer that this process is behind, offers
// its own.
std::optional<Message> Node::ConfigAnswer(const Gossip& gossip, Instant now) {
  if (gossip.members.empty()) return std::nullopt;
  // A gossip's first record is that of its sender.
  const uint64_t version = gossip.members.front().config_version;
  if (version < configuration_.version()) return MakeOffer();
  const bool asks = version > configuration_.version() &&
                    membership_.self().role == Role::kEntry &&
                    now - config_asked_ >= kConfigAskPause;
  if (!asks) return std::nullopt;
  config_asked_ = now;
  return membership_.Announcement();
}

void Node::OnLinkUp(Address address, const Hello& hello) {
  membership_.OnNewIncarnation(address, hello.incarnation, Clock::now());
  Log(LogLevel::kInfo, "link_up", {{"peer", address.ToString()}});
  if (mesh_ == Mesh::kChosen && hello.role == Role::kGuard) {
    chosen_links_[address] = hello.incarnation;
    guard_choice_.OnLinkUp(address, Clock::now());
  } else if (mesh_ == Mesh::kChosen) {
    // In place of the message for which the link was opened.
    network_->Send(address, membership_.Announcement());
  }
  handler_->OnLinkUp(address, hello);
}

void Node::OnLinkDown(Address address, Incarnation incarnation) {
  Log(LogLevel::kWarn, "link_down", {{"peer", address.ToString()}});
  chosen_links_.erase(address);
  guard_choice_.OnLinkDown(address, Clock::now());
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
    const auto answer = ConfigAnswer(*gossip, Clock::now());
    if (answer) network_->Send(address, *answer);
    return;
  }
  if (const ConfigOffer* offer = std::get_if<ConfigOffer>(&message)) {
    OfferConfig(offer->version, offer->document);
    return;
  }
  handler_->OnLinkMessage(address, incarnation, std::move(message));
}

void Node::OnSessionUp(uint64_t session, const Hello& hello) {
  // Whoever starts before the registry knows it learns of the others so.
  if (mesh_ != Mesh::kGuards && hello.role == Role::kEntry) {
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
    const auto answer = ConfigAnswer(*gossip, Clock::now());
    if (answer) network_->SendToSession(session, *answer);
    return;
  }
  if (const ConfigOffer* offer = std::get_if<ConfigOffer>(&message)) {
    OfferConfig(offer->version, offer->document);
    return;
  }
  handler_->OnSessionMessage(session, hello, std::move(message));
}

void Node::OnSessionDown(uint64_t session, const Hello& hello) {
  handler_->OnSessionDown(session, hello);
}

}  // namespace qs
