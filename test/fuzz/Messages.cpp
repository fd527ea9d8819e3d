// Fuzzes the readers of messages between the system's own processes, and of log files.
#include "coordination/consensus/PeerLinks.h"
#include "coordination/membership/Gossip.h"
#include "protocol/Codec.h"
#include "protocol/OnceMessages.h"
#include "state/RecordFile.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace kumquat;
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    (void)unpack<RaftBatch>(bytes);
    (void)unpack<OnceRequest>(bytes);
    const RecordFileContent content = readRecords(bytes);
    if (content.validBytes > size) {
        __builtin_trap();
    }
    TargetTable targets;
    GossipHooks hooks;
    hooks.send = [](const Address &, const std::string &) {};
    hooks.targetsChanged = [] {};
    hooks.leaseRenewed = [](const std::string &) {};
    hooks.healthReceived = [](const TargetHealth &) {};
    hooks.requestSuspected = [](const RequestSuspicion &) {};
    hooks.peerLivenessChanged = [](const std::string &, bool) {};
    GossipOptions options;
    options.name = "entry-1";
    options.address = { "127.0.0.1", 1 };
    options.peers = { { "127.0.0.1", 2 } };
    Gossip gossip(options, targets, hooks);
    gossip.receive(bytes, TimePoint(Seconds(1)));
    return 0;
}
