#pragma once
/// \file
/// Limits the bodies that one thread holds, and lets long ones wait for room in order.
/// A ByteBudget only refuses; here what is given back goes to whoever has waited longest.

#include <algorithm>
#include <cstddef>
#include <list>
#include <memory>

namespace kumquat {

/// Copies share one limit, so that what is held may outlive the first of them.
class BodyRoom
{
public:
    /// What a body waits for.
    struct Claim
    {
        const std::size_t bytes;
        std::size_t missing; ///< of `bytes`
    };
    using ClaimPtr = std::shared_ptr<Claim>;

    explicit BodyRoom(std::size_t limit) : state_(std::make_shared<State>(limit)) { }

    std::size_t available() const { return state_->limit - state_->held; }
    /// The part of available() that a body of \p bytes may take: a long one leaves some to short
    /// ones, unless it could then never be held.
    std::size_t availableTo(std::size_t bytes) const
    {
        return available() - std::min(available(), reserveBeside(bytes));
    }
    bool isShort(std::size_t bytes) const { return bytes <= limit() / shortDivisor; }
    std::size_t limit() const { return state_->limit; }
    bool hasClaims() const { return !state_->claims.empty(); }

    /// A body that held \p before bytes holds \p after bytes now.
    void change(std::size_t before, std::size_t after)
    {
        state_->held += after - before;
        state_->shortHeld += (isShort(after) ? after : 0) - (isShort(before) ? before : 0);
        serveClaims();
    }

    /// Waits behind earlier claims for \p bytes of a long body.
    ClaimPtr claim(std::size_t bytes)
    {
        const auto claim = std::make_shared<Claim>(Claim { bytes, bytes });
        state_->claims.push_back(claim);
        serveClaims();
        return claim;
    }

    /// Ends the wait of \p claim and gives back what it got.
    void drop(const ClaimPtr &claim)
    {
        state_->claims.remove(claim);
        state_->held -= claim->bytes - claim->missing;
        serveClaims();
    }

    /// Makes what \p claim got the part of a body that held \p before bytes.
    void convert(const Claim &claim, std::size_t before)
    {
        state_->held -= claim.bytes;
        change(before, before + claim.bytes);
    }

private:
    struct State
    {
        explicit State(std::size_t bytes) : limit(bytes) { }
        const std::size_t limit;
        std::size_t held = 0;
        std::size_t shortHeld = 0; ///< by short bodies
        std::list<ClaimPtr> claims;
    };

    static constexpr std::size_t shortDivisor = 64;
    static constexpr std::size_t reserveDivisor = 8;

    std::size_t reserveBeside(std::size_t bytes) const
    {
        const std::size_t others = limit() - std::min(bytes, limit());
        const std::size_t reserve = std::min(limit() / reserveDivisor, others);
        // What short bodies hold of it need not be free.
        return isShort(bytes) ? 0 : reserve - std::min(reserve, state_->shortHeld);
    }

    void serveClaims()
    {
        while (hasClaims()) {
            Claim &first = *state_->claims.front();
            const std::size_t part = std::min(first.missing, availableTo(first.bytes));
            state_->held += part;
            first.missing -= part;
            if (first.missing > 0) {
                return;
            }
            state_->claims.pop_front();
        }
    }

    std::shared_ptr<State> state_;
};

/// The room that one body holds; given back when this object ends.
class HeldRoom
{
public:
    explicit HeldRoom(const BodyRoom &room) : room_(room) { }
    ~HeldRoom()
    {
        dropClaim();
        hold(0);
    }
    HeldRoom(const HeldRoom &) = delete;
    HeldRoom &operator=(const HeldRoom &) = delete;

    std::size_t held() const { return held_; }

    /// Holds \p bytes in all, unless it holds more already; false when there is no room.
    bool growTo(std::size_t bytes)
    {
        const std::size_t more = bytes - std::min(bytes, held_);
        if (more > room_.availableTo(bytes)) {
            return false;
        }
        hold(held_ + more);
        return true;
    }

    /// Gives back what is beyond \p bytes.
    void shrinkTo(std::size_t bytes) { hold(std::min(bytes, held_)); }

    /// True when growTo() may succeed later.
    bool mayWaitFor(std::size_t bytes) const { return bytes <= room_.limit(); }

    /// As growTo(), to be called until it succeeds. Long bodies wait in the order of their first
    /// calls.
    bool tryGrowTo(std::size_t bytes)
    {
        if (bytes <= held_ || !mayWaitFor(bytes) || room_.isShort(bytes)) {
            return growTo(bytes);
        }
        if (!claim_) {
            claim_ = room_.claim(bytes - held_);
        }
        if (claim_->missing > 0) {
            return false;
        }
        room_.convert(*claim_, held_);
        held_ += claim_->bytes;
        claim_.reset();
        return true;
    }

    /// Ends the wait; gives back what the body got while it waited.
    void dropClaim()
    {
        if (claim_) {
            room_.drop(claim_);
            claim_.reset();
        }
    }

private:
    void hold(std::size_t bytes)
    {
        room_.change(held_, bytes);
        held_ = bytes;
    }

    BodyRoom room_;
    std::size_t held_ = 0;
    BodyRoom::ClaimPtr claim_; ///< null unless the body waits for room
};

} // namespace kumquat
