// Compiles Asio and Beast once for the whole library (see BOOST_ASIO_SEPARATE_COMPILATION).
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
