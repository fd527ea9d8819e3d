// Keeps AddressSanitizer from false reports after an exception has unwound a coroutine's stack. It
// doesn't know that stack, so it leaves the marks of unwound frames there, and destructors that run
// in the same unwinding get reports where their frames lie on these marks. This wrapper of the C++
// personality routine takes the marks back below each frame that is about to run.
#include <cstdint>
#include <dlfcn.h>
#include <sanitizer/asan_interface.h>
#include <unwind.h>

using Personality = _Unwind_Reason_Code (*)(int, _Unwind_Action, std::uint64_t, _Unwind_Exception *,
                                            _Unwind_Context *);

// NOLINTNEXTLINE(bugprone-reserved-identifier): the name of the routine that is wrapped.
extern "C" __attribute__((no_sanitize("address", "undefined"))) _Unwind_Reason_Code
__gxx_personality_v0(int version, _Unwind_Action actions, std::uint64_t exceptionClass,
                     _Unwind_Exception *exception, _Unwind_Context *context)
{
    static const auto wrapped
        = reinterpret_cast<Personality>(dlsym(RTLD_NEXT, "__gxx_personality_v0"));
    const _Unwind_Reason_Code result
        = wrapped(version, actions, exceptionClass, exception, context);
    const auto *unwinder = static_cast<const char *>(__builtin_frame_address(0));
    const auto *frame = reinterpret_cast<const char *>(_Unwind_GetCFA(context));
    if (result == _URC_INSTALL_CONTEXT && unwinder < frame) {
        ASAN_UNPOISON_MEMORY_REGION(unwinder, static_cast<std::size_t>(frame - unwinder));
    }
    return result;
}
