#pragma once
/// \file
/// Lets the address sanitizer follow an exception on the stack of a coroutine.
/// It doesn't know that stack, so the frames that the exception left would stay marked as ended.

namespace kumquat {

/// To be called where an exception was caught. Does nothing in a build without the sanitizer.
void forgetUnwoundFrames();

} // namespace kumquat
