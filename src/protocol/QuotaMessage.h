#pragma once
/// \file
/// Defines the messages by which entries ask the owner of an organisation's quota for tokens.
/// They share a socket with LoadReportMessage, whose first member is an array; here it is a number,
/// so that neither kind of message can be read as the other.

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

enum class QuotaMessageKind : std::uint8_t {
    ask = 1,
    answer = 2,
};

/// The kind of a message of this file; empty for any other payload, which is not read as a whole.
inline std::optional<QuotaMessageKind> quotaMessageKind(const std::string &payload)
{
    constexpr unsigned typeBits = 0xf0;
    constexpr unsigned shortArray = 0x90;
    const auto byte = [&payload](std::size_t i) { return static_cast<unsigned char>(payload[i]); };
    if (payload.size() < 2 || (byte(0) & typeBits) != shortArray) {
        return std::nullopt;
    }
    for (const QuotaMessageKind kind : { QuotaMessageKind::ask, QuotaMessageKind::answer }) {
        if (byte(1) == static_cast<unsigned char>(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

/// The asking entry's state of one organisation. With `wanted` 0 it only keeps the contact.
struct QuotaAsk
{
    std::uint64_t organisation = 0; ///< a hash of its name
    std::uint32_t wanted = 0; ///< tokens
    std::uint32_t returned = 0; ///< tokens that were granted and not used
    std::uint64_t usedOfShare = 0; ///< tokens used without the owner since the entry started
    std::uint32_t answerAgeMs = 0; ///< since the owner's last answer
    MSGPACK_DEFINE(organisation, wanted, returned, usedOfShare, answerAgeMs)
};

struct QuotaAskMessage
{
    std::uint8_t kind = static_cast<std::uint8_t>(QuotaMessageKind::ask);
    std::string from; ///< the report address of the asking entry
    std::uint64_t number = 0; ///< of the question; a repeated question keeps its number
    std::vector<QuotaAsk> asks;
    MSGPACK_DEFINE(kind, from, number, asks)
};

struct QuotaGrant
{
    std::uint64_t organisation = 0;
    bool isOwner = false; ///< false: the entry that answers does not own this quota
    std::uint32_t granted = 0; ///< tokens
    std::uint32_t retryAfterMs = 0; ///< until there is room, when fewer were granted than wanted
    MSGPACK_DEFINE(organisation, isOwner, granted, retryAfterMs)
};

struct QuotaAnswerMessage
{
    std::uint8_t kind = static_cast<std::uint8_t>(QuotaMessageKind::answer);
    std::string from;
    std::uint64_t number = 0; ///< of the question
    std::vector<QuotaGrant> grants;
    MSGPACK_DEFINE(kind, from, number, grants)
};

} // namespace kumquat
