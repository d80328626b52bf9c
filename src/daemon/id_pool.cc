#include "daemon/id_pool.h"

#include <random>
#include <utility>

#include "daemon/call_table.h"

namespace qs {
namespace {

constexpr Millis kMintTimeout{2000};
constexpr size_t kGuardsToTry = 3;

std::minstd_rand& ThreadRandom() {
  thread_local std::minstd_rand random{std::random_device{}()};
  return random;
}

}  // namespace

IdPool::IdPool(CallTable* calls, const RcuCell<GuardView>* view,
               uint32_t block_size)
    : calls_(calls), view_(view), block_size_(block_size) {}

Result<MintedId> IdPool::Take() {
  const auto [guards, are_members_known] =
      view_->Read([](const GuardView& view) {
        return std::pair(view.ChooseHomes(kGuardsToTry, &ThreadRandom()),
                         view.are_members_known);
      });
  for (const GuardView::Guard& guard : guards) {
    Result<MintedId> id = TakeFrom(guard);
    if (id) return id;
  }
  const bool is_warming_up = guards.empty() && !are_members_known;
  return tl::unexpected(make_error_code(
      is_warming_up ? Reason::kWarmingUp : Reason::kNoGuardAvailable));
}

Result<MintedId> IdPool::TakeFrom(const GuardView::Guard& guard) {
  MintedId id;
  if (TakeCached(guard, Clock::now(), &id)) return id;
  return Refill(guard);
}

bool IdPool::TakeCached(const GuardView::Guard& guard, Instant now,
                        MintedId* out) {
  const std::lock_guard lock(mutex_);
  const auto found = blocks_.find(guard.incarnation);
  if (found == blocks_.end()) return false;
  Block& block = found->second;
  if (block.next >= block.end || now >= block.expires) return false;
  *out = {{guard.address, guard.incarnation, block.next++}, block.lifetime};
  return true;
}

Result<MintedId> IdPool::Refill(const GuardView::Guard& guard) {
  const Instant requested_at = Clock::now();
  const uint64_t request = calls_->NextRequest();
  const CallResult result =
      calls_->Call(guard.address, guard.incarnation, request,
                   MintRequest{request, block_size_}, kMintTimeout);
  const auto* reply = std::get_if<MintReply>(&result.reply);
  const bool minted =
      result.fault == Reason::kNone && reply != nullptr && reply->count > 0;
  if (!minted) {
    return tl::unexpected(make_error_code(Reason::kNoGuardAvailable));
  }
  // An id is given out only in the first half of its lifetime at the guard, so
  // that the caller can use it for at least the other half.
  const Millis lifetime = reply->lifetime / 2;
  const std::lock_guard lock(mutex_);
  Block& block = blocks_[guard.incarnation];
  block = {reply->first + 1, reply->first + reply->count, lifetime,
           requested_at + lifetime};
  std::erase_if(blocks_, [&](const auto& entry) {
    return entry.second.expires <= requested_at;
  });
  return MintedId{{guard.address, guard.incarnation, reply->first}, lifetime};
}

}  // namespace qs
