#pragma once
/// \file
/// Gathers the Asio and Beast headers and the short names that the library uses for them.
/// It is also the precompiled header, since these take most of a compilation.

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquat {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using ErrorCode = boost::system::error_code;
using TcpEndpoint = asio::ip::tcp::endpoint;
using UdpEndpoint = asio::ip::udp::endpoint;
using TcpSocket = asio::ip::tcp::socket;
using TcpStream = beast::tcp_stream;
using Yield = asio::yield_context;

} // namespace kumquat
