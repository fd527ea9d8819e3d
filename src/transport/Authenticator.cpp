#include "transport/Authenticator.h"

#include "kumquat/Error.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace kumquat {

namespace {

absl::Status notAuthentic(const char *what)
{
    return makeError(ErrorKind::notAuthentic, what,
                     "give every process the same cluster key file and keep their clocks within "
                     "30 seconds of one another");
}

} // namespace

Authenticator::Authenticator(std::string key, WallNowFunction wallNow)
    : key_(std::move(key)), wallNow_(std::move(wallNow)), random_(randomSeed())
{
}

std::string Authenticator::digest(const std::string &prefix, const std::string &message) const
{
    const std::string signedText = prefix + message;
    unsigned char bytes[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char *>(signedText.data()), signedText.size(), bytes,
         &length);
    return absl::BytesToHexString({ reinterpret_cast<const char *>(bytes), length });
}

std::string Authenticator::sign(const std::string &message)
{
    std::uint64_t nonce = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        nonce = random_();
    }
    const std::string prefix = absl::StrCat(wallNow_().count(), ".", absl::Hex(nonce), ".");
    return prefix + digest(prefix, message);
}

absl::Status Authenticator::verify(const std::string &tag, const std::string &message)
{
    const std::vector<std::string> parts = absl::StrSplit(tag, '.');
    std::int64_t time = 0;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[0], &time)) {
        return notAuthentic("the message carries no well-formed tag");
    }
    const std::string expected = digest(parts[0] + "." + parts[1] + ".", message);
    if (expected.size() != parts[2].size()
        || CRYPTO_memcmp(expected.data(), parts[2].data(), expected.size()) != 0) {
        return notAuthentic("the message was signed with another key");
    }
    const std::int64_t now = wallNow_().count();
    const std::int64_t window = replayWindow.count();
    if (time < now - window || time > now + window) {
        return notAuthentic("the message was signed outside the replay window");
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!acceptedTags_.empty() && acceptedTags_.begin()->time < now - window) {
        acceptedTags_.erase(acceptedTags_.begin());
    }
    if (!acceptedTags_.insert({ time, parts[1] }).second) {
        return notAuthentic("the message was already received once");
    }
    return absl::OkStatus();
}

} // namespace kumquat
