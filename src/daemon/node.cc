#include "daemon/node.h"

#include <asio/post.hpp>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "daemon/platform_agent.h"
#include "kernel/kernel.h"

namespace qs {
namespace {

// Rounds of gossip after which the view of a new process counts as whole.
constexpr int kWarmRounds = 4;

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

MembershipOptions OptionsFrom(const Settings& settings) {
  MembershipOptions options;
  options.fanout = settings.gossip_fanout;
  options.suspect_after = settings.suspect_after;
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
      membership_(OptionsFrom(kernel->settings), SelfRecord(*kernel, role),
                  static_cast<uint32_t>(kernel->incarnation.value)),
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
    network_->KeepLink(seed);
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
      options, std::move(store), [this](std::vector<Address> members) {
        asio::post(kernel_->io, [this, members = std::move(members)] {
          read_platform_ = true;
          for (const Address member : members) {
            membership_.AddSeed(member);
            network_->KeepLink(member);
          }
        });
      });
}

void Node::GossipRound(Instant now) {
  const bool changed = membership_.OnTimer(now);
  for (const Address address : membership_.TakeForgotten()) {
    network_->DropLink(address);
  }
  for (const SendGossip& send : membership_.OnRound(now)) {
    network_->Send(send.to, send.gossip);
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
  if (changed) {
    for (const auto& [address, peer] : membership_.peers()) {
      if (KeepsLinkTo(peer.record)) network_->KeepLink(address);
    }
  }
  on_members_();
}

bool Node::KeepsLinkTo(const MemberRecord& record) const {
  if (mesh_ == Mesh::kAll) return true;
  return mesh_ == Mesh::kGuards && record.role == Role::kGuard;
}

bool Node::IsBehind(const Gossip& gossip) const {
  // A gossip's first record is that of its sender.
  return !gossip.members.empty() &&
         gossip.members.front().config_version < configuration_.version();
}

ConfigOffer Node::MakeOffer() const {
  return {configuration_.version(), configuration_.document()};
}

void Node::OfferConfig(uint64_t version, const std::string& document) {
  if (!configuration_.Offer(version, document)) return;
  Log(LogLevel::kInfo, "configuration", {{"version", std::to_string(version)}});
  membership_.SetConfigVersion(version);
  config_version_->Set(static_cast<double>(version));
  on_config_();
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

void Node::OnLinkUp(Address address, const Hello& hello) {
  membership_.OnIncarnation(address, hello.incarnation, Clock::now());
  Log(LogLevel::kInfo, "link_up", {{"peer", address.ToString()}});
  handler_->OnLinkUp(address, hello);
}

void Node::OnLinkDown(Address address, Incarnation incarnation) {
  Log(LogLevel::kWarn, "link_down", {{"peer", address.ToString()}});
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
    if (IsBehind(*gossip)) network_->Send(address, MakeOffer());
    return;
  }
  if (const ConfigOffer* offer = std::get_if<ConfigOffer>(&message)) {
    OfferConfig(offer->version, offer->document);
    return;
  }
  handler_->OnLinkMessage(address, incarnation, std::move(message));
}

void Node::OnSessionUp(uint64_t session, const Hello& hello) {
  handler_->OnSessionUp(session, hello);
}

void Node::OnSessionMessage(uint64_t session, const Hello& hello,
                            Message message) {
  if (const Gossip* gossip = std::get_if<Gossip>(&message)) {
    Gossip reply;
    OnGossip(*gossip, &reply);
    if (!reply.members.empty()) network_->SendToSession(session, reply);
    if (IsBehind(*gossip)) network_->SendToSession(session, MakeOffer());
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
