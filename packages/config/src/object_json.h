#ifndef VANILLALEVER_CONFIG_OBJECT_JSON_H_
#define VANILLALEVER_CONFIG_OBJECT_JSON_H_

#include <string>
#include <vector>

#include "json_document.h"
#include "vanillalever/config/object.h"

namespace vanillalever::config {

// Reads one object and appends it to `objects`, or appends its errors to
// `errors`. `position` identifies it in errors if its name cannot be read.
void ReadObject(const json& value,
                const std::string& position,
                std::vector<Object>& objects,
                ConfigErrors& errors);

// Reads an array of objects.
void ReadObjects(const json& value,
                 const std::string& position,
                 std::vector<Object>& objects,
                 ConfigErrors& errors);

// Canonical JSON form.
json WriteObject(const Object& object);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_OBJECT_JSON_H_
