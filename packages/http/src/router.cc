#include "vanillalever/http/router.h"

#include <optional>
#include <utility>

namespace vanillalever::http {
namespace {

using Segments = std::vector<std::string>;
using Parameters = std::map<std::string, std::string>;

Segments SplitPath(std::string_view path) {
  Segments segments;
  if (path.starts_with('/'))
    path.remove_prefix(1);
  while (true) {
    std::size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos)
      return segments;
    path.remove_prefix(slash + 1);
  }
}

bool IsPlaceholder(const std::string& segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

std::string JoinSegments(const Segments& segments, std::size_t first) {
  std::string text;
  for (std::size_t i = first; i < segments.size(); ++i)
    text += (i == first ? "" : "/") + segments[i];
  return text;
}

std::optional<Parameters> MatchSegments(const Segments& pattern,
                                        const Segments& path) {
  Parameters parameters;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (i >= path.size())
      return std::nullopt;
    const std::string& segment = pattern[i];
    if (!IsPlaceholder(segment)) {
      if (segment != path[i])
        return std::nullopt;
      continue;
    }
    std::string name = segment.substr(1, segment.size() - 2);
    if (name.ends_with("...")) {
      parameters[name.substr(0, name.size() - 3)] = JoinSegments(path, i);
      return parameters;
    }
    if (path[i].empty())
      return std::nullopt;
    parameters[name] = path[i];
  }
  if (path.size() != pattern.size())
    return std::nullopt;
  return parameters;
}

}  // namespace

void Router::Add(std::string_view method,
                 std::string_view pattern,
                 Handler handler) {
  routes_.push_back(
      {std::string(method), SplitPath(pattern), std::move(handler)});
}

const Handler& Router::Match(Request& request) const {
  Segments path = SplitPath(request.path);
  bool path_exists = false;
  for (const Route& route : routes_) {
    auto parameters = MatchSegments(route.segments, path);
    if (!parameters)
      continue;
    path_exists = true;
    if (route.method != request.method)
      continue;
    request.parameters = std::move(*parameters);
    return route.handler;
  }
  if (path_exists) {
    throw base::NotRunError(
        base::ErrorCode::kInvalidRequest, base::Step::kParse,
        "method " + request.method + " is not allowed for " + request.path);
  }
  throw base::NotRunError(base::ErrorCode::kNotFound, base::Step::kParse,
                          "no route for " + request.path);
}

}  // namespace vanillalever::http
