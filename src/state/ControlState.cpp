#include "state/ControlState.h"

#include "protocol/Codec.h"

#include <tuple>

namespace kumquat {

namespace {

struct SavedState
{
    ReplicatedConfiguration configuration;
    OnceRecords once;
    MSGPACK_DEFINE(configuration, once)
};

} // namespace

ControlResult ControlState::apply(const std::string &bytes)
{
    const auto command = unpack<ControlCommand>(bytes);
    KUMQUAT_ASSERT(command.ok(), "a committed command cannot be unpacked");
    ControlResult result;
    switch (command->type) {
    case CommandType::change:
        result.change = configuration_.apply(command->change);
        break;
    case CommandType::once:
        result.once = once_.apply(command->once, command->capacity,
                                  std::chrono::milliseconds(command->wallTimeMs));
        break;
    case CommandType::document:
        result.change
            = configuration_.applyDocument(command->document.version, command->document.text);
        break;
    case CommandType::expire:
        once_.expire(std::chrono::milliseconds(command->wallTimeMs));
        break;
    }
    return result;
}

std::string ControlState::save() const
{
    return pack(std::tie(configuration_, once_)); // an array of two, as SavedState is
}

absl::Status ControlState::restore(const std::string &data)
{
    if (data.empty()) {
        *this = ControlState();
        return absl::OkStatus();
    }
    auto saved = unpack<SavedState>(data);
    if (!saved.ok()) {
        return saved.status();
    }
    configuration_ = std::move(saved->configuration);
    once_ = std::move(saved->once);
    return absl::OkStatus();
}

} // namespace kumquat
