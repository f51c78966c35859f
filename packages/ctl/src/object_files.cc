#include "vanillalever/ctl/object_files.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>
#include <utility>

#include "vanillalever/config/object_codec.h"

namespace vanillalever::ctl {
namespace {

namespace fs = std::filesystem;

void AppendDirectory(const fs::path& directory, std::vector<fs::path>& files) {
  std::vector<fs::path> found;
  for (const fs::directory_entry& entry :
       fs::recursive_directory_iterator(directory)) {
    if (entry.is_regular_file() && entry.path().extension() == ".json")
      found.push_back(entry.path());
  }
  // The order of directory entries is unspecified.
  std::ranges::sort(found);
  files.insert(files.end(), found.begin(), found.end());
}

std::vector<fs::path> ExpandPaths(const std::vector<fs::path>& paths) {
  std::vector<fs::path> files;
  for (const fs::path& path : paths) {
    try {
      if (fs::is_directory(path))
        AppendDirectory(path, files);
      else
        files.push_back(path);
    } catch (const fs::filesystem_error& error) {
      throw FileError("cannot read folder " + path.string() + ": " +
                      error.code().message());
    }
  }
  return files;
}

}  // namespace

std::string ReadFile(const fs::path& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream)
    throw FileError("cannot read file " + path.string() + ": " +
                    std::generic_category().message(errno));
  std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (stream.bad())
    throw FileError("cannot read file " + path.string());
  return text;
}

LoadedObjects LoadObjects(const std::vector<fs::path>& paths) {
  LoadedObjects loaded;
  // File that declares each object.
  std::map<config::ObjectId, std::string> files;
  for (const fs::path& file : ExpandPaths(paths)) {
    std::string name = file.string();
    config::ParsedObjects parsed = config::ParseObjects(ReadFile(file), name);
    std::ranges::move(parsed.errors, std::back_inserter(loaded.errors));
    for (config::Object& object : parsed.objects) {
      config::ObjectId id = config::IdOf(object);
      if (auto [first, added] = files.emplace(id, name); added)
        loaded.objects.push_back(std::move(object));
      else
        loaded.errors.push_back({id.text(), "name",
                                 "a name that no other object of its kind "
                                 "has, found it in " +
                                     first->second + " and " + name});
    }
  }
  return loaded;
}

}  // namespace vanillalever::ctl
