#include "daemon/call_table.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>
#include <utility>

namespace qs {

CallTable::CallTable(asio::io_context* io, Millis lost_after)
    : io_(io), lost_after_(lost_after) {}

std::future<CallResult> CallTable::Begin(Address guard,
                                         std::optional<Incarnation> incarnation,
                                         uint64_t request, Message message,
                                         Millis timeout) {
  auto pending = std::make_shared<Pending>();
  pending->guard = guard;
  pending->incarnation = incarnation;
  pending->message = std::move(message);
  pending->give_up = Clock::now() + timeout;
  std::future<CallResult> result = pending->promise.get_future();
  asio::post(*io_,
             [this, request, pending] { Start(request, std::move(*pending)); });
  return result;
}

void CallTable::Start(uint64_t request, Pending pending) {
  const auto entry = pending_.emplace(request, std::move(pending)).first;
  Pending& call = entry->second;
  Incarnation current;
  if (!network_->IsUp(call.guard, &current)) {
    call.cut_off_at = Clock::now();
    network_->KeepLink(call.guard);
    return;
  }
  if (call.incarnation && *call.incarnation != current) {
    End(entry, {Reason::kHomeLost, {}});
    return;
  }
  network_->Send(call.guard, call.message);
}

CallTable::Table::iterator CallTable::End(Table::iterator entry,
                                          CallResult result) {
  entry->second.promise.set_value(std::move(result));
  return pending_.erase(entry);
}

void CallTable::OnLinkUp(Address guard, Incarnation incarnation) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& call = entry->second;
    if (call.guard != guard) {
      ++entry;
    } else if (call.incarnation && *call.incarnation != incarnation) {
      entry = End(entry, {Reason::kHomeLost, {}});
    } else {
      call.cut_off_at.reset();
      network_->Send(guard, call.message);
      ++entry;
    }
  }
}

void CallTable::OnPeerGone(Address guard, Incarnation incarnation) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const Pending& call = entry->second;
    const bool is_lost =
        call.guard == guard &&
        (!call.incarnation || *call.incarnation == incarnation);
    entry = is_lost ? End(entry, {Reason::kHomeLost, {}}) : std::next(entry);
  }
}

void CallTable::OnReply(uint64_t request, Message reply) {
  const auto entry = pending_.find(request);
  if (entry == pending_.end()) return;
  End(entry, {Reason::kNone, std::move(reply)});
}

void CallTable::OnTimer(Instant now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& call = entry->second;
    Incarnation current;
    if (network_->IsUp(call.guard, &current)) {
      call.cut_off_at.reset();
    } else if (!call.cut_off_at) {
      call.cut_off_at = now;
    }
    const bool is_cut_off =
        call.cut_off_at && now - *call.cut_off_at >= lost_after_;
    const bool is_over = is_cut_off || now >= call.give_up;
    entry =
        is_over ? End(entry, {Reason::kHomeUnreachable, {}}) : std::next(entry);
  }
}

}  // namespace qs
