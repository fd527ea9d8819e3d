#include "state/Disk.h"

#include "kumquat/Error.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <unistd.h>

namespace kumquat {

namespace {

// After such an error the file may hold any part of what was written.
absl::Status unknownContents(const std::string &operation, const std::string &file)
{
    return makeError(ErrorKind::storageFailed,
                     "cannot " + operation + " " + file + ": " + std::strerror(errno),
                     "check the disk of the data folder, then restart the process");
}

absl::Status storageError(const std::string &operation, const std::string &file)
{
    if (errno == ENOSPC || errno == EDQUOT) {
        return makeError(ErrorKind::storageFull,
                         "cannot " + operation + " " + file + ": " + std::strerror(errno),
                         "free space on the disk of the data folder");
    }
    return unknownContents(operation, file);
}

class FileDescriptor
{
public:
    explicit FileDescriptor(int value) : value_(value) { }
    ~FileDescriptor()
    {
        if (value_ >= 0) {
            ::close(value_);
        }
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    int value() const { return value_; }

private:
    int value_;
};

absl::Status writeAll(int descriptor, const std::string &bytes, const std::string &file)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
        if (written < 0 && errno != EINTR) {
            return storageError("write", file);
        }
        done += written < 0 ? 0 : static_cast<std::size_t>(written);
    }
    return absl::OkStatus();
}

class Folder
{
public:
    explicit Folder(std::string path) : path_(std::move(path)) { }

    std::optional<std::string> read(const std::string &name) const
    {
        std::ifstream stream(path_ + "/" + name, std::ios::binary);
        if (!stream) {
            return std::nullopt;
        }
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    }

    std::optional<std::uint64_t> size(const std::string &name) const
    {
        std::error_code error;
        const std::uint64_t bytes = std::filesystem::file_size(path_ + "/" + name, error);
        return error ? std::nullopt : std::optional<std::uint64_t>(bytes);
    }

    std::string readPart(const std::string &name, std::uint64_t offset, std::size_t maxBytes) const
    {
        std::ifstream stream(path_ + "/" + name, std::ios::binary);
        std::string part(maxBytes, '\0');
        stream.seekg(static_cast<std::streamoff>(offset));
        stream.read(&part[0], static_cast<std::streamsize>(maxBytes));
        part.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, stream.gcount())));
        return part;
    }

    absl::Status truncate(const std::string &name, std::uint64_t bytes)
    {
        const std::string file = path_ + "/" + name;
        const FileDescriptor descriptor(::open(file.c_str(), O_WRONLY | O_CLOEXEC));
        if (descriptor.value() < 0) {
            return storageError("open", file);
        }
        if (::ftruncate(descriptor.value(), static_cast<off_t>(bytes)) != 0) {
            return storageError("truncate", file);
        }
        return ::fsync(descriptor.value()) == 0 ? absl::OkStatus() : unknownContents("sync", file);
    }

    absl::Status append(const std::string &name, const std::string &bytes)
    {
        auto &openFile = openFiles_[name];
        if (!openFile) {
            const std::string file = path_ + "/" + name;
            openFile = std::make_unique<FileDescriptor>(
                ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640));
            if (openFile->value() < 0) {
                const absl::Status failed = storageError("open", file);
                openFile.reset();
                return failed;
            }
        }
        return writeAll(openFile->value(), bytes, name);
    }

    absl::Status sync(const std::string &name)
    {
        const auto openFile = openFiles_.find(name);
        if (openFile != openFiles_.end() && ::fdatasync(openFile->second->value()) != 0) {
            return unknownContents("sync", name);
        }
        return absl::OkStatus();
    }

    absl::Status replace(const std::string &name, const std::string &bytes)
    {
        const std::string file = path_ + "/" + name;
        const std::string temporary = file + ".new";
        absl::Status status = writeTemporary(temporary, bytes);
        if (status.ok() && ::rename(temporary.c_str(), file.c_str()) != 0) {
            status = storageError("replace", file);
        }
        if (!status.ok()) {
            ::unlink(temporary.c_str()); // its bytes may be all that fills the disk
            return status;
        }
        openFiles_.erase(name);
        const FileDescriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        return ::fsync(folder.value()) == 0 ? absl::OkStatus() : unknownContents("sync", path_);
    }

private:
    static absl::Status writeTemporary(const std::string &file, const std::string &bytes)
    {
        const FileDescriptor descriptor(
            ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640));
        if (descriptor.value() < 0) {
            return storageError("open", file);
        }
        const absl::Status written = writeAll(descriptor.value(), bytes, file);
        if (!written.ok()) {
            return written;
        }
        return ::fsync(descriptor.value()) == 0 ? absl::OkStatus() : storageError("sync", file);
    }

    std::string path_;
    std::map<std::string, std::unique_ptr<FileDescriptor>> openFiles_;
};

} // namespace

absl::Status openFolder(const std::string &folder, Disk &disk)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return makeError(ErrorKind::badSettings,
                         "cannot create folder " + folder + ": " + error.message(),
                         "name a data folder that this process may write to");
    }
    const auto files = std::make_shared<Folder>(folder);
    disk.read = [files](const std::string &name) { return files->read(name); };
    disk.size = [files](const std::string &name) { return files->size(name); };
    disk.readPart = [files](const std::string &name, std::uint64_t offset, std::size_t maxBytes) {
        return files->readPart(name, offset, maxBytes);
    };
    disk.truncate = [files](const std::string &name, std::uint64_t bytes) {
        return files->truncate(name, bytes);
    };
    disk.append = [files](const std::string &name, const std::string &bytes) {
        return files->append(name, bytes);
    };
    disk.sync = [files](const std::string &name) { return files->sync(name); };
    disk.replace = [files](const std::string &name, const std::string &bytes) {
        return files->replace(name, bytes);
    };
    return absl::OkStatus();
}

} // namespace kumquat
