#pragma once
/// \file
/// Holds the accepted configuration and the changes that led to it.
/// It is a deterministic state of the replicated log: every member applies the same changes.

#include "kumquat/Configuration.h"

#include <deque>
#include <map>
#include <msgpack.hpp>

namespace kumquat {

struct FileWrite
{
    std::string name;
    std::string content;
    MSGPACK_DEFINE(name, content)
};

/// An operator's change on top of the version that the operator saw.
struct ConfigurationChange
{
    std::string id; ///< drawn by the operator's tool; the same in a resend
    std::uint64_t base = 0; ///< the version it builds on
    std::vector<FileWrite> writes;
    std::vector<std::string> removals;
    MSGPACK_DEFINE(id, base, writes, removals)
};

enum class ChangeStatus { accepted, conflict, refused };

struct ChangeResult
{
    ChangeStatus status = ChangeStatus::refused;
    std::uint64_t number = 0; ///< accepted: the new version; conflict: the version in force
    std::string message;
    MSGPACK_DEFINE(status, number, message)
};

class ReplicatedConfiguration
{
public:
    /// Results of changes are kept for this many changes, so that a resend gets its answer.
    static constexpr std::size_t maxStoredResults = 20'000;

    /// Applies a change, or repeats the result it had before.
    ChangeResult apply(const ConfigurationChange &change);

    /// The result that \p id had, or null.
    const ChangeResult *find(const std::string &id) const;

    /// Puts a whole document in the place of all files when its version is higher than that of
    /// the document held; otherwise nothing changes. The text must have been checked.
    ChangeResult applyDocument(std::uint64_t version, const std::string &text);

    std::uint64_t documentVersion() const { return documentVersion_; }
    /// The text of the document in force; empty when files are, or nothing.
    std::string document() const;

    std::uint64_t number() const { return number_; }
    const std::vector<FileWrite> &files() const { return files_; }

    MSGPACK_DEFINE(number_, files_, resultOrder_, results_, documentVersion_)

private:
    ChangeResult applyNew(const ConfigurationChange &change);

    std::uint64_t number_ = 0;
    std::vector<FileWrite> files_; ///< in the order of their names
    std::deque<std::string> resultOrder_;
    std::map<std::string, ChangeResult> results_;
    std::uint64_t documentVersion_ = 0;
};

/// The name under which a whole document stands among the files; no folder has such a file.
constexpr char documentFileName[] = "@document";

/// The files after \p change.
std::vector<FileWrite> filesAfter(std::vector<FileWrite> files,
                                    const ConfigurationChange &change);

/// Checks the whole merge; fails with ErrorKind::badConfiguration.
absl::Status checkFiles(const std::vector<FileWrite> &files);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::ChangeStatus);
