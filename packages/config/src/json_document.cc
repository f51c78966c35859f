#include "json_document.h"

#include <set>
#include <stdexcept>
#include <vector>

#include "vanillalever/base/error.h"
#include "vanillalever/config/object_codec.h"

namespace vanillalever::config {
namespace {

// Maximum number of bytes of a value quoted in an error message.
constexpr std::size_t kMaxQuotedBytes = 60;

// Parser callback that detects duplicate fields and deep nesting.
class DocumentChecker {
 public:
  DocumentChecker(std::string_view source, ConfigErrors& errors)
      : source_(source), errors_(errors) {}

  bool operator()(int depth, json::parse_event_t event, json& parsed) {
    switch (event) {
      case json::parse_event_t::object_start:
        CheckDepth(depth);
        open_object_fields_.emplace_back();
        break;
      case json::parse_event_t::object_end:
        open_object_fields_.pop_back();
        break;
      case json::parse_event_t::array_start:
        CheckDepth(depth);
        break;
      case json::parse_event_t::key:
        AddField(parsed.get_ref<const std::string&>());
        break;
      default:
        break;
    }
    return true;
  }

 private:
  static void CheckDepth(int depth) {
    if (depth >= kMaxDocumentDepth)
      throw std::length_error("nesting of at most " +
                              std::to_string(kMaxDocumentDepth) + " levels");
  }

  void AddField(const std::string& name) {
    if (!open_object_fields_.back().insert(name).second)
      errors_.push_back({std::string(source_), name, "a field only once"});
  }

  std::string_view source_;
  ConfigErrors& errors_;
  // Field names seen in each JSON object that is still open.
  std::vector<std::set<std::string>> open_object_fields_;
};

// Message of a library exception without its identifier in brackets.
std::string StripExceptionId(std::string_view message) {
  std::size_t end = message.find("] ");
  return std::string(end == std::string_view::npos ? message
                                                   : message.substr(end + 2));
}

}  // namespace

std::optional<json> ParseDocument(std::string_view text,
                                  std::string_view source,
                                  ConfigErrors& errors) {
  std::string name(source);
  if (text.size() > kMaxDocumentBytes) {
    errors.push_back({name, "",
                      "a document of at most " +
                          std::to_string(kMaxDocumentBytes) + " bytes, found " +
                          std::to_string(text.size())});
    return std::nullopt;
  }
  std::size_t before = errors.size();
  DocumentChecker checker(source, errors);
  try {
    json value = json::parse(text, std::ref(checker));
    if (errors.size() == before)
      return value;
  } catch (const json::exception& e) {
    errors.push_back({name, "", "JSON, found " + StripExceptionId(e.what())});
  } catch (const std::length_error& e) {
    errors.push_back({name, "", e.what()});
  }
  return std::nullopt;
}

json ParseMessage(std::string_view text, std::string_view source) {
  ConfigErrors errors;
  std::optional<json> value = ParseDocument(text, source, errors);
  if (!value)
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kParse, Describe(errors.front()));
  return *std::move(value);
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string DescribeValue(const json& value) {
  std::string text = Dump(value);
  if (text.size() > kMaxQuotedBytes)
    text = text.substr(0, kMaxQuotedBytes) + "...";
  return std::string(value.type_name()) + " " + text;
}

}  // namespace vanillalever::config
