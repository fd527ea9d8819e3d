#pragma once
/// \file
/// Holds the configuration in force and the results of the latest changes.
/// It is part of the replicated state machine: every member applies the same changes in order.

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

/// An operator's change, based on the version that the operator saw.
struct ConfigurationChange
{
    std::string id; ///< drawn by the operator's tool; the same when a change is sent again
    std::uint64_t base = 0; ///< the number of the version that it changes
    std::vector<FileWrite> writes;
    std::vector<std::string> removals;
    MSGPACK_DEFINE(id, base, writes, removals)
};

/// The name of the file that holds a whole document; files of a folder end in .json instead.
constexpr char documentFileName[] = "@document";

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
    /// The results of this many changes are kept, for changes that are sent again.
    static constexpr std::size_t maxStoredResults = 20'000;

    /// Applies a change, or returns its stored result if it was applied before.
    ChangeResult apply(const ConfigurationChange &change);

    /// The stored result of the change \p id, or null.
    const ChangeResult *find(const std::string &id) const;

    /// Replaces all files by a whole document if its version is higher than that of the document
    /// in force; otherwise changes nothing. The text must have been validated.
    ChangeResult applyDocument(std::uint64_t version, const std::string &text);

    bool hasDocument() const { return !files_.empty() && files_.front().name == documentFileName; }
    std::uint64_t documentVersion() const { return documentVersion_; }
    /// The text of the document in force; empty if there is none.
    std::string document() const;

    std::uint64_t number() const { return number_; }
    const std::vector<FileWrite> &files() const { return files_; }

    MSGPACK_DEFINE(number_, files_, resultOrder_, results_, documentVersion_)

private:
    ChangeResult applyNew(const ConfigurationChange &change);

    std::uint64_t number_ = 0;
    std::vector<FileWrite> files_; ///< sorted by name
    std::deque<std::string> resultOrder_; ///< IDs of the changes in `results_`, oldest first
    std::map<std::string, ChangeResult> results_;
    std::uint64_t documentVersion_ = 0;
};

/// \p files with \p change applied, sorted by name.
std::vector<FileWrite> filesAfter(std::vector<FileWrite> files, const ConfigurationChange &change);

/// Checks the merged configuration; fails with ErrorKind::badConfiguration.
absl::Status checkFiles(const std::vector<FileWrite> &files);

/// Checks the bytes of the files that a change writes, before it is proposed; fails with
/// ErrorKind::badConfiguration.
absl::Status checkWrites(const std::vector<FileWrite> &writes);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::ChangeStatus);
