#include "common/UnwoundStack.h"

#include <cstddef>

#if __has_include(<sanitizer/asan_interface.h>)
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(address, bytes) ((void)(address), (void)(bytes))
#endif

namespace kumquat {

namespace {

/// Below the frame that catches; a quarter of a coroutine's stack.
constexpr std::size_t unwoundBytes = 32 * 1024;
/// Of forgetUnwoundFrames() itself, at least.
constexpr std::size_t ownFrameBytes = 64;

} // namespace

__attribute__((noinline)) void forgetUnwoundFrames()
{
    const char *frame = static_cast<const char *>(__builtin_frame_address(0));
    ASAN_UNPOISON_MEMORY_REGION(frame - unwoundBytes, unwoundBytes + ownFrameBytes);
}

} // namespace kumquat
