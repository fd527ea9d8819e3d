#pragma once
/// \file
/// The service of a request, whose configuration and targets may change while the request lasts.
/// What the request decides after a wait, it decides by the version that is in force then.

#include "coordination/entry/ServiceRuntime.h"

#include <functional>

namespace kumquat {

class CurrentService
{
public:
    using Version = std::shared_ptr<const ActiveService>;
    /// Returns the version in force; null when the configuration no longer has the service.
    using Find = std::function<Version()>;

    /// Without \p find the version never changes.
    template <typename Service>
    CurrentService(std::shared_ptr<Service> version, Find find = {})
        : version_(std::move(version)), find_(std::move(find))
    {
    }

    const ActiveService &operator*() const { return *version_; }
    const ActiveService *operator->() const { return version_.get(); }
    const Version &version() const { return version_; }

    bool isConfigured() const { return !find_ || find_() != nullptr; }

    /// Takes the version in force. A service that has left the configuration keeps its counters and
    /// has no targets any more: nobody says whether they may still get requests.
    void refresh();

private:
    Version version_;
    Find find_;
};

} // namespace kumquat
