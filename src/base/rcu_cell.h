#pragma once

#include <urcu/urcu-bp.h>

#include <memory>
#include <utility>

namespace qs {

// Holds an immutable value that any number of threads read without blocking and
// one thread at a time replaces (read-copy-update).
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<const T> value)
      : value_(const_cast<T*>(value.release())) {}
  ~RcuCell() { delete value_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Calls `read` with the current value, which remains valid until `read`
  // returns. `read` must not block and must not call Replace.
  template <typename Fn>
  auto Read(Fn read) const {
    const ReadLock lock;
    const T& value = *rcu_dereference(value_);
    return read(value);
  }

  // Publishes a new value, waits until no reader uses the old one and deletes
  // it. Must not be called by two threads at the same time.
  void Replace(std::unique_ptr<const T> value) {
    T* old = rcu_xchg_pointer(&value_, const_cast<T*>(value.release()));
    urcu_bp_synchronize_rcu();
    delete old;
  }

 private:
  struct ReadLock {
    ReadLock() { urcu_bp_read_lock(); }
    ~ReadLock() { urcu_bp_read_unlock(); }
    ReadLock(const ReadLock&) = delete;
    ReadLock& operator=(const ReadLock&) = delete;
  };

  T* value_;  // Never modified through; not const because of urcu's macros.
};

}  // namespace qs
