#ifndef VANILLALEVER_CONFIG_OBJECT_CODEC_H_
#define VANILLALEVER_CONFIG_OBJECT_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/config/config_error.h"
#include "vanillalever/config/object.h"

namespace vanillalever::config {

// Largest JSON document that is parsed, in bytes. The target of 260
// organisations needs about 1 MB.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{16} << 20;

// Maximum nesting depth of a JSON document.
inline constexpr int kMaxDocumentDepth = 16;

// Objects parsed from a document, and all errors found in it.
struct ParsedObjects {
  std::vector<Object> objects;
  ConfigErrors errors;
};

// Parses one object or an array of objects. `source` identifies the document in
// errors of objects whose name cannot be read.
ParsedObjects ParseObjects(std::string_view text, std::string_view source);

// Canonical JSON text: fields in name order, optional fields with their default
// value omitted.
std::string EncodeObject(const Object& object);

// One field of a kind that the parser accepts.
struct FieldInfo {
  // Path, with "[]" for the elements of lists, such as "operations[].name".
  std::string path;
  bool required = false;
};

// All fields of a kind; used to check that the reference documentation is
// complete.
std::vector<FieldInfo> FieldsOf(Kind kind);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_OBJECT_CODEC_H_
