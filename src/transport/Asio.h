#pragma once
/// \file
/// Includes the Asio and Beast headers and defines short names for their types.
/// It is also the precompiled header, since these headers take most of the compile time.

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

// Concrete executor types: the type-erased default takes a quarter of the time of a request.
using LoopExecutor = asio::io_context::executor_type;
using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, LoopExecutor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, LoopExecutor>;
using UdpSocket = asio::basic_datagram_socket<asio::ip::udp, LoopExecutor>;
using TcpStream = beast::basic_stream<asio::ip::tcp, LoopExecutor>;
using Timer
    = asio::basic_waitable_timer<std::chrono::steady_clock,
                                 asio::wait_traits<std::chrono::steady_clock>, LoopExecutor>;
using Yield = asio::basic_yield_context<asio::executor_binder<void (*)(), LoopExecutor>>;

} // namespace kumquat
