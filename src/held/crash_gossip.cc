#include "held/crash_gossip.h"

#include <utility>

namespace qs {

void CrashGossip::Add(CrashNotice notice, Instant now) {
  if (notices_.size() >= options_.max_notices) notices_.pop_front();
  notices_.push_back({++last_number_, now, std::move(notice)});
}

void CrashGossip::Expire(Instant now) {
  while (!notices_.empty() &&
         now - notices_.front().added_at > options_.lifetime) {
    notices_.pop_front();
  }
}

CrashNotices CrashGossip::TakeDue(Address entry) {
  CrashNotices due;
  uint64_t& told = told_[entry];
  for (const Remembered& remembered : notices_) {
    if (remembered.number > told) due.notices.push_back(remembered.notice);
  }
  told = last_number_;
  return due;
}

}  // namespace qs
