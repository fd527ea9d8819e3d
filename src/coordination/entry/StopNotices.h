#pragma once
/// \file
/// Tells the unfinished requests of one worker that a planned stop is about to end the process.
/// Each then gives its caller a response; responses that wait behind it on its connection follow.

#include <functional>
#include <list>
#include <memory>

namespace kumquat {

/// Not thread-safe.
class StopNotices
{
    using Functions = std::list<std::function<void()>>;

public:
    /// Unsubscribes at its end. May outlive the StopNotices.
    class Subscription
    {
    public:
        Subscription(std::shared_ptr<Functions> functions, std::function<void()> onEnd)
            : functions_(std::move(functions)),
              position_(functions_->insert(functions_->end(), std::move(onEnd)))
        {
        }
        ~Subscription() { functions_->erase(position_); }
        Subscription(const Subscription &) = delete;
        Subscription &operator=(const Subscription &) = delete;

    private:
        std::shared_ptr<Functions> functions_;
        Functions::iterator position_;
    };

    /// Calls \p onEnd when the time of unfinished requests is over; it must not unsubscribe any.
    Subscription subscribe(std::function<void()> onEnd)
    {
        return Subscription(functions_, std::move(onEnd));
    }

    void notify() const
    {
        for (const auto &onEnd : *functions_) {
            onEnd();
        }
    }

private:
    std::shared_ptr<Functions> functions_ = std::make_shared<Functions>();
};

} // namespace kumquat
