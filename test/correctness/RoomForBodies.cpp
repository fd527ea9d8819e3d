// Room for bodies is given in order: long bodies are not starved by short ones, nor these by them.
#include "TestSupport.h"
#include "common/BodyRoom.h"

#include <deque>
#include <random>

using namespace kumquat;

namespace {

constexpr std::size_t limitBytes = 6'400;
constexpr std::size_t shortBytes = limitBytes / 64;

} // namespace

TEST_GROUP(RoomForBodies)
{
    BodyRoom room { limitBytes };
};

TEST(RoomForBodies, aLongBodyIsNotStarvedByShortOnes)
{
    std::deque<std::unique_ptr<HeldRoom>> shorts;
    const auto addShort = [&] {
        auto held = std::make_unique<HeldRoom>(room);
        if (held->tryGrowTo(shortBytes)) {
            shorts.push_back(std::move(held));
        }
    };
    for (std::size_t i = 0; i < limitBytes / shortBytes; ++i) {
        addShort();
    }
    HeldRoom large(room);
    CHECK_FALSE(large.tryGrowTo(limitBytes / 2));
    std::size_t rounds = 0;
    for (; !large.tryGrowTo(limitBytes / 2) && rounds < 1'000; ++rounds) {
        shorts.pop_front();
        addShort();
        addShort();
    }
    CHECK_TRUE(rounds < 100);
    LONGS_EQUAL(limitBytes / 2, large.held());
}

TEST(RoomForBodies, aShortBodyFindsRoomWhileALongOneWaits)
{
    auto running = std::make_unique<HeldRoom>(room);
    CHECK_TRUE(running->tryGrowTo(limitBytes / 2));
    HeldRoom waiting(room);
    CHECK_FALSE(waiting.tryGrowTo(limitBytes * 3 / 4));
    for (int i = 0; i < 1'000; ++i) {
        HeldRoom body(room);
        CHECK_TRUE(body.tryGrowTo(shortBytes));
    }
    CHECK_FALSE(waiting.tryGrowTo(limitBytes * 3 / 4));
    running.reset();
    CHECK_TRUE(waiting.tryGrowTo(limitBytes * 3 / 4));
}

TEST(RoomForBodies, aShortBodyFindsRoomBesideAsManyLongOnesAsFit)
{
    std::vector<std::unique_ptr<HeldRoom>> longs;
    for (int i = 0; i < 100; ++i) {
        longs.push_back(std::make_unique<HeldRoom>(room));
        (void)(i % 2 == 0 ? longs.back()->growTo(limitBytes / 4)
                          : longs.back()->tryGrowTo(limitBytes / 4));
        HeldRoom body(room);
        CHECK_TRUE(body.tryGrowTo(shortBytes));
    }
}

TEST(RoomForBodies, longBodiesAreServedInTheOrderOfTheirArrival)
{
    auto running = std::make_unique<HeldRoom>(room);
    CHECK_TRUE(running->tryGrowTo(limitBytes));
    auto first = std::make_unique<HeldRoom>(room);
    HeldRoom second(room);
    CHECK_FALSE(first->tryGrowTo(limitBytes));
    CHECK_FALSE(second.tryGrowTo(limitBytes / 4));
    running.reset();
    CHECK_FALSE(second.tryGrowTo(limitBytes / 4));
    CHECK_TRUE(first->tryGrowTo(limitBytes));
    CHECK_FALSE(second.tryGrowTo(limitBytes / 4));
    first.reset();
    CHECK_TRUE(second.tryGrowTo(limitBytes / 4));
}

TEST(RoomForBodies, aBodyThatStopsWaitingGivesBackWhatItGot)
{
    HeldRoom running(room);
    CHECK_TRUE(running.tryGrowTo(limitBytes / 2));
    {
        HeldRoom waiting(room);
        CHECK_FALSE(waiting.tryGrowTo(limitBytes));
        CHECK_TRUE(room.available() < limitBytes / 2);
        waiting.dropClaim();
        LONGS_EQUAL(limitBytes / 2, room.available());
        CHECK_FALSE(waiting.tryGrowTo(limitBytes));
    }
    LONGS_EQUAL(limitBytes / 2, room.available());
    CHECK_FALSE(room.hasClaims());
}

TEST(RoomForBodies, aBodyLongerThanTheBudgetHoldsNobodyUp)
{
    HeldRoom large(room);
    CHECK_FALSE(large.tryGrowTo(limitBytes + 1));
    CHECK_FALSE(room.hasClaims());
    LONGS_EQUAL(limitBytes, room.available());
}

// Any order of arrivals and ends stays within the room, serves whoever waits, and leaves nothing.
TEST(RoomForBodies, anyOrderEndsWithNothingHeld)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        struct Body
        {
            std::unique_ptr<HeldRoom> held;
            std::size_t bytes;
        };
        std::vector<Body> bodies;
        for (int step = 0; step < 400; ++step) {
            if (random() % 2 == 0) {
                const std::size_t bytes
                    = random() % 4 == 0 ? random() % (limitBytes + 1) : random() % shortBytes;
                bodies.push_back({ std::make_unique<HeldRoom>(room), bytes });
            } else if (!bodies.empty()) {
                const std::size_t index = random() % bodies.size();
                if (bodies[index].held->tryGrowTo(bodies[index].bytes)) {
                    bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(index));
                }
            }
            std::size_t sum = 0;
            for (const Body &body : bodies) {
                (void)body.held->tryGrowTo(body.bytes);
                sum += body.held->held();
            }
            CHECK_TRUE(sum <= limitBytes);
        }
        for (int round = 0; round < 400 && !bodies.empty(); ++round) {
            bodies.erase(
                std::remove_if(bodies.begin(), bodies.end(),
                               [](const Body &body) { return body.held->tryGrowTo(body.bytes); }),
                bodies.end());
        }
        LONGS_EQUAL(0, bodies.size());
        LONGS_EQUAL(limitBytes, room.available());
        CHECK_FALSE(room.hasClaims());
    }
}
