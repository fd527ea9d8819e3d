#pragma once
/// \file
/// Defines a request whose body is shared by all attempts to send it.
/// The body's part of a memory budget is given back when the last of them has ended.

#include "common/BodyRoom.h"
#include "transport/HttpServer.h"

namespace kumquat {

struct SharedRequest
{
    /// Takes the body of \p request, for which \p held holds room; null when nothing is held.
    SharedRequest(HttpRequest request, std::shared_ptr<HeldRoom> held = nullptr)
        : header(std::move(request.base()))
    {
        struct HeldBody
        {
            std::shared_ptr<HeldRoom> held; // outlives the text
            const std::string text;
        };
        const auto whole
            = std::make_shared<HeldBody>(HeldBody { std::move(held), std::move(request.body()) });
        body = std::shared_ptr<const std::string>(whole, &whole->text);
    }

    http::request_header<> header; ///< with the length of the body
    std::shared_ptr<const std::string> body; ///< never null
};

} // namespace kumquat
