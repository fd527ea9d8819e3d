#pragma once
/// \file
/// Defines a pointer to an immutable value that many threads read and few replace.
/// Readers never block; a replaced value is freed when no reader holds it any more.

#include <atomic>
#include <memory>
#include <mutex>
#include <urcu/urcu-memb.h>

namespace kumquat {

namespace internal {

/// Registers the calling thread with liburcu for as long as the thread lives.
struct RcuRegistration
{
    RcuRegistration() { urcu_memb_register_thread(); }
    ~RcuRegistration() { urcu_memb_unregister_thread(); }
    RcuRegistration(const RcuRegistration &) = delete;
    RcuRegistration &operator=(const RcuRegistration &) = delete;
};

inline void registerRcuThread()
{
    thread_local RcuRegistration registration;
    (void)registration;
}

} // namespace internal

template <typename T>
class RcuPointer
{
public:
    RcuPointer() : value_(new std::shared_ptr<const T>(std::make_shared<const T>())) { }
    ~RcuPointer() { delete value_.load(); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// The current value; the returned pointer keeps it alive, also while a coroutine is suspended.
    std::shared_ptr<const T> read() const
    {
        internal::registerRcuThread();
        urcu_memb_read_lock();
        std::shared_ptr<const T> copy = *value_.load(std::memory_order_acquire);
        urcu_memb_read_unlock();
        return copy;
    }

    /// Replaces the value; waits until no reader is inside read() with the old one.
    void publish(std::shared_ptr<const T> value)
    {
        internal::registerRcuThread();
        auto *next = new std::shared_ptr<const T>(std::move(value));
        const auto *previous = value_.exchange(next, std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete previous;
    }

private:
    std::atomic<std::shared_ptr<const T> *> value_;
};

} // namespace kumquat
