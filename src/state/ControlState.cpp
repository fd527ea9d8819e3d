#include "state/ControlState.h"

#include "protocol/Codec.h"

#include <tuple>

namespace kumquat {

namespace {

struct SavedState
{
    ReplicatedConfiguration configuration;
    OnceRecords once;
    Evacuations evacuations; ///< missing in snapshots of earlier versions
    MSGPACK_DEFINE(configuration, once, evacuations)
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
    case CommandType::evacuation:
        result.evacuation = evacuations_.apply(command->evacuation);
        break;
    }
    return result;
}

std::string ControlState::save() const
{
    return pack(std::tie(configuration_, once_, evacuations_)); // an array, as SavedState is
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
    evacuations_ = std::move(saved->evacuations);
    return absl::OkStatus();
}

} // namespace kumquat
