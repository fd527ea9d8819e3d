#include "state/ReplicatedConfiguration.h"

#include "common/JsonReader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace kumquat {

namespace {

void removeFile(std::vector<FileWrite> &files, const std::string &name)
{
    files.erase(std::remove_if(files.begin(), files.end(),
                               [&name](const FileWrite &file) { return file.name == name; }),
                files.end());
}

} // namespace

std::vector<FileWrite> filesAfter(std::vector<FileWrite> files, const ConfigurationChange &change)
{
    for (const std::string &name : change.removals) {
        removeFile(files, name);
    }
    for (const FileWrite &write : change.writes) {
        removeFile(files, write.name);
        files.push_back(write);
    }
    std::sort(files.begin(), files.end(),
              [](const FileWrite &left, const FileWrite &right) { return left.name < right.name; });
    return files;
}

absl::Status checkFiles(const std::vector<FileWrite> &files)
{
    std::vector<ConfigurationFile> plain;
    plain.reserve(files.size());
    for (const FileWrite &file : files) {
        plain.push_back({ file.name, file.content });
    }
    return parseConfiguration(std::move(plain)).status();
}

// Members that run different versions must apply a change alike, so the bytes are not checked when
// it is applied, and files that are in force already are not checked again.
absl::Status checkWrites(const std::vector<FileWrite> &writes)
{
    for (const FileWrite &file : writes) {
        if (file.name == documentFileName) {
            return makeError(ErrorKind::badConfiguration, file.name + " is not a file of a folder",
                             "send a whole document to the path for documents");
        }
        const auto value = parseJson(file.name, file.content, ErrorKind::badConfiguration,
                                     JsonSyntax::withComments);
        if (!value.ok()) {
            return value.status();
        }
    }
    return absl::OkStatus();
}

const ChangeResult *ReplicatedConfiguration::find(const std::string &id) const
{
    const auto found = results_.find(id);
    return found == results_.end() ? nullptr : &found->second;
}

ChangeResult ReplicatedConfiguration::apply(const ConfigurationChange &change)
{
    const ChangeResult *known = find(change.id);
    if (known != nullptr) {
        return *known;
    }
    const ChangeResult result = applyNew(change);
    results_[change.id] = result;
    resultOrder_.push_back(change.id);
    if (resultOrder_.size() > maxStoredResults) {
        results_.erase(resultOrder_.front());
        resultOrder_.pop_front();
    }
    return result;
}

ChangeResult ReplicatedConfiguration::applyDocument(std::uint64_t version, const std::string &text)
{
    if (!hasDocument() || version > documentVersion_) {
        files_ = { { documentFileName, text } };
        documentVersion_ = version;
        ++number_;
    }
    return { ChangeStatus::accepted, number_, "" };
}

std::string ReplicatedConfiguration::document() const
{
    return hasDocument() ? files_.front().content : "";
}

ChangeResult ReplicatedConfiguration::applyNew(const ConfigurationChange &change)
{
    if (change.base != number_) {
        return { ChangeStatus::conflict, number_,
                 absl::StrCat("version ", number_, " is in force, the change is based on ",
                              change.base, "; remedy: review what changed, then apply again") };
    }
    if (hasDocument()) {
        return { ChangeStatus::refused, number_,
                 absl::StrCat("document version ", documentVersion_,
                              " is in force; remedy: send a document with a higher version") };
    }
    std::vector<FileWrite> next = filesAfter(files_, change);
    const absl::Status checked = checkFiles(next);
    if (!checked.ok()) {
        return { ChangeStatus::refused, number_, std::string(checked.message()) };
    }
    files_ = std::move(next);
    ++number_;
    return { ChangeStatus::accepted, number_, "" };
}

} // namespace kumquat
