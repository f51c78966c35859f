#ifndef VANILLALEVER_CTL_OBJECT_FILES_H_
#define VANILLALEVER_CTL_OBJECT_FILES_H_

#include <filesystem>
#include <stdexcept>
#include <vector>

#include "vanillalever/config/config_error.h"
#include "vanillalever/config/object.h"

namespace vanillalever::ctl {

// File or directory that cannot be read.
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Objects of several files, and all errors found in them.
struct LoadedObjects {
  std::vector<config::Object> objects;
  config::ConfigErrors errors;
};

// Reads object files, and the *.json files of directories, recursively and in
// name order. Two objects of the same kind and name are an error that names
// both files. Throws FileError.
LoadedObjects LoadObjects(const std::vector<std::filesystem::path>& paths);

// Content of a text file. Throws FileError.
std::string ReadFile(const std::filesystem::path& path);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_OBJECT_FILES_H_
