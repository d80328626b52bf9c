#include "held/cancel_ledger.h"

#include <algorithm>
#include <utility>

namespace qs {

uint64_t CancelLedger::Add(const std::string& id, CancelOrigin origin,
                           Instant now) {
  Cancel cancel{id, origin, now, false, false};
  if (const auto known = by_id_.find(id); known != by_id_.end()) {
    const auto former = cancels_.find(known->second);
    const bool tells_all = former->second.origin != CancelOrigin::kEntry;
    if (tells_all || origin == CancelOrigin::kEntry) return former->first;
    cancel.was_held = former->second.was_held;
    Remove(former);
  }
  if (cancels_.size() >= options_.max_cancels) Remove(cancels_.begin());
  const uint64_t number = ++last_number_;
  by_id_[id] = number;
  cancels_.emplace(number, std::move(cancel));
  return number;
}

void CancelLedger::Remove(std::map<uint64_t, Cancel>::iterator cancel) {
  by_id_.erase(cancel->second.id);
  cancels_.erase(cancel);
}

void CancelLedger::MarkHeld(const std::string& id) {
  const auto known = by_id_.find(id);
  if (known != by_id_.end()) cancels_.at(known->second).was_held = true;
}

bool CancelLedger::WasHeld(const std::string& id) const {
  const auto known = by_id_.find(id);
  return known != by_id_.end() && cancels_.at(known->second).was_held;
}

void CancelLedger::Expire(Instant now) {
  while (!cancels_.empty() &&
         now - cancels_.begin()->second.added_at > options_.max_age) {
    Remove(cancels_.begin());
  }
}

void CancelLedger::OnEntryUp(Address entry, Incarnation incarnation) {
  Entry& state = entries_[entry];
  state.is_gone = false;
  state.last_sent = Instant();
  if (state.incarnation == incarnation) return;
  state = Entry();
  state.incarnation = incarnation;
  state.tell_all_until = last_number_;
}

void CancelLedger::OnEntryGone(Address entry, Incarnation incarnation) {
  const auto found = entries_.find(entry);
  if (found == entries_.end() || found->second.incarnation != incarnation) {
    return;
  }
  found->second.is_gone = true;
}

void CancelLedger::OnConfirmed(Address entry, Incarnation incarnation,
                               uint64_t number) {
  const auto found = entries_.find(entry);
  if (found == entries_.end() || found->second.incarnation != incarnation) {
    return;
  }
  found->second.confirmed =
      std::max(found->second.confirmed, std::min(number, last_number_));
}

std::vector<JobCancels> CancelLedger::Greet(Address entry,
                                            Incarnation incarnation) {
  if (std::exchange(greeted_[entry], incarnation) == incarnation) return {};
  std::vector<JobCancels> messages;
  for (const auto& [number, cancel] : cancels_) {
    if (messages.empty() ||
        messages.back().ids.size() >= options_.max_ids_per_message) {
      messages.emplace_back();
    }
    messages.back().ids.push_back(cancel.id);
  }
  return messages;
}

JobCancels CancelLedger::MessageTo(Entry* entry) const {
  JobCancels message;
  message.number = last_number_;
  for (auto cancel = cancels_.upper_bound(entry->confirmed);
       cancel != cancels_.end(); ++cancel) {
    const bool is_told = cancel->second.origin != CancelOrigin::kEntry ||
                         cancel->first <= entry->tell_all_until;
    if (!is_told) continue;
    if (message.ids.size() >= options_.max_ids_per_message) break;
    message.ids.push_back(cancel->second.id);
    if (message.ids.size() == options_.max_ids_per_message) {
      message.number = cancel->first;
    }
  }
  // There is nothing to confirm.
  if (message.ids.empty()) entry->confirmed = last_number_;
  return message;
}

std::vector<std::pair<Address, JobCancels>> CancelLedger::TakeDue(
    const std::vector<Address>& entries, Instant now) {
  std::vector<std::pair<Address, JobCancels>> due;
  if (cancels_.empty()) return due;
  for (const Address address : entries) {
    const auto found = entries_.find(address);
    if (found == entries_.end()) {
      due.emplace_back(address, JobCancels());
      continue;
    }
    Entry& entry = found->second;
    if (entry.is_gone || entry.confirmed >= last_number_) continue;
    const Millis interval = entry.sent < last_number_
                                ? options_.news_interval
                                : options_.repeat_interval;
    if (now - entry.last_sent < interval) continue;
    JobCancels message = MessageTo(&entry);
    if (message.ids.empty()) continue;
    entry.sent = message.number;
    entry.last_sent = now;
    due.emplace_back(address, std::move(message));
  }
  AskRelays(entries, now, &due);
  return due;
}

void CancelLedger::AskRelays(const std::vector<Address>& entries, Instant now,
                             std::vector<std::pair<Address, JobCancels>>* due) {
  if (now - relays_asked_at_ < options_.repeat_interval) return;
  relays_asked_at_ = now;
  // The lowest number that an entry which may live has not confirmed.
  uint64_t confirmed = last_number_;
  for (const Address address : entries) {
    const auto found = entries_.find(address);
    if (found == entries_.end()) {
      confirmed = 0;
    } else if (!found->second.is_gone) {
      confirmed = std::min(confirmed, found->second.confirmed);
    }
  }
  std::vector<std::string> ids;
  uint64_t number = 0;
  for (auto cancel = cancels_.upper_bound(confirmed);
       cancel != cancels_.end() && ids.size() < options_.max_ids_per_message;
       ++cancel) {
    Cancel& open = cancel->second;
    if (open.origin != CancelOrigin::kCaller || open.is_passed_on) continue;
    if (now - open.added_at < options_.pass_on_after) break;
    open.is_passed_on = true;
    number = cancel->first;
    ids.push_back(open.id);
  }
  if (ids.empty()) return;
  size_t relays = 0;
  for (const Address address : entries) {
    const auto found = entries_.find(address);
    if (found == entries_.end() || found->second.is_gone) continue;
    if (found->second.confirmed < number) continue;
    due->emplace_back(address, JobCancels{number, ids, true});
    if (++relays == options_.relays) return;
  }
}

bool CancelLedger::IsConfirmed(uint64_t number,
                               const std::vector<Address>& entries) const {
  return std::all_of(entries.begin(), entries.end(), [&](Address address) {
    const auto found = entries_.find(address);
    return found != entries_.end() &&
           (found->second.is_gone || found->second.confirmed >= number);
  });
}

}  // namespace qs
