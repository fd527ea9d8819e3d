#include "coordination/entry/CurrentService.h"

namespace kumquat {

void CurrentService::refresh()
{
    if (!find_) {
        return;
    }
    Version present = find_();
    if (present) {
        version_ = std::move(present);
    } else if (!version_->targets.empty()) {
        const auto left = std::make_shared<ActiveService>(*version_);
        left->targets.clear();
        version_ = left;
    }
}

} // namespace kumquat
