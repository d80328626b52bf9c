#pragma once

#include <mutex>
#include <unordered_map>

#include "base/rcu_cell.h"
#include "daemon/guard_view.h"
#include "quetzalspindle/ids.h"

namespace qs {

class CallTable;

// A submission id and the time for which a caller can submit a job under it.
struct MintedId {
  SubmissionId id;
  Millis lifetime{0};
};

// A pool of submission ids that guards mint in blocks, so that most requests
// get an id without a message to a guard. Safe from any thread.
class IdPool {
 public:
  // Both must outlive the pool.
  IdPool(CallTable* calls, const RcuCell<GuardView>* view, uint32_t block_size);

  // Returns an id that a live guard minted. Fails with kNoGuardAvailable or
  // kWarmingUp.
  Result<MintedId> Take();

 private:
  struct Block {
    uint64_t next = 0;
    uint64_t end = 0;
    Millis lifetime{0};
    Instant expires;  // Well before the guard retires the ids.
  };

  Result<MintedId> TakeFrom(const GuardView::Guard& guard);
  bool TakeCached(const GuardView::Guard& guard, Instant now, MintedId* out);
  Result<MintedId> Refill(const GuardView::Guard& guard);

  CallTable* calls_;
  const RcuCell<GuardView>* view_;
  uint32_t block_size_;
  std::mutex mutex_;
  std::unordered_map<Incarnation, Block> blocks_;
};

}  // namespace qs
