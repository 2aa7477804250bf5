#ifndef VANILLATILLER_SOURCE_NODE_RCU_POINTER_H_
#define VANILLATILLER_SOURCE_NODE_RCU_POINTER_H_

#include <memory>
#include <utility>

#define _LGPL_SOURCE
#include <urcu/urcu-memb.h>

namespace vanillatiller {

// Registers the calling thread with liburcu on first use and unregisters it
// when the thread exits.
class RcuThreadRegistration {
 public:
  static void Register() {
    thread_local const RcuThreadRegistration registration;
  }

  RcuThreadRegistration(const RcuThreadRegistration&) = delete;
  RcuThreadRegistration& operator=(const RcuThreadRegistration&) = delete;

 private:
  RcuThreadRegistration() { urcu_memb_register_thread(); }
  ~RcuThreadRegistration() { urcu_memb_unregister_thread(); }
};

// Pointer to an immutable value that is read without a lock and replaced as a
// whole. Readers get shared ownership and may block while they hold a
// snapshot. Callers must serialize writers.
template <typename T>
class RcuPointer {
 public:
  RcuPointer() = default;
  ~RcuPointer() { delete m_holder; }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  // Returns the current value; nullptr before the first Set.
  std::shared_ptr<const T> Get() const {
    RcuThreadRegistration::Register();
    urcu_memb_read_lock();
    const Holder* holder = rcu_dereference(m_holder);
    std::shared_ptr<const T> value = holder ? holder->value : nullptr;
    urcu_memb_read_unlock();
    return value;
  }

  // Replaces the value, waits for a grace period and frees the old holder.
  void Set(std::shared_ptr<const T> value) {
    RcuThreadRegistration::Register();
    auto* replacement = new Holder{std::move(value)};
    Holder* old = rcu_xchg_pointer(&m_holder, replacement);
    urcu_memb_synchronize_rcu();
    delete old;
  }

 private:
  struct Holder {
    std::shared_ptr<const T> value;
  };

  Holder* m_holder = nullptr;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_NODE_RCU_POINTER_H_
